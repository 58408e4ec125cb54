package main

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/platform/fake"
)

// proxy forwards TCP connections on the loopback interface and injects faults into
// them.
type proxy struct {
	gate  *fake.Gate
	to    string
	dark  atomic.Bool  // bytes are discarded, connections stay open
	delay atomic.Int64 // delay of each write towards the client, nanoseconds

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// newProxy returns a proxy to an address. It stops when ctx ends and then sends to
// done.
func newProxy(ctx context.Context, to string, done chan<- struct{}) (*proxy, error) {
	l, err := net.Listen("tcp", fake.FreeAddr())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{gate: fake.NewGate(l), to: to, conns: make(map[net.Conn]bool)}
	stop := context.AfterFunc(ctx, func() {
		_ = p.gate.Close() // accept ends
		p.reset()
	})
	go func() {
		defer func() { done <- struct{}{} }()
		defer stop()
		p.accept()
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.gate.Addr().String() }

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	var ends sync.WaitGroup
	for {
		c, err := p.gate.Accept()
		if err != nil {
			ends.Wait()
			return
		}
		ends.Go(func() { p.forward(c) })
	}
}

func (p *proxy) forward(in net.Conn) {
	defer p.drop(in)
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		return // the client sees a closed connection, as it would without the proxy
	}
	defer p.drop(out)
	p.keep(in, out)
	back := make(chan struct{})
	go func() {
		defer close(back)
		p.copy(in, out, true)
	}()
	p.copy(out, in, false)
	<-back
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close() // it may be closed already
}

// copy forwards bytes in one direction until src is closed, and then closes dst.
func (p *proxy) copy(dst, src net.Conn, answer bool) {
	defer func() { _ = dst.Close() }() // ends the other direction as well
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if d := p.delay.Load(); n > 0 && answer && d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !p.dark.Load() {
			if _, werr := dst.Write(b[:n]); werr != nil {
				passReset(werr, src)
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = src.Close()
			}
			passReset(err, dst)
			return
		}
	}
}

// passReset closes a connection with a TCP reset if err is a reset of the connection whose bytes it forwards.
func passReset(err error, c net.Conn) {
	if errors.Is(err, syscall.ECONNRESET) {
		resetConn(c)
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // Close sends a reset instead of FIN
	}
	_ = c.Close()
}
