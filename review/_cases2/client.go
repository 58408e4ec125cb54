package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// result is what a client has seen of one request.
type result struct {
	ID, Kind, Daemon string
	Start            int       // number of the daemon's process
	Kept             bool      // the connection had carried a request before
	Sent, Ended      time.Time // Sent is the time of the last byte
	Status           int       // 0 for none
	Whole            bool      // the whole answer was received
	Err              string
	Body             string
}

// client sends requests, at most one at a time on a connection, and keeps one connection open.
type client struct {
	mu   sync.Mutex
	kept *keptConn // nil while it is in use
}

// keptConn is an open connection to a daemon.
type keptConn struct {
	net.Conn
	br    *bufio.Reader
	d     *daemon
	start int
	since time.Time // since when it is idle
}

// take returns the kept connection, or nil if there is none that may be reused.
func (c *client) take() *keptConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kept
	c.kept = nil
	if k != nil && (time.Since(k.since) > reuseTime || k.closed()) {
		_ = k.Close()
		return nil
	}
	return k
}

// closed reports whether the daemon has closed an idle connection.
func (k *keptConn) closed() bool {
	_ = k.SetReadDeadline(time.Now()) // fails only on a closed connection
	_, err := k.br.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// keep keeps a connection in place of the one that was kept before.
func (c *client) keep(k *keptConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept != nil {
		_ = c.kept.Close()
	}
	c.kept = k
}

// message is a request.
type message struct {
	id, kind, method, path string
	header                 []string
	body                   string
	deadline               time.Duration
}

// encode returns the request as it is sent.
func (m *message) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nWasabidock-Deadline-Ms: %d\r\nAuthorization: Token key-1\r\n",
		m.method, m.path, idHeader, m.id, m.deadline.Milliseconds())
	for _, h := range m.header {
		b.WriteString(h + "\r\n")
	}
	if m.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n" + m.body)
	return b.String()
}

// dial opens a connection to a daemon.
func dial(d *daemon) (*keptConn, error) {
	start, _ := d.term()
	c, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, br: bufio.NewReader(c), d: d, start: start}, nil
}

// send sends a request on a connection and reads the answer. The connection is kept if the answer allows it.
func (c *client) send(k *keptConn, m message, kept bool) result {
	r := result{ID: m.id, Kind: m.kind, Daemon: k.d.name, Start: k.start, Kept: kept}
	_ = k.SetDeadline(time.Now().Add(m.deadline)) // fails only on a closed connection
	_, err := io.WriteString(k, m.encode())
	r.Sent = time.Now()
	if err != nil {
		return c.fail(k, r, err)
	}
	resp, err := http.ReadResponse(k.br, &http.Request{Method: m.method})
	if err != nil {
		return c.fail(k, r, err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read by then
	r.Status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	r.Body = string(b)
	if err != nil {
		return c.fail(k, r, err)
	}
	r.Ended, r.Whole = time.Now(), true
	if resp.Close {
		_ = k.Close()
		return r
	}
	_ = k.SetDeadline(time.Time{})
	k.since = time.Now()
	c.keep(k)
	return r
}

// fail records that a request had no whole answer.
func (c *client) fail(k *keptConn, r result, err error) result {
	_ = k.Close()
	r.Ended, r.Err = time.Now(), err.Error()
	return r
}
