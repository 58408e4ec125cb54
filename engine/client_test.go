package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

var attempt = ident.Attempt{Node: ident.Node{Instance: "a", Incarnation: 1}, Serial: 1}

// fixedDirectory is a Directory with the same address for all servers except "nowhere".
type fixedDirectory string

func (d fixedDirectory) Address(s ident.Server) (string, bool) { return string(d), s != "nowhere" }

func newClient(t *testing.T, addr string) *engine.Client {
	c := engine.New(engine.Config{
		Clock:        tick.NewReal(),
		Directory:    fixedDirectory(addr),
		StallTimeout: 100 * time.Millisecond,
		CallTimeout:  time.Second,
	})
	t.Cleanup(c.Close)
	return c
}

func prefill(c *engine.Client, s ident.Server) error {
	_, err := c.Prefill(context.Background(), s, flow.PrefillRequest{Attempt: attempt, Prompt: "p"})
	return err
}

// TestCallOutcome guards against reporting a call as not run although the engine may have run it. Such
// a call would be retried and could run twice.
func TestCallOutcome(t *testing.T) {
	tests := []struct {
		name    string
		server  ident.Server
		handler http.HandlerFunc // nil for no listener
		outcome ident.Outcome
		is      error
	}{
		{
			name:    "no address",
			server:  "nowhere",
			outcome: ident.NotRun,
		},
		{
			name:    "connection refused",
			outcome: ident.NotRun,
		},
		{
			name:    "connection closed after the request was read",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			outcome: ident.Unknown,
			is:      flow.ErrConnBroken,
		},
		{
			name:    "silent",
			handler: func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); <-r.Context().Done() },
			outcome: ident.Unknown,
			is:      flow.ErrStalled,
		},
		{
			name: "stalled within the response",
			handler: func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "\n")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			},
			outcome: ident.Unknown,
			is:      flow.ErrStalled,
		},
		{
			name:    "rejected with a code",
			handler: status(http.StatusConflict, `{"code":"draining"}`),
			outcome: ident.NotRun,
			is:      flow.ErrDraining,
		},
		{
			name:    "error without a code",
			handler: status(http.StatusInternalServerError, "oops"),
			outcome: ident.Unknown,
		},
		{
			name:    "gateway error with an unknown body",
			handler: status(http.StatusBadGateway, `{"error":"bad gateway"}`),
			outcome: ident.Unknown,
		},
		{
			name:    "failed while running",
			handler: status(http.StatusOK, `{"code":"failed","message":"out of memory"}`),
			outcome: ident.Unknown,
		},
		{
			name:    "response to another attempt",
			handler: status(http.StatusOK, `{"attempt":"a.1.2","kv":"k"}`),
			outcome: ident.Unknown,
			is:      flow.ErrWrongAttempt,
		},
		{
			name:    "response is not JSON",
			handler: status(http.StatusOK, `{"attempt":`),
			outcome: ident.Unknown,
		},
		{
			name:    "endless response",
			handler: endless,
			outcome: ident.Unknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(tt.handler)
			if tt.handler == nil {
				srv.Close()
			}
			defer srv.Close()
			err := prefill(newClient(t, srv.Listener.Addr().String()), tt.server)
			is.True(err != nil)
			is.Equal(fail.Outcome(err), tt.outcome)
			if tt.is != nil {
				is.True(errors.Is(err, tt.is))
			}
		})
	}
}

// trickle writes heartbeats for 3 s and ends without a response body.
func trickle(w http.ResponseWriter, r *http.Request) {
	for range 300 {
		if _, err := io.WriteString(w, "\n"); err != nil || r.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCallTimeout guards against a call that never ends because its response has heartbeats and no end.
func TestCallTimeout(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(trickle))
	defer srv.Close()
	c := engine.New(engine.Config{
		Clock:        tick.NewReal(),
		Directory:    fixedDirectory(srv.Listener.Addr().String()),
		StallTimeout: time.Minute,
		CallTimeout:  200 * time.Millisecond,
	})
	defer c.Close()
	_, err := c.Reserve(context.Background(), "d1", flow.ReserveRequest{Attempt: attempt})
	is.True(errors.Is(err, flow.ErrStalled))
	is.Equal(fail.Outcome(err), ident.Unknown)
}

func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func endless(w http.ResponseWriter, r *http.Request) {
	chunk := []byte(strings.Repeat(" ", 1<<16))
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// TestWorkIsSentOnce guards against a call being sent twice without the caller noticing. The server
// closes the connection after reading the request, as it may when it closes an idle connection at that
// moment. The standard transport retries such a request on a reused connection.
func TestWorkIsSentOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var requests atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serveFirst(conn, &requests)
		}
	}()
	c := newClient(t, ln.Addr().String())
	_, err = c.Reserve(context.Background(), "d1", flow.ReserveRequest{Attempt: attempt})
	is.NoErr(err) // the server leaves the connection open
	_, err = c.Stream(context.Background(), "d1", attempt, 0)
	is.True(errors.Is(err, flow.ErrConnBroken))
	is.Equal(requests.Load(), int64(2)) // the request for the stream was sent once
	_ = ln.Close()
	<-done
}

// serveFirst reads requests from a connection. It responds to the first request of the test and closes
// the connection on any later one.
func serveFirst(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if requests.Add(1) > 1 {
			return
		}
		body := `{"place":"x"}`
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// TestSlowReaderIsNotStall guards against a stream failing as stalled because its caller reads slowly.
func TestSlowReaderIsNotStall(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: {\"attempt\":\"a.1.1\",\"offset\":0,\"text\":\"t\"}\n\n")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "event: end\ndata: {\"attempt\":\"a.1.1\",\"total\":1,\"reason\":\"stop\"}\n\n")
	}))
	defer srv.Close()
	s, err := newClient(t, srv.Listener.Addr().String()).Stream(context.Background(), "d1", attempt, 0)
	is.NoErr(err)
	defer s.Close()
	_, err = s.Next()
	is.NoErr(err)
	_ = tick.Sleep(context.Background(), tick.NewReal(), 300*time.Millisecond) // three times the stall timeout
	ev, err := s.Next()
	is.NoErr(err)
	is.True(ev.End)
}

// TestStreamEvents guards against incomplete or malformed events being returned as tokens, and against
// events of unbounded size.
func TestStreamEvents(t *testing.T) {
	const token = "id: 0\ndata: {\"attempt\":\"a.1.1\",\"offset\":0,\"text\":\"t\"}\n\n"
	tests := []struct {
		name string
		body string
		want flow.Event
		err  error // error of the second Next, or of the first if want is empty
	}{
		{"comment before a token", ": alive\n\n" + token, flow.Event{Attempt: attempt, Text: "t"}, flow.ErrConnBroken},
		{"incomplete event", strings.TrimSuffix(token, "\n"), flow.Event{}, flow.ErrConnBroken},
		{"carriage returns", strings.ReplaceAll(token, "\n", "\r\n"), flow.Event{Attempt: attempt, Text: "t"}, flow.ErrConnBroken},
		{"error event", "event: error\ndata: {\"code\":\"attempt\"}\n\n", flow.Event{}, flow.ErrUnknownAttempt},
		{"not JSON", "data: x\n\n", flow.Event{}, nil},
		{"missing attempt", "data: {\"offset\":0}\n\n", flow.Event{}, ident.ErrInvalidAttempt},
		{"text of an error", "{\"error\": \"failed\"}\n\n", flow.Event{}, flow.ErrConnBroken},
		{"whole response of an error", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}\n\n", flow.Event{}, flow.ErrConnBroken},
		{"error as a token", "data: {\"error\": \"failed\"}\n\n", flow.Event{}, ident.ErrInvalidAttempt},
		{"event of another kind", "event: failed\ndata: {\"attempt\":\"a.1.1\",\"offset\":0,\"text\":\"t\"}\n\n", flow.Event{}, nil},
		{"error of the attempt as a token", "data: {\"attempt\":\"a.1.1\",\"code\":\"failed\"}\n\n", flow.Event{}, nil},
		{"error of the attempt as an end", "event: end\ndata: {\"attempt\":\"a.1.1\",\"code\":\"failed\"}\n\n", flow.Event{}, nil},
		{"endless line", "data: " + strings.Repeat("x", 1<<20), flow.Event{}, nil},
		{"endless data", strings.Repeat("data: xxxxxxxx\n", 1<<16), flow.Event{}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(status(http.StatusOK, tt.body))
			defer srv.Close()
			s, err := newClient(t, srv.Listener.Addr().String()).Stream(context.Background(), "d1", attempt, 0)
			is.NoErr(err)
			defer s.Close()
			got, err := s.Next()
			is.Equal(got, tt.want)
			if err == nil {
				_, err = s.Next()
			}
			is.True(err != nil)
			is.Equal(fail.Outcome(err), ident.Unknown)
			if tt.err != nil {
				is.True(errors.Is(err, tt.err))
			}
		})
	}
}
