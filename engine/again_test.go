package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/sweep"
)

// again says what an engine sends besides the responses to its requests.
type again struct {
	name   string
	silent bool // responses carry no call ID
	after  func(own string) string
	before func(last string) string // sent when the next request has been read
	keep   bool                     // the response follows what before returns
}

// numberedEngine numbers the requests that it has read. Each response has the number of its request.
type numberedEngine struct {
	again
	refuse func(n int64) bool
	ln     net.Listener
	shut   atomic.Bool // closes the connection after a request has been read
	read   atomic.Int64
	conns  atomic.Int64
	open   sync.WaitGroup

	mu  sync.Mutex
	ids map[int64]string // call IDs of the requests, by number
}

func startNumbered(t *testing.T, a again, refuse func(int64) bool) *numberedEngine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &numberedEngine{again: a, refuse: refuse, ln: ln, ids: make(map[int64]string)}
	e.open.Add(1)
	go e.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		e.open.Wait()
	})
	return e
}

func (e *numberedEngine) accept() {
	defer e.open.Done()
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.conns.Add(1)
		e.open.Add(1)
		go e.serve(conn)
	}
}

func (e *numberedEngine) serve(conn net.Conn) {
	defer e.open.Done()
	defer func() { _ = conn.Close() }()
	last := ""
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		own := e.response(req, e.number(req))
		if e.shut.Load() {
			return
		}
		out := own
		if last != "" && e.before != nil {
			out = e.before(last)
			if e.keep {
				out += own
			}
		}
		if e.after != nil {
			out += e.after(own)
		}
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
		last = own
	}
}

// number returns the number of a request.
func (e *numberedEngine) number(req *http.Request) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.read.Add(1)
	e.ids[n] = req.Header.Get(engine.CallIDHeader)
	return n
}

// numbers returns the numbers of the requests with a call ID, of which there are several if the client sent it again.
func (e *numberedEngine) numbers(id string) []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []int64
	for n, other := range e.ids {
		if other == id {
			list = append(list, n)
		}
	}
	return list
}

func (e *numberedEngine) response(req *http.Request, n int64) string {
	status, body := "200 OK", numbered(req, n)
	if e.refuse(n) {
		status, body = "409 Conflict", encoded(engine.Refusal{Code: "x", Message: "call " + strconv.FormatInt(n, 10)})
	}
	id := ""
	if v := req.Header.Get(engine.CallIDHeader); v != "" && !e.silent {
		id = engine.CallIDHeader + ": " + v + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nDate: Sat, 05 Dec 2026 04:00:00 GMT\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

func numbered(req *http.Request, n int64) string {
	a := ident.Attempt{Node: attempt.Node, Serial: uint64(n)}.String()
	switch req.URL.Path {
	case engine.PathReserve:
		return encoded(engine.ReserveResponse{Slot: strconv.FormatInt(n, 10)})
	case engine.PathPrefill:
		return encoded(engine.PrefillResponse{Attempt: attempt.String(), Tokens: n})
	case engine.PathImport:
		return encoded(engine.ImportResponse{Attempt: attempt.String()})
	case engine.PathStream:
		return "event: end\ndata: " + encoded(engine.EndEvent{Attempt: attempt.String(), Total: n}) + "\n\n"
	case engine.PathCancel:
		return encoded(engine.CancelResponse{Released: int(n)})
	case engine.PathTouch:
		return encoded(engine.TouchResponse{Gone: []string{a}})
	case engine.PathHolds:
		return encoded([]engine.HoldEntry{{Attempt: a}})
	case engine.PathLoad:
		return encoded(engine.LoadReport{Seq: uint64(n)})
	default:
		return "{}"
	}
}

func encoded(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// numberedCall makes a call and returns the number in its response, 0 if the response has none.
type numberedCall struct {
	name   string
	pooled bool
	call   func(ctx context.Context, c *engine.Client) (int64, error)
}

var numberedCalls = []numberedCall{
	{"reserve", false, func(ctx context.Context, c *engine.Client) (int64, error) {
		s, err := c.Reserve(ctx, "d1", flow.ReserveRequest{Attempt: attempt})
		n, _ := strconv.ParseInt(s.ID, 10, 64)
		return n, err
	}},
	{"prefill", false, func(ctx context.Context, c *engine.Client) (int64, error) {
		kv, err := c.Prefill(ctx, "d1", flow.PrefillRequest{Attempt: attempt})
		return kv.Tokens, err
	}},
	{"import", false, func(ctx context.Context, c *engine.Client) (int64, error) {
		return 0, c.Import(ctx, "d1", flow.ImportRequest{Attempt: attempt, Source: "p1"})
	}},
	{"stream", false, func(ctx context.Context, c *engine.Client) (int64, error) {
		s, err := c.Stream(ctx, "d1", attempt, 0)
		if err != nil {
			return 0, err
		}
		defer s.Close()
		ev, err := s.Next()
		return ev.Total, err
	}},
	{"order", false, func(ctx context.Context, c *engine.Client) (int64, error) {
		return 0, c.Order(ctx, orders.Order{Server: "d1", Kind: orders.Load})
	}},
	{"cancel", true, func(ctx context.Context, c *engine.Client) (int64, error) {
		n, err := c.Cancel(ctx, "d1", attempt, 0)
		return int64(n), err
	}},
	{"touch", true, func(ctx context.Context, c *engine.Client) (int64, error) {
		gone, err := c.Touch(ctx, "d1", []ident.Attempt{attempt})
		if len(gone) == 0 {
			return 0, err
		}
		return int64(gone[0].Serial), err
	}},
	{"holds", true, func(ctx context.Context, c *engine.Client) (int64, error) {
		hs, err := c.Holds(ctx, "d1", 0)
		if len(hs) == 0 {
			hs = []sweep.Hold{{}}
		}
		return int64(hs[0].Attempt.Serial), err
	}},
	{"load", true, func(ctx context.Context, c *engine.Client) (int64, error) {
		l, err := c.Load(ctx, "d1")
		return int64(l.Seq), err
	}},
}

// check makes the call and reports whether its result is that of its own request. It fails the test if
// the result is that of another one. Requests of earlier calls may still be read meanwhile, on connections that ended.
func (e *numberedEngine) check(t *testing.T, c *engine.Client, cl numberedCall) bool {
	t.Helper()
	var id atomic.Pointer[string]
	trace := &httptrace.ClientTrace{WroteHeaderField: func(key string, values []string) {
		if key == engine.CallIDHeader {
			id.Store(&values[0])
		}
	}}
	got, err := cl.call(httptrace.WithClientTrace(context.Background(), trace), c)
	var own []int64
	if id.Load() != nil {
		own = e.numbers(*id.Load())
	}
	switch {
	case err == nil:
		if !slices.ContainsFunc(own, func(n int64) bool { return (got == 0 || got == n) && !e.refuse(n) }) {
			t.Fatalf("call %d returned the response to call %d", own, got)
		}
	case strings.Contains(err.Error(), `code "x"`):
		isIt := func(n int64) bool { return strings.Contains(err.Error(), fmt.Sprintf("call %d (", n)) && e.refuse(n) }
		if !slices.ContainsFunc(own, isIt) {
			t.Fatalf("call %d returned a refusal of another call: %v", own, err)
		}
		return true
	}
	return err == nil
}

func never(int64) bool     { return false }
func odd(n int64) bool     { return n%2 == 1 }
func even(n int64) bool    { return n%2 == 0 }
func same(s string) string { return s }

// TestEarlierResponseIsNotTaken guards against a call returning the response to an earlier one.
func TestEarlierResponseIsNotTaken(t *testing.T) {
	moments := []again{
		{name: "when the next request has been read", before: same, keep: true},
		{name: "in place of the next response", before: same},
		{name: "at once", after: same},
		{name: "a part at once", after: func(own string) string { return own[:len(own)/2] }},
		{name: "when the next request has been read, without IDs", before: same, keep: true, silent: true},
		{name: "at once, without IDs", after: same, silent: true},
	}
	refusals := []struct {
		name   string
		refuse func(int64) bool
	}{{"none refused", never}, {"odd ones refused", odd}, {"even ones refused", even}}
	for _, cl := range numberedCalls {
		for _, m := range moments {
			for _, r := range refusals {
				t.Run(cl.name+"/"+m.name+"/"+r.name, func(t *testing.T) {
					e := startNumbered(t, m, r.refuse)
					c := newClient(t, e.ln.Addr().String())
					own := 0
					for range 20 {
						if e.check(t, c, cl) {
							own++
						}
					}
					if own < 10 {
						t.Errorf("%d of 20 calls returned their own response, want 10 or more", own)
					}
				})
			}
		}
	}
}

// TestPartOfEarlierResponseIsNotTaken guards against a call returning a mixture of two responses.
func TestPartOfEarlierResponseIsNotTaken(t *testing.T) {
	for _, cl := range numberedCalls {
		if !cl.pooled {
			continue
		}
		for _, refuse := range []func(int64) bool{odd, even} {
			t.Run(cl.name+"/first one refused "+strconv.FormatBool(refuse(1)), func(t *testing.T) {
				var cut atomic.Int64
				part := func(last string) string { return last[:min(int(cut.Load()), len(last))] }
				e := startNumbered(t, again{before: part, keep: true}, refuse)
				for n := range int64(200) {
					cut.Store(n)
					e.read.Store(0)
					c := newClient(t, e.ln.Addr().String())
					e.check(t, c, cl)
					e.check(t, c, cl)
					c.Close()
				}
			})
		}
	}
}

// TestConnectionWithUnreadBytesIsNotReused guards against reusing a connection that got bytes while idle.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	for _, cl := range numberedCalls {
		t.Run(cl.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			e := &numberedEngine{refuse: never, ids: make(map[int64]string)}
			returned, closed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				own := e.response(req, e.number(req))
				_, _ = io.WriteString(conn, own)
				<-returned
				_, _ = io.WriteString(conn, own)
				_, _ = io.Copy(io.Discard, r) // ends when the client closes the connection
			}()
			c := newClient(t, ln.Addr().String())
			is.True(e.check(t, c, cl))
			close(returned)
			<-closed
		})
	}
}

// TestWorkCallsAreSentOnce guards against the transport sending such a call again on a new connection.
func TestWorkCallsAreSentOnce(t *testing.T) {
	for _, cl := range numberedCalls {
		if cl.pooled {
			continue
		}
		t.Run(cl.name, func(t *testing.T) {
			is := is.New(t)
			e := startNumbered(t, again{}, never)
			c := newClient(t, e.ln.Addr().String())
			for n := range int64(10) {
				e.shut.Store(n%2 == 1)
				_, err := cl.call(context.Background(), c)
				is.Equal(err != nil, n%2 == 1)
				if err != nil {
					is.Equal(fail.Outcome(err), ident.Unknown)
				}
				is.Equal(e.read.Load(), n+1)  // one request for each call
				is.Equal(e.conns.Load(), n+1) // on a connection of its own
			}
		})
	}
}
