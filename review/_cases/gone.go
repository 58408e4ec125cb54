package main

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// path passes connections on to a replica, until the replica's machine is gone: then nothing answers a new
// connection.
type path struct {
	addr string
	to   string
	ln   net.Listener
	gone atomic.Bool
	held []net.Conn // connections that fill the queue of new ones
}

// newPath returns a path whose listener has a short queue of new connections.
func newPath(ip, to string) (*path, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{}
	copy(sa.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 4); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "path")
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	p := &path{addr: ln.Addr().String(), to: to, ln: ln}
	go p.accept()
	return p, nil
}

func (p *path) accept() {
	for !p.gone.Load() {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if !p.gone.Load() {
			go p.pass(c.(*net.TCPConn))
		}
	}
}

func (p *path) pass(in *net.TCPConn) {
	c, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	out := c.(*net.TCPConn)
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.CloseWrite()
	}()
	_, _ = io.Copy(in, out)
	_ = in.Close()
}

// silence makes new connections hang: nothing accepts them, and the queue is full.
func (p *path) silence() {
	p.gone.Store(true)
	for {
		c, err := net.DialTimeout("tcp", p.addr, 50*time.Millisecond)
		if err != nil {
			return
		}
		p.held = append(p.held, c)
	}
}
