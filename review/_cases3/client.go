package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client with a connection that it keeps.
type client struct {
	log  *record
	addr string
	conn net.Conn
	br   *bufio.Reader
}

func dial(log *record, addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{log: log, addr: addr, conn: c, br: bufio.NewReader(c)}, nil
}

// answer is what a client has seen of the answer to a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	whole  bool
	err    error
	took   time.Duration
}

// String tells how the answer ended.
func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	case a.whole:
		return fmt.Sprintf("%d, whole, %d bytes, after %.3f s", a.status, len(a.body), a.took.Seconds())
	default:
		return fmt.Sprintf("%d, cut after %d bytes and %.3f s: %v", a.status, len(a.body), a.took.Seconds(), a.err)
	}
}

// request is a request of a client.
type request struct {
	method, host, path, id, key string
	headers                     []string
	body                        string
	deadline                    time.Duration
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Token %s\r\n%s: %d\r\n", r.method, r.path, r.host, headerAttempt, r.id, r.key, headerDeadline, r.deadline.Milliseconds())
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// do sends a request and reads its answer to the end, or until the deadline of the request.
func (c *client) do(r request) answer {
	start := time.Now()
	c.log.add("client: sends %s %s%s as %s to %s", r.method, r.host, r.path, r.id, c.addr)
	a := c.exchange(r, start)
	a.took = time.Since(start)
	c.log.add("client: %s: %s", r.id, a)
	return a
}

func (c *client) exchange(r request, start time.Time) answer {
	_ = c.conn.SetDeadline(start.Add(r.deadline))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if a.err == nil && !a.whole {
		a.err = errors.New("the answer ended with its connection")
	}
	return a
}

func (c *client) close() { _ = c.conn.Close() }
