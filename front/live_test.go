package front_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
)

// blockingGenerator emits one token and waits until it is released or cancelled.
type blockingGenerator struct {
	started chan struct{}
	ended   chan error // receives the cancellation cause
	release chan struct{}
}

func newBlockingGenerator(w *testServer) *blockingGenerator {
	h := &blockingGenerator{started: make(chan struct{}, 8), ended: make(chan error, 8), release: make(chan struct{})}
	w.generate = func(ctx context.Context, g front.Generation, s front.Sink) (front.Result, error) {
		if err := s.Token(0, "Placement"); err != nil {
			return front.Result{}, err
		}
		h.started <- struct{}{}
		select {
		case <-h.release:
			return front.Result{OutputTokens: 1, Reason: "stop"}, nil
		case <-ctx.Done():
			h.ended <- context.Cause(ctx)
			return front.Result{OutputTokens: 1}, fail.New("flow: relay", "d1", ident.Unknown, ctx.Err())
		}
	}
	return h
}

// send writes a request and leaves the connection open. The function closed closes
// it.
func (w *testServer) send(request string) (body io.Reader, closed func()) {
	w.t.Helper()
	c := w.dial()
	if _, err := io.WriteString(c, request); err != nil {
		w.t.Fatal(err)
	}
	return c, func() { _ = c.Close() }
}

func readAll(t *testing.T, r io.Reader) string {
	t.Helper()
	b, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestWithdrawnKeyCancelsRequests checks that withdrawing a key cancels the requests
// in progress with this key, and no others.
func TestWithdrawnKeyCancelsRequests(t *testing.T) {
	tests := []struct {
		name, in, want string
	}{
		{"stream", chat(`,"stream":true`, auth), "event: error\ndata: {\"error\":{\"code\":\"key_withdrawn\""},
		{"not streamed", chat("", auth), "HTTP/1.1 401 Unauthorized"},
	}
	const other = "sk-another-customer-000000"
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t)
			w.config.keys[sha256.Sum256([]byte(other))] = "norte"
			h := newBlockingGenerator(w)
			mine, _ := w.send(tt.in)
			theirs, _ := w.send(chat(`,"stream":true`, "X-Api-Key: "+other))
			<-h.started
			<-h.started
			w.config.removeKey(testKey)
			w.s.CancelWithdrawn(func(sum [32]byte) bool { _, ok := w.config.KeyOwner(sum); return ok })
			is.True(<-h.ended != nil) // the generator was cancelled
			got := readAll(t, mine)
			is.True(strings.Contains(got, tt.want))
			is.True(strings.Contains(got, "key_withdrawn"))
			is.True(!strings.Contains(got, "[DONE]"))
			close(h.release)
			is.True(strings.Contains(readAll(t, theirs), "[DONE]")) // the stream of the other customer is complete
			is.True(strings.HasPrefix(w.exchange(chat("", auth)), "HTTP/1.1 401"))
		})
	}
}

// TestCallerDisconnects checks that a closed connection cancels the request, which is
// counted as abandoned only.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	w := newTestServer(t)
	h := newBlockingGenerator(w)
	_, closed := w.send(chat(`,"stream":true`, auth))
	<-h.started
	closed()
	is.True(<-h.ended != nil)
	w.drain()
	is.Equal(w.s.Active(), int64(0))
	is.True(strings.Contains(w.log.String(), "front: caller left"))
	is.Equal(w.meter.Counter("requests_abandoned_total").Count(), int64(1))
	is.Equal(w.meter.Counter("requests_total").Count(), int64(0))
}

// generateForever makes the generator emit tokens until a write fails. The channel
// receives the write error once the context is cancelled as well.
func generateForever(w *testServer) <-chan error {
	ended := make(chan error, 1)
	text := strings.Repeat("x", 64<<10)
	w.generate = func(ctx context.Context, _ front.Generation, s front.Sink) (front.Result, error) {
		for i := int64(0); ; i++ {
			if err := s.Token(i, text); err != nil {
				<-ctx.Done()
				ended <- err
				return front.Result{OutputTokens: i}, err
			}
		}
	}
	return ended
}

// TestCallerStopsReading checks that a caller that keeps its connection open but stops
// reading does not occupy the generator for longer than the stall timeout.
func TestCallerStopsReading(t *testing.T) {
	is := is.New(t)
	w := newTestServer(t)
	ended := generateForever(w)
	_, _ = w.send(chat(`,"stream":true`, auth))
	is.True(<-ended != nil)
	w.drain()
	is.True(strings.Contains(w.log.String(), `"outcome":"unknown"`))
}

// TestFullInstanceRejects checks that a request beyond MaxActive is rejected with a
// Retry-After and does not disturb the requests in progress.
func TestFullInstanceRejects(t *testing.T) {
	is := is.New(t)
	w := newTestServer(t)
	h := newBlockingGenerator(w)
	h.started = make(chan struct{}, maxActive)
	open := make([]io.Reader, maxActive)
	for i := range open {
		open[i], _ = w.send(chat(`,"stream":true`, auth))
	}
	for range open {
		<-h.started
	}
	got := w.exchange(request("GET", "/open", ""))
	is.True(strings.HasPrefix(got, "HTTP/1.1 503"))
	is.True(strings.Contains(got, `"overloaded"`))
	is.True(strings.Contains(got, `"not run"`))
	is.True(strings.Contains(got, "Retry-After: 1"))
	close(h.release)
	for _, r := range open {
		is.True(strings.Contains(readAll(t, r), "data: [DONE]")) // no request in progress was interrupted
	}
	is.True(strings.HasPrefix(w.exchange(request("GET", "/open", "")), "HTTP/1.1 200"))
}

// TestDrainWaitsForRequests guards against a drain that interrupts streams, also if
// Drain is called twice and however long the streams take.
func TestDrainWaitsForRequests(t *testing.T) {
	is := is.New(t)
	w := newTestServer(t)
	h := newBlockingGenerator(w)
	long, _ := w.send(chat(`,"stream":true`, auth))
	<-h.started
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- w.s.Drain(context.Background()) }()
	for !w.s.Draining() {
		w.clock.Advance(0)
	}
	go func() { second <- w.s.Drain(context.Background()) }()
	is.True(strings.HasPrefix(w.exchange(request("GET", "/open", "")), "HTTP/1.1 200")) // the server still accepts requests
	w.clock.Advance(time.Hour)
	select {
	case <-first:
		t.Fatal("first Drain returned before the end of the stream")
	case <-second:
		t.Fatal("second Drain returned before the end of the stream")
	case err := <-w.done:
		t.Fatal("server stopped before the end of the stream:", err)
	default:
	}
	close(h.release)
	is.True(strings.Contains(readAll(t, long), "data: [DONE]"))
	for range 2 {
		w.clock.Advance(time.Hour)
	}
	for first != nil || second != nil {
		select {
		case err := <-first:
			is.NoErr(err)
			first = nil
		case err := <-second:
			is.NoErr(err)
			second = nil
		default:
			w.clock.Advance(time.Second)
		}
	}
	is.NoErr(<-w.done)
}

// TestRejectionBeforeEndOfBodyIsSeen guards against callers whose connection is reset before they have read why their body is not wanted.
func TestRejectionBeforeEndOfBodyIsSeen(t *testing.T) {
	const parts = 150 // of 64 KiB, which is more than any route reads
	tests := []struct {
		name, path, want string
	}{
		{"too long", "/v1/chat/completions", "HTTP/1.1 413 "},
		{"method", "/v1/models", "HTTP/1.1 405 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestServer(t)
			in := w.dial()
			_, err := io.WriteString(in, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: dock\r\nAuthorization: Bearer pupil\r\nContent-Length: %d\r\n\r\n", tt.path, parts<<16))
			is.NoErr(err)
			for range parts {
				_, err = in.Write(make([]byte, 64<<10))
				is.NoErr(err)
				time.Sleep(10 * time.Millisecond)
			}
			got := readAll(t, in)
			is.True(strings.HasPrefix(got, tt.want))
			is.Equal(strings.Count(got, "HTTP/1.1"), 1)
		})
	}
}

// TestReadTimeouts checks that a caller that does not finish its headers or its body
// gets an error response, and that an idle connection is closed without one.
func TestReadTimeouts(t *testing.T) {
	tests := []struct {
		name, in, want string
	}{
		{"headers", "GET /open HTTP/1.1\r\nHost: do", "HTTP/1.1 408 Request Timeout"},
		{"body", strings.Replace(request("POST", "/open", "pupil"), "pupil", "pup", 1), "HTTP/1.1 400 Bad Request"},
		{"nothing", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t)
			in, _ := w.send(tt.in)
			got := readAll(t, in)
			is.True(strings.HasPrefix(got, tt.want))
			if strings.Contains(got, "400") {
				is.True(strings.Contains(got, `"outcome":"not run"`))
			}
		})
	}
}

func TestAdmin(t *testing.T) {
	is := is.New(t)
	reason := "no table"
	h := front.Admin(func() string { return reason }, http.NotFoundHandler())
	for _, tt := range []struct {
		path, reason string
		want         int
	}{
		{"/livez", "no table", 200}, {"/readyz", "no table", 503}, {"/readyz", "", 200}, {"/metrics", "", 404},
	} {
		reason = tt.reason
		rec := httptest.NewRecorder()
		req, err := http.NewRequest("GET", tt.path, http.NoBody)
		is.NoErr(err)
		h.ServeHTTP(rec, req)
		is.Equal(rec.Code, tt.want)
	}
}

// TestSettleOnce checks that each admitted request is settled exactly once, with the
// tokens of the prompt and of the output that was sent, or zero if it did not run.
func TestSettleOnce(t *testing.T) {
	tests := []struct {
		name string
		set  func(*testServer)
		want int64
	}{
		{"complete", nil, 10 + 3},
		{"truncated", failAfter("a", "b"), 10 + 2},
		{"not run", rejectRun(fail.CodeOverloaded, time.Second, "full"), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t)
			if tt.set != nil {
				tt.set(w)
			}
			_ = w.exchange(chat("", auth))
			w.drain()
			is.Equal(w.settled, []int64{tt.want})
		})
	}
}

// BenchmarkChat measures the cost of one streamed request in this package, over a
// persistent connection and with a fake generator.
func BenchmarkChat(b *testing.B) {
	w := newTestServer(b)
	c := w.dial()
	in := strings.Replace(chat(`,"stream":true`, auth), "Connection: close\r\n", "", 1)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, in); err != nil {
			b.Fatal(err)
		}
		for line := ""; line != "0\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := r.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
	}
}
