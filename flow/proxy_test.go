package flow_test

import (
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to an address. It can drop all bytes of the open connections, in
// either direction, without closing them.
type tcpProxy struct {
	to string
	ln net.Listener
	wg sync.WaitGroup

	mu     sync.Mutex
	pairs  []*proxyConn
	closed bool
}

// proxyConn is a proxied connection: the accepted side and the dialed side.
type proxyConn struct {
	in, out net.Conn

	mu       sync.Mutex
	dropUp   bool
	dropDown bool
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpProxy{to: to, ln: ln}
	r.wg.Add(1)
	go r.accept()
	return r
}

func (r *tcpProxy) addr() string { return r.ln.Addr().String() }

func (r *tcpProxy) accept() {
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
		r.addConn(&proxyConn{in: in, out: out})
	}
}

func (r *tcpProxy) addConn(p *proxyConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
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

// blackhole drops the bytes of all connections that are open now. It does not forward their close
// either.
func (r *tcpProxy) blackhole(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.mu.Lock()
		p.dropUp = p.dropUp || up
		p.dropDown = p.dropDown || down
		p.mu.Unlock()
	}
}

func (r *tcpProxy) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	for _, p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (p *proxyConn) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

// copy forwards bytes from src to dst. When src ends, dst is closed, unless the bytes of that
// direction are dropped.
func (p *proxyConn) copy(dst, src net.Conn, dropped func() bool) {
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
