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

// fixed is a directory with one address.
type fixed string

func (f fixed) Address(s ident.Server) (string, bool) { return string(f), s != "nowhere" }

func newClient(t *testing.T, addr string) *engine.Client {
	c := engine.New(engine.Config{
		Clock:        tick.NewReal(),
		Directory:    fixed(addr),
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

func TestOutcomeOfCalls(t *testing.T) {
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
			name:    "nobody listens",
			outcome: ident.NotRun,
		},
		{
			name:    "cut after the request was read",
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
			name: "silent within the answer",
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
			name:    "refused with a code",
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
			name:    "gateway error with a foreign body",
			handler: status(http.StatusBadGateway, `{"error":"bad gateway"}`),
			outcome: ident.Unknown,
		},
		{
			name:    "failed while it ran",
			handler: status(http.StatusOK, `{"code":"failed","message":"out of memory"}`),
			outcome: ident.Unknown,
		},
		{
			name:    "answer to another attempt",
			handler: status(http.StatusOK, `{"attempt":"a.1.2","kv":"k"}`),
			outcome: ident.Unknown,
			is:      flow.ErrWrongAttempt,
		},
		{
			name:    "answer is no JSON",
			handler: status(http.StatusOK, `{"attempt":`),
			outcome: ident.Unknown,
		},
		{
			name:    "endless answer",
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

// trickle writes signs of life and ends without an answer after a while.
func trickle(w http.ResponseWriter, r *http.Request) {
	for range 300 {
		if _, err := io.WriteString(w, "\n"); err != nil || r.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLimitOfCall ends a call whose answer shows signs of life and no end.
func TestLimitOfCall(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(trickle))
	defer srv.Close()
	c := engine.New(engine.Config{
		Clock:        tick.NewReal(),
		Directory:    fixed(srv.Listener.Addr().String()),
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

// TestWorkIsWrittenOnce closes each connection after it has read a request, as
// a server does that ends an idle connection at the wrong moment. The standard
// transport repeats a request that fails so on a connection used before.
func TestWorkIsWrittenOnce(t *testing.T) {
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
			answerFirst(conn, &requests)
		}
	}()
	c := newClient(t, ln.Addr().String())
	_, err = c.Reserve(context.Background(), "d1", flow.ReserveRequest{Attempt: attempt})
	is.NoErr(err) // the connection is left open
	_, err = c.Stream(context.Background(), "d1", attempt, 0)
	is.True(errors.Is(err, flow.ErrConnBroken))
	is.Equal(requests.Load(), int64(2)) // the stream was asked for once
	_ = ln.Close()
	<-done
}

// answerFirst reads requests from a connection. It answers the first of all
// and closes the connection on any other.
func answerFirst(conn net.Conn, requests *atomic.Int64) {
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

func TestSlowReaderIsNotSilence(t *testing.T) {
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
	_ = tick.Sleep(context.Background(), tick.NewReal(), 300*time.Millisecond) // three times the silence
	ev, err := s.Next()
	is.NoErr(err)
	is.True(ev.End)
}

func TestStreamEvents(t *testing.T) {
	const token = "id: 0\ndata: {\"attempt\":\"a.1.1\",\"offset\":0,\"text\":\"t\"}\n\n"
	tests := []struct {
		name string
		body string
		want flow.Event
		err  error // of the call after, or of the first if want is empty
	}{
		{"comment before a token", ": alive\n\n" + token, flow.Event{Attempt: attempt, Text: "t"}, flow.ErrConnBroken},
		{"event cut short", strings.TrimSuffix(token, "\n"), flow.Event{}, flow.ErrConnBroken},
		{"carriage returns", strings.ReplaceAll(token, "\n", "\r\n"), flow.Event{Attempt: attempt, Text: "t"}, flow.ErrConnBroken},
		{"error event", "event: error\ndata: {\"code\":\"attempt\"}\n\n", flow.Event{}, flow.ErrUnknownAttempt},
		{"no JSON", "data: x\n\n", flow.Event{}, nil},
		{"no attempt", "data: {\"offset\":0}\n\n", flow.Event{}, ident.ErrInvalidAttempt},
		{"line without end", "data: " + strings.Repeat("x", 1<<20), flow.Event{}, nil},
		{"data without end", strings.Repeat("data: xxxxxxxx\n", 1<<16), flow.Event{}, nil},
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
