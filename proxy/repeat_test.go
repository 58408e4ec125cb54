package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httputil"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// repeater forwards the connections to a server. When a request has been read for which again is
// true, it sends a copy of the response to the request before on that connection, and then the response.
type repeater struct {
	l     net.Listener
	to    string
	again func(before, r *http.Request) bool
	strip bool // copies lack the ID

	mu     sync.Mutex
	conns  []net.Conn
	copies int
	seen   []*http.Request
}

// repeat puts a repeater in front of each server.
func (h *harness) repeat(t *testing.T, again func(before, r *http.Request) bool) map[string]*repeater {
	t.Helper()
	all := make(map[string]*repeater)
	var list []*route.Server
	for _, s := range h.live.Fleet().All() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &repeater{l: l, to: s.Addr, again: again}
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.accept()
		}()
		t.Cleanup(func() {
			_ = l.Close()
			p.closeConns()
			<-done
		})
		moved := *s
		moved.Addr = l.Addr().String()
		h.servers[s.ID].SetPublicAddr(moved.Addr)
		h.servers[s.ID].Register()
		list = append(list, &moved)
		all[s.ID] = p
	}
	h.live.SetFleet(route.NewFleet(3, list))
	return all
}

func (p *repeater) accept() {
	var ends sync.WaitGroup
	defer ends.Wait()
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		p.keep(c)
		ends.Go(func() { p.serve(c) })
	}
}

// keep has closeConns close a connection.
func (p *repeater) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *repeater) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // it may be closed before
	}
}

func (p *repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	p.keep(out)
	in, back := bufio.NewReader(c), bufio.NewReader(out)
	var before *http.Request
	var last []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, err := httputil.DumpRequest(r, true)
		if err != nil {
			return
		}
		if before != nil && p.again(before, r) {
			p.mu.Lock()
			p.copies++
			p.mu.Unlock()
			copied := last
			if p.strip {
				copied = regexp.MustCompile("Wasabidock-Attempt-Id: [^\r]*\r\n").ReplaceAll(last, nil)
			}
			_, _ = c.Write(copied) // the client may have closed the connection
		}
		p.mu.Lock()
		p.seen = append(p.seen, r)
		p.mu.Unlock()
		if _, err := out.Write(b); err != nil {
			return
		}
		resp, err := http.ReadResponse(back, r)
		if err != nil {
			return
		}
		last, err = httputil.DumpResponse(resp, true)
		_ = resp.Body.Close() // it was read
		if err != nil {
			return
		}
		if _, err := c.Write(last); err != nil {
			return
		}
		before = r
	}
}

// counts returns the number of copies sent, and the requests received.
func (p *repeater) counts() (copies int, seen []*http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copies, append([]*http.Request(nil), p.seen...)
}

func isPrefill(r *http.Request) bool { return r.Header.Get("Wasabidock-Stage") == "prefill" }

func isReservation(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/hold-take") }

// TestNoRequestUsesHandleOfAnother guards against a second response to a call that is taken as the response to the next one.
func TestNoRequestUsesHandleOfAnother(t *testing.T) {
	tests := []struct {
		name  string
		again func(before, r *http.Request) bool
		strip bool // copies lack the ID
	}{
		{name: "prefill, copy without ID", again: func(before, r *http.Request) bool { return isPrefill(before) && isPrefill(r) }, strip: true},
		{name: "prefill", again: func(before, r *http.Request) bool { return isPrefill(before) && isPrefill(r) }},
		{name: "reservation", again: func(before, r *http.Request) bool { return isReservation(r) }},
		{name: "any", again: func(_, _ *http.Request) bool { return true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode})
			servers := h.repeat(t, tt.again)
			for _, p := range servers {
				p.strip = tt.strip
			}
			var results []result
			for _, id := range []string{"b1", "b2", "b3", "b4"} {
				results = append(results, h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts, withHeader("Wasabidock-Attempt-Id", id)))
			}
			copies := 0
			owner := make(map[string]string)
			for _, p := range servers {
				n, seen := p.counts()
				copies += n
				for _, r := range seen {
					for _, k := range []string{"Wasabidock-Kv-Source", "Wasabidock-Kv-Hold"} {
						v, id := r.Header.Get(k), r.Header.Get("Wasabidock-Attempt-Id")
						if other, ok := owner[k+v]; ok && v != "" && other != id {
							t.Errorf("%s: %s %q was used for %s before", id, k, v, other)
						}
						owner[k+v] = id
					}
				}
			}
			is.True(copies > 0) // the case came about
			for _, got := range results {
				is.NoErr(got.err)
				is.Equal(got.status, 200)
				is.Equal(got.body, eventText(1, 4))
			}
			is.Equal(len(h.servers["d1"].Runs()), len(results))
		})
	}
}

// TestNothingIsReleasedBesideItsRun guards against a release that overtakes the run that uses the reservation or the KV cache.
func TestNothingIsReleasedBesideItsRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode})
	h.servers["d1"].SetFault(fake.Hang)
	servers := h.repeat(t, func(_, _ *http.Request) bool { return false })
	got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "300"))
	is.Equal(got.status, 504)
	used, released := 0, 0
	for _, p := range servers {
		_, seen := p.counts()
		for _, r := range seen {
			if r.Header.Get("Wasabidock-Kv-Hold") != "" && r.Header.Get("Wasabidock-Kv-Source") != "" {
				used++
			}
			if r.Method == http.MethodDelete {
				released++
			}
		}
	}
	is.Equal(used, 1)
	is.Equal(released, 0)
}
