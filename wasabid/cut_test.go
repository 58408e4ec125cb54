package main_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// relay carries the connections to one daemon's peer address. While it is cut,
// the open connections and new ones go silent.
type relay struct {
	l net.Listener

	mu    sync.Mutex // guards the fields below
	to    string
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l: l}
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.closeAll()
	})
	return r
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) target(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
}

// set cuts or heals. The connections of before a heal are closed by it.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	if !cut {
		r.closeAll()
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) accept() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, in)
		to, cut := r.to, r.cut
		r.mu.Unlock()
		if cut {
			continue
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, out)
		r.mu.Unlock()
		go r.copy(out, in)
		go r.copy(in, out)
	}
}

// copy drops what arrives while the relay is cut.
func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.isCut() {
			_, _ = to.Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !r.isCut() {
			_ = to.Close()
		}
		return
	}
}

// gate passes calls to the platform on, or leaves them without an answer.
type gate struct {
	relay *relay
	next  http.Handler
}

func (g gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.relay.isCut() {
		<-r.Context().Done()
		return
	}
	g.next.ServeHTTP(w, r)
}

// revisions returns the revisions that a daemon has put in force, in order.
func (p *proc) revisions() []uint64 {
	var list []uint64
	for _, line := range strings.Split(p.text(), "\n") {
		var l struct {
			Revision uint64
			Message  string
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Message == "app: table in force" {
			list = append(list, l.Revision)
		}
	}
	return list
}

// TestCentreIsCutOff cuts a data centre off from the other one and from the
// platform while a key is withdrawn.
func TestCentreIsCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	f := newFleet(t, []string{"east", "south"}, 1)
	url, relays := f.url, make(map[string]*relay)
	customers := []string{"calm,1,1000000,4000000", "other,1,1000000,4000000"}
	f.publish(1, customers, []string{"calm", "other"})
	for _, name := range f.names() {
		r := newRelay(t)
		relays[name] = r
		f.flags, f.url = []string{"-advertise", r.address()}, url
		if centreOf(name) == "south" {
			f.url = f.serve(gate{relay: r, next: f.platform})
		}
		p := f.start(name)
		r.target(p.peers)
		p.peers = r.address()
	}
	f.list()
	east, south := f.procs["east-1"], f.procs["south-1"]
	serves := func(p *proc, key string) func() bool {
		return func() bool {
			s, body, err := chat(t.Context(), p, key, 5, true)
			return err == nil && s == http.StatusOK && strings.Contains(body, "[DONE]")
		}
	}
	refuses := func(p *proc, key string) func() bool {
		return func() bool {
			s, _, err := chat(t.Context(), p, key, 5, true)
			return err == nil && s == http.StatusUnauthorized
		}
	}
	for _, p := range []*proc{east, south} {
		f.await(p.name+" ready", p.ready)
		f.await(p.name+" serves", serves(p, "calm"))
	}

	for _, r := range relays {
		r.set(true)
	}
	f.publish(2, customers, []string{"other"})
	f.await("key refused at east", refuses(east, "calm"))
	for range 5 {
		f.await("the cut centre serves its own share", serves(south, "calm"))
	}
	is.Equal(south.revision(), uint64(1))
	is.True(south.ready())

	for _, r := range relays {
		r.set(false)
	}
	f.await("key refused at south", refuses(south, "calm"))
	f.await("south serves", serves(south, "other"))
	f.await("east serves", serves(east, "other"))
	for _, p := range []*proc{east, south} {
		is.True(slices.IsSorted(p.revisions()))
		is.Equal(p.revision(), uint64(2))
	}
}
