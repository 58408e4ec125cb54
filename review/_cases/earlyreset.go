package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	earlyRequests = 12

	answerBytes  = 800      // as the published deployments say
	smallBuffer  = 16 << 10 // links have small windows
	segmentBytes = 1448     // of a link, and not of loopback
)

// smallWindows limits what a listener's connections take in unread, and the size of their segments, with which the buffers of
// the other end grow.
var smallWindows = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
	})
	if cerr != nil {
		return cerr
	}
	return err
}}

// wholeAnswer is the body with which a replica answers a request.
func wholeAnswer(id string) string {
	return (id + ":" + strings.Repeat("0123456789", answerBytes/10))[:answerBytes]
}

// earlyReplica is a replica that begins its answer before it has read the whole request, reads on, and ends the
// answer, which has no length, with the connection.
type earlyReplica struct {
	id   string
	addr string
	rec  *record
}

func newEarlyReplica(ip, id string, rec *record) (*earlyReplica, error) {
	ln, err := smallWindows.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &earlyReplica{id: id, addr: ln.Addr().String(), rec: rec}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *earlyReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, 4<<10)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	id := req.Header.Get(attemptHeader)
	if req.Header.Get(expectHeader) != r.id {
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attemptHeader, id)
		return
	}
	r.rec.add("replica %s runs %s", r.id, id)
	answer := wholeAnswer(id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
		attemptHeader, id, sealHeader, r.id, answer[:answerBytes/2])
	time.Sleep(600 * time.Millisecond) // it works
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		r.rec.add("replica %s: the connection of %s ended after %d bytes of the request: %v", r.id, id, n, err)
		return
	}
	_, err = io.WriteString(c, answer[answerBytes/2:])
	r.rec.add("replica %s ends the answer to %s, %d bytes of the request read, write error %v", r.id, id, n, err)
}

// resetProxy passes connections on to a replica. It resets each one resetAfter after the first bytes of the answer,
// or never if that is 0.
type resetProxy struct {
	addr       string
	to         string
	resetAfter time.Duration
	rec        *record
}

func newResetProxy(ip, to string, resetAfter time.Duration, rec *record) (*resetProxy, error) {
	ln, err := smallWindows.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &resetProxy{addr: ln.Addr().String(), to: to, resetAfter: resetAfter, rec: rec}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *resetProxy) pass(in *net.TCPConn) {
	nc, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	out := nc.(*net.TCPConn)
	_ = out.SetWriteBuffer(smallBuffer)
	go func() {
		_, _ = io.Copy(struct{ io.Writer }{out}, struct{ io.Reader }{in})
		_ = out.CloseWrite()
	}()
	buf := make([]byte, 4<<10)
	for begun := false; ; {
		n, err := out.Read(buf)
		if n > 0 {
			_, _ = in.Write(buf[:n])
			if !begun && p.resetAfter > 0 {
				time.AfterFunc(p.resetAfter, func() {
					p.rec.add("the proxy resets the connection from %s", in.RemoteAddr())
					_ = in.SetLinger(0)
					_ = in.Close()
					_ = out.SetLinger(0)
					_ = out.Close()
				})
			}
			begun = true
		}
		if err != nil {
			_ = in.CloseWrite()
			return
		}
	}
}

// runEarlyReset sends long requests whose answers begin before the requests are read, and resets the connections
// between daemon and replica in the middle of the answers.
func runEarlyReset(b *bed, trouble bool) (result, error) {
	resetAfter := time.Duration(0)
	if trouble {
		resetAfter = 200 * time.Millisecond
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		r, err := newEarlyReplica(b.ip(110+i), id, b.rec)
		if err != nil {
			return result{}, err
		}
		p, err := newResetProxy(b.ip(120+i), r.addr, resetAfter, b.rec)
		if err != nil {
			return result{}, err
		}
		b.store.put("servers/"+id, entry(plainService, p.addr, "", "ready", 6, time.Now().UnixMilli()))
	}
	if err := b.start(3, 284); err != nil {
		return result{}, err
	}
	var mu sync.Mutex
	var whole, mixed, other int
	for i := range earlyRequests {
		id := newID()
		status, seal, body, err := earlyCall(b.daemons[i%3].front, id)
		mu.Lock()
		switch {
		case err != nil || status != http.StatusOK:
			other++
			b.rec.add("client: %s got status %d, error %v", id, status, err)
		case body == wholeAnswer(id) && seal != "":
			whole++
			b.rec.add("client: %s got 200 with the whole body", id)
		default:
			mixed++
			b.rec.add("client: %s got 200, seal %q, a complete answer of %d bytes where the replica's is %d: MIXED", id, seal, len(body), answerBytes)
		}
		mu.Unlock()
	}
	sum := fmt.Sprintf("%d requests: %d whole, %d successes with a part of the replica's body, %d failures", earlyRequests, whole, mixed, other)
	if !trouble && whole != earlyRequests {
		return result{}, fmt.Errorf("%w: without trouble %s", errSetup, sum)
	}
	return result{broken: mixed > 0, summary: sum}, nil
}

func earlyCall(addr, id string) (status int, seal, body string, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	head := requestHead(mutatingPrefix+"2f", id, 2500, fmt.Sprintf("Content-Length: %d", earlyBody), "")
	if _, err = c.Write(append(head, bytes.Repeat([]byte("x"), earlyBody)...)); err != nil {
		return 0, "", "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(sealHeader), string(text), err
}

// earlyBody is the size of a request, within maxBodyBytes.
var earlyBody = envInt("BODY", 2_000_000)
