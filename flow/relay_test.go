package flow_test

import (
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on to an address. It can drop all bytes of the
// connections that are open, in either direction, without closing them.
type relay struct {
	to string
	ln net.Listener
	wg sync.WaitGroup

	mu    sync.Mutex
	pairs []*pair
	shut  bool
}

// pair is one connection and its other half.
type pair struct {
	in, out net.Conn

	mu       sync.Mutex
	dropUp   bool
	dropDown bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: to, ln: ln}
	r.wg.Add(1)
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.join(&pair{in: in, out: out})
	}
}

func (r *relay) join(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		p.close()
		return
	}
	r.pairs = append(r.pairs, p)
	r.wg.Add(2)
	go func() {
		defer r.wg.Done()
		p.copy(p.out, p.in, func() bool { return p.dropUp })
	}()
	go func() {
		defer r.wg.Done()
		p.copy(p.in, p.out, func() bool { return p.dropDown })
	}()
}

// silence drops the bytes of all connections that are open now. Their ends
// are not passed on either.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.dropUp = p.dropUp || up
		p.dropDown = p.dropDown || down
		p.mu.Unlock()
	}
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.shut = true
	for _, p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (p *pair) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

// copy passes bytes on. The end of one side ends the other, unless the bytes
// of that direction are dropped.
func (p *pair) copy(dst, src net.Conn, dropped func() bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		drop := dropped()
		p.mu.Unlock()
		if !drop && n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !drop {
				_ = dst.Close()
			}
			return
		}
	}
}
