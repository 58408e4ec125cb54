package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) explain() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "wasabi explain REQUEST [FILE...]",
		ShortHelp:  "tell how one request was decided",
		LongHelp: "Reads log lines of any number of instances from the files or from standard input and prints all\n" +
			"decisions about the request in the order of their times, as sentences.",
		FlagSet: a.flags("explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("explain needs a request")
			}
			decisions, err := a.decisions(args[0], args[1:])
			if err != nil {
				return &exitError{code: exitUsage, err: err}
			}
			if len(decisions) == 0 {
				return &exitError{code: exitFaults, err: errors.Errorf("no decision about request %q", args[0])}
			}
			for _, d := range decisions {
				a.printf("%s\n", d.sentence())
			}
			return nil
		},
	}
}

// decisions returns the decisions about a request, oldest first.
func (a *app) decisions(request string, files []string) ([]decision, error) {
	if len(files) == 0 {
		return readDecisions(a.in, request)
	}
	var all []decision
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := readDecisions(f, request)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, found...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].micros < all[j].micros })
	return all, nil
}

const maxLineBytes = 1 << 20

func readDecisions(r io.Reader, request string) ([]decision, error) {
	var out []decision
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		// Most lines are about other requests: look before decoding.
		if !strings.Contains(s.Text(), request) {
			continue
		}
		if d, ok := parseDecision(s.Bytes()); ok && d.request == request {
			out = append(out, d)
		}
	}
	return out, s.Err()
}

// decision is one decision line.
type decision struct {
	request string
	micros  int64
	message string
	fields  map[string]string
}

func parseDecision(line []byte) (decision, bool) {
	var known struct {
		Decision bool   `json:"decision"`
		Request  string `json:"request"`
		Time     int64  `json:"time"`
		Message  string `json:"message"`
	}
	if json.Unmarshal(line, &known) != nil || !known.Decision {
		return decision{}, false
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(line, &raw) != nil {
		return decision{}, false
	}
	d := decision{request: known.Request, micros: known.Time, message: known.Message, fields: make(map[string]string)}
	for name, value := range raw {
		switch name {
		case "decision", "request", "time", "message", "level", "part":
			continue
		}
		if text := fieldText(value); text != "" {
			d.fields[name] = text
		}
	}
	return d, true
}

// fieldText returns a field for people; empty and null fields say nothing.
func fieldText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return strings.TrimSpace(string(raw))
}

// phrases tell the fields that decisions share, in the order in which people
// want to read them.
var phrases = []struct{ field, before, after string }{
	{"instance", "at ", ""},
	{"kind", "a ", " request"},
	{"customer", "for customer ", ""},
	{"model", "of model ", ""},
	{"class", "in class ", ""},
	{"route", "on route ", ""},
	{"revision", "by revision ", " of the table"},
	{"prompt", "with a prompt of ", " tokens"},
	{"prefill", "prefill at ", ""},
	{"decode", "decode at ", ""},
	{"server", "at server ", ""},
	{"score", "with score ", ""},
	{"runner_up", "ahead of ", ""},
	{"runner_up_score", "with score ", ""},
	{"waited_ms", "after waiting ", " ms"},
	{"code", "refused as ", ""},
	{"reason", "because ", ""},
	{"retry_ms", "to come back after ", " ms"},
	{"outcome", "outcome ", ""},
}

// sentence tells the decision in one line.
func (d decision) sentence() string {
	left := make(map[string]string, len(d.fields))
	for name, value := range d.fields {
		left[name] = value
	}
	var clauses []string
	for _, p := range phrases {
		if value, ok := left[p.field]; ok {
			clauses = append(clauses, p.before+value+p.after)
			delete(left, p.field)
		}
	}
	var names []string
	for name := range left {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		clauses = append(clauses, strings.ReplaceAll(name, "_", " ")+" "+left[name])
	}
	return time.UnixMicro(d.micros).UTC().Format("15:04:05.000000 ") + d.message + ": " + strings.Join(clauses, ", ") + "."
}
