package main

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// proxy forwards connections of the loopback and harms them on demand.
type proxy struct {
	l     net.Listener
	to    string
	dark  atomic.Bool  // bytes vanish, connections stay
	delay atomic.Int64 // of each piece of an answer, nanoseconds

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// newProxy returns a proxy to an address. It ends with ctx, and says so on
// done.
func newProxy(ctx context.Context, to string, done chan<- struct{}) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{l: l, to: to, conns: make(map[net.Conn]bool)}
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close() // accept ends
		p.reset()
	})
	go func() {
		defer func() { done <- struct{}{} }()
		defer stop()
		p.accept()
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.l.Addr().String() }

// accept serves connections until the listener is closed.
func (p *proxy) accept() {
	var ends sync.WaitGroup
	for {
		c, err := p.l.Accept()
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
		return // the caller sees a closed connection, as it would there
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
	_ = c.Close() // it may be closed before
}

// copy carries bytes one way until an end closes, and then closes the other.
func (p *proxy) copy(dst, src net.Conn, answer bool) {
	defer func() { _ = dst.Close() }() // the other way ends as well
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if d := p.delay.Load(); n > 0 && answer && d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !p.dark.Load() {
			if _, werr := dst.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = src.Close()
			}
			return
		}
	}
}

// reset closes all connections without the usual end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // else it ends in the usual way
		}
		_ = c.Close()
	}
}
