package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/stand"
)

// exchange is one request of the demo and the expected response.
type exchange struct {
	name   string
	method string
	path   string
	key    string // customer of the demo table whose key is used
	idem   string // idempotency key
	model  string
	prompt string
	tokens int64
	stream bool
	status int
	holds  string // text that the response of a plain service must contain
}

const (
	driveLimit = 60 * time.Second
	readyLimit = 60 * time.Second
	readyEvery = 100 * time.Millisecond
)

func driveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin drive", flag.ContinueOnError)
	entries := fs.String("entries", "", "comma-separated base `URLs` of the instances for callers")
	admins := fs.String("admins", "", "comma-separated base `URLs` of the instances' admin listeners")
	return &ffcli.Command{
		Name:       "drive",
		ShortUsage: "standin drive -entries URL,URL -admins URL,URL",
		ShortHelp:  "Sends requests of both deployments and checks that every response is complete.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return drive(ctx, strings.Split(*entries, ","), strings.Split(*admins, ","))
		},
	}
}

// exchanges are the requests of the demo.
func exchanges() []exchange {
	preamble := strings.Repeat("The school asks for a calm family near a park. ", 200)
	return []exchange{
		{name: "open route", method: http.MethodGet, path: "/about", status: http.StatusOK, holds: `"service":`},
		{name: "no key", method: http.MethodPost, path: "/v1/chat/completions", model: "dossier", prompt: "x", tokens: 5, status: http.StatusUnauthorized},
		{name: "dossier streamed", method: http.MethodPost, path: "/v1/chat/completions", key: "quito", model: "dossier", prompt: preamble + "Letter of Ana.", tokens: 40, stream: true, status: http.StatusOK},
		{name: "dossier, same preamble", method: http.MethodPost, path: "/v1/chat/completions", key: "quito", model: "dossier", prompt: preamble + "Letter of Luis.", tokens: 40, stream: true, status: http.StatusOK},
		{name: "dossier not streamed", method: http.MethodPost, path: "/v1/chat/completions", key: "loja", model: "dossier", prompt: preamble, tokens: 25, status: http.StatusOK},
		{name: "opinion streamed", method: http.MethodPost, path: "/v1/chat/completions", key: "lasem", model: "opinion", prompt: "House in Lasem, teak doors, indigo.", tokens: 30, stream: true, status: http.StatusOK},
		{name: "confirmation", method: http.MethodPost, path: "/placements/confirm", key: "quito", idem: "pupil-7", status: http.StatusOK, holds: `"run":1`},
		{name: "confirmation repeated", method: http.MethodPost, path: "/placements/confirm", key: "quito", idem: "pupil-7", status: http.StatusOK, holds: `"run":1`},
		{name: "filing", method: http.MethodPost, path: "/filings", key: "lasem", idem: "door-3", status: http.StatusOK, holds: `"run":1`},
		{name: "filing repeated", method: http.MethodPost, path: "/filings", key: "lasem", idem: "door-3", status: http.StatusOK, holds: `"run":1`},
		{name: "status of a call", method: http.MethodGet, path: "/placements/pupil-7", key: "quito", status: http.StatusOK, holds: `"service":`},
		{name: "unknown route", method: http.MethodGet, path: "/nowhere", key: "quito", status: http.StatusNotFound},
	}
}

func drive(ctx context.Context, entries, admins []string) error {
	for _, a := range admins {
		if err := waitReady(ctx, a); err != nil {
			return err
		}
	}
	failed := 0
	list := exchanges()
	for i, x := range list {
		entry := entries[i%len(entries)]
		text, err := x.send(ctx, entry)
		verdict := "complete"
		if err != nil {
			verdict = "FAILED: " + err.Error()
			failed++
		}
		fmt.Printf("%-24s %s %s\n", x.name, entry, verdict)
		if text != "" {
			fmt.Printf("    %s\n", shorten(text))
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(list)-failed, failed)
	if failed > 0 {
		return errors.Errorf("%d of %d requests failed", failed, len(list))
	}
	return nil
}

func waitReady(ctx context.Context, admin string) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for {
		status, _, err := call(ctx, http.MethodGet, admin+"/readyz", nil, nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("instance at %s did not become ready", admin)
		case <-t.C:
		}
	}
}

// send sends the request and checks the response. A request that was rejected for
// a while is retried every second until driveLimit has passed.
func (x exchange) send(ctx context.Context, entry string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, driveLimit)
	defer cancel()
	for {
		status, body, err := x.once(ctx, entry)
		if err != nil {
			return "", err
		}
		if x.status == http.StatusOK && isTemporary(status, body) {
			fmt.Printf("    rejected, retrying: %s\n", shorten(body))
			select {
			case <-ctx.Done():
				return "", errors.Errorf("rejected for %v", driveLimit)
			case <-time.After(time.Second):
				continue
			}
		}
		if status != x.status {
			return body, errors.Errorf("status %d, want %d", status, x.status)
		}
		if x.model == "" || status != http.StatusOK {
			return body, x.checkPlain(body)
		}
		return x.checkText(body)
	}
}

// isTemporary reports whether the response is a rejection that ends with time: the
// customer is over its limit, or the home of a keyed call does not know yet which
// calls have run before.
func isTemporary(status int, body string) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusBadRequest && strings.Contains(body, `"key_unknown"`)
}

func (x exchange) once(ctx context.Context, entry string) (int, string, error) {
	h := http.Header{"Content-Type": {"application/json"}}
	if x.key != "" {
		h.Set("Authorization", "Bearer wk_DEMO-ONLY-"+x.key)
	}
	if x.idem != "" {
		h.Set("Idempotency-Key", x.idem)
	}
	var body any = map[string]string{"id": x.idem}
	if x.model != "" {
		body = map[string]any{
			"model":      x.model,
			"max_tokens": x.tokens,
			"stream":     x.stream,
			"messages":   []map[string]string{{"role": "user", "content": x.prompt}},
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, "", errors.Wrap(err, "encode the request")
	}
	if x.method == http.MethodGet {
		data = nil
	}
	return call(ctx, x.method, entry+x.path, h, data)
}

func (x exchange) checkPlain(body string) error {
	if !strings.Contains(body, x.holds) {
		return errors.Errorf("response does not contain %s", x.holds)
	}
	return nil
}

// checkText compares the response with the output of the stand-in engines for the
// prompt.
func (x exchange) checkText(body string) (string, error) {
	got, err := x.text(body)
	if err != nil {
		return got, err
	}
	tokens, _ := stand.Answer("user:\n"+x.prompt+"\n\nassistant:\n", x.tokens)
	if want := strings.Join(tokens, ""); got != want {
		return got, errors.Errorf("wrong output of %d bytes, want %d", len(got), len(want))
	}
	return got, nil
}

func (x exchange) text(body string) (string, error) {
	if !x.stream {
		var one struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(body), &one); err != nil || len(one.Choices) != 1 {
			return body, errors.New("response is not a chat completion")
		}
		return one.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	complete := false
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text.String(), errors.Wrap(err, "read a chunk")
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if !complete {
		return text.String(), errors.New("stream ended without [DONE]")
	}
	return text.String(), nil
}

func call(ctx context.Context, method, url string, h http.Header, body []byte) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, "", errors.Wrap(err, "create the request")
	}
	if h != nil {
		req.Header = h
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "send the request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, string(data), errors.Wrap(err, "read the response")
	}
	return resp.StatusCode, string(data), nil
}

const shownBytes = 100

func shorten(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > shownBytes {
		return s[:shownBytes] + "…"
	}
	return s
}
