package front_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/plain"
)

var update = flag.Bool("update", false, "write the golden files")

var errTruncated = errors.New("the engine cut the stream")

// rejectRun sets a generator that rejects every request.
func rejectRun(code fail.Code, retry time.Duration, reason string) func(*testServer) {
	return func(w *testServer) {
		w.generate = func(context.Context, front.Generation, front.Sink) (front.Result, error) {
			return front.Result{}, fail.New("sched: place", "a1", ident.NotRun, fail.Refuse(code, retry, reason))
		}
	}
}

// failAfter sets a generator that emits the words and then fails.
func failAfter(words ...string) func(*testServer) {
	return func(w *testServer) {
		w.generate = func(ctx context.Context, g front.Generation, s front.Sink) (front.Result, error) {
			res, err := generateWords(words...)(ctx, g, s)
			if err != nil {
				return res, err
			}
			return front.Result{OutputTokens: res.OutputTokens}, fail.New("engine: stream", "d1", ident.Unknown, errTruncated)
		}
	}
}

func failCall(err error) func(*testServer) {
	return func(w *testServer) {
		w.call = func(context.Context, plain.Call) (plain.Answer, error) { return plain.Answer{}, err }
	}
}

func failKeyed(err error) func(*testServer) {
	return func(w *testServer) {
		w.callKeyed = func(context.Context, once.Call) (plain.Answer, error) { return plain.Answer{}, err }
	}
}

// TestGoldenSessions guards against unintended changes of what callers receive. It
// compares all bytes of complete sessions, and the decision log lines, with golden
// files.
func TestGoldenSessions(t *testing.T) {
	keyed := "Idempotency-Key: k-1"
	keyUnknown := fail.New("once: decide", "", ident.Unknown,
		fail.Refuse(fail.CodeKeyUnknown, 90*time.Second, "an earlier call with this key may have run; read /status first"))
	tests := []struct {
		name string
		set  func(*testServer)
		in   string
	}{
		{"chat", nil, chat("", auth)},
		{"chat_stream", nil, chat(`,"stream":true,"max_tokens":8,"class":"fast"`, auth, "X-Request-Id: ours.1")},
		{"chat_stream_empty", func(w *testServer) { w.generate = generateWords() }, chat(`,"stream":true`, auth)},
		{"chat_stream_cut", failAfter("Placement", " fits"), chat(`,"stream":true`, auth)},
		{"chat_stream_cut_first", failAfter(), chat(`,"stream":true`, auth)},
		{"chat_cut", failAfter("Placement", " fits"), chat("", auth)},
		{"chat_short_count", func(w *testServer) {
			w.generate = func(ctx context.Context, g front.Generation, s front.Sink) (front.Result, error) {
				res, err := generateWords("Placement")(ctx, g, s)
				res.OutputTokens++
				return res, err
			}
		}, chat(`,"stream":true`, auth)},
		{"chat_crossed_token", func(w *testServer) {
			w.generate = func(_ context.Context, _ front.Generation, s front.Sink) (front.Result, error) {
				_ = s.Token(0, "Placement")
				err := s.Token(0, "Placement")
				return front.Result{OutputTokens: 1}, fail.New("flow: relay", "d1", ident.Unknown, err)
			}
		}, chat(`,"stream":true`, auth)},
		{"chat_keep_alive", nil, strings.Replace(chat("", auth), "Connection: close\r\n", "", 1) + chat("", auth)},
		{"chat_rate", func(w *testServer) {
			w.admit = func(int64) error {
				return fail.Refuse(fail.CodeRateLimited, 1500*time.Millisecond, "the rate is used up")
			}
		}, chat("", auth)},
		{"chat_rate_never", func(w *testServer) {
			w.admit = func(int64) error { return fail.Refuse(fail.CodeTooLarge, fail.NoRetry, "larger than the burst") }
		}, chat("", auth)},
		{"chat_overload", rejectRun(fail.CodeOverloaded, 3*time.Second, "no place is free in time"), chat("", auth)},
		{"chat_no_server", rejectRun(fail.CodeNoServer, 0, "no decode server is left"), chat("", auth)},
		{"chat_deadline", rejectRun(fail.CodeDeadline, time.Second, "the queue is longer than the target"), chat("", auth)},
		{"chat_no_key", nil, chat("")},
		{"chat_wrong_key", nil, chat("", "Authorization: Bearer sk-wrong")},
		{"chat_unknown_model", nil, request("POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"user","content":"a"}]}`, auth)},
		{"chat_unknown_class", nil, chat(`,"class":"slow"`, auth)},
		{"chat_bad_json", nil, request("POST", "/v1/chat/completions", `{"model":"dossier",`, auth)},
		{"chat_wrong_type", nil, request("POST", "/v1/chat/completions", `{"model":7}`, auth)},
		{"chat_no_messages", nil, request("POST", "/v1/chat/completions", `{"model":"dossier"}`, auth)},
		{"chat_tools", nil, chat(`,"tools":[{"type":"function"}]`, auth)},
		{"chat_too_many_tokens", nil, chat(`,"max_tokens":65`, auth)},
		{"chat_long_prompt", nil, request("POST", "/v1/chat/completions",
			`{"model":"dossier","messages":[{"role":"user","content":[{"type":"text","text":"`+strings.Repeat("x", 400)+`"}]}]}`, auth)},
		{"chat_wrong_method", nil, request("GET", "/v1/chat/completions", "", auth)},
		{"no_table", func(w *testServer) { w.config.missing = true }, chat("", auth)},
		{"models", nil, request("GET", "/v1/models", "", auth)},
		{"unknown_route", nil, request("GET", "/nowhere", "", auth)},
		{"dotted_route", nil, request("GET", "/open/../confirm", "")},
		{"plain", nil, request("GET", "/status/7?x=1", "", auth)},
		{"plain_open", nil, request("GET", "/open", "")},
		{"plain_open_wrong_key", nil, request("GET", "/open?key=sk-wrong", "")},
		{"plain_no_key", nil, request("GET", "/status", "")},
		{"plain_body_too_large", nil, request("POST", "/status", strings.Repeat("x", 65), auth)},
		{"plain_failed", failCall(fail.New("plain: call", "app-1", ident.Unknown, errors.New("reset by peer"))), request("POST", "/confirm", "pupil 7", auth)},
		{"plain_not_run", failCall(fail.New("plain: call", "app-1", ident.NotRun, errors.New("refused"))), request("POST", "/confirm", "pupil 7", auth)},
		{"plain_no_server", failCall(fail.Refuse(fail.CodeNoServer, time.Second, "no server of the service is available")), request("POST", "/confirm", "pupil 7", auth)},
		{"keyed", nil, request("POST", "/confirm", "pupil 7", auth, keyed)},
		{"keyed_replayed", func(w *testServer) {
			w.callKeyed = func(context.Context, once.Call) (plain.Answer, error) {
				return plain.Answer{Status: 201, Body: []byte("ok"), Replayed: true}, nil
			}
		}, request("POST", "/confirm", "pupil 7", auth, keyed)},
		{"keyed_unknown", failKeyed(keyUnknown), request("POST", "/confirm", "pupil 7", auth, keyed)},
		{"keyed_reused", failKeyed(fail.Refuse(fail.CodeKeyReused, fail.NoRetry, "the key was used for another call")), request("POST", "/confirm", "pupil 8", auth, keyed)},
		{"keyed_home_away", failKeyed(fail.Refuse(fail.CodeHomeUnreachable, 2*time.Second, "the call's home can't be reached")), request("POST", "/confirm", "pupil 8", auth, keyed)},
		{"keyed_long", nil, request("POST", "/confirm", "pupil 8", auth, "Idempotency-Key: "+strings.Repeat("k", 256))},
		{"keyed_not_text", nil, request("POST", "/confirm", "pupil 8", auth, "Idempotency-Key: k\xff")},
		{"keyed_open", nil, request("POST", "/open", "pupil 7", "Idempotency-Key: k-1")},
		{"header_flood", nil, request("GET", "/open", "", "X-Flood: "+strings.Repeat("x", 40<<10))},
		{"bad_http", nil, "HELLO\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestServer(t)
			if tt.set != nil {
				tt.set(w)
			}
			out := w.exchange(tt.in)
			w.drain()
			compareGolden(t, tt.name, ">>> request\n"+tt.in+"\n<<< answer\n"+out+"\n--- log\n"+w.log.String())
		})
	}
}

// drain drains the server, so that all decision log lines are written.
func (w *testServer) drain() {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- w.s.Drain(ctx) }()
	for {
		select {
		case err := <-drained:
			if err != nil {
				w.t.Fatal(err)
			}
			return
		default:
			w.clock.Advance(time.Second)
		}
	}
}

var filler = regexp.MustCompile(`x{100,}`)

// compareGolden compares got with the golden file of this name. Line ends of the
// protocol are kept; long runs of the letter x are abbreviated.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	got = filler.ReplaceAllStringFunc(got, func(s string) string { return "x{" + strconv.Itoa(len(s)) + "}" })
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("session %s differs from its golden file\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}
