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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	earlyRequests = 18 // six for each of three daemons, one for each slot
	resetShare    = 2  // every second connection of one daemon
	resetDelay    = 200 * time.Millisecond

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
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attemptHeader, id)
		return
	}
	r.rec.add("replica %s runs %s", r.id, id)
	answer := wholeAnswer(id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s",
		attemptHeader, id, sealHeader, r.id, answer[:answerBytes/2])
	time.Sleep(time.Second) // it works
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		r.rec.add("replica %s: the connection of %s ended after %d bytes of the request: %v", r.id, id, n, err)
		return
	}
	_, err = io.WriteString(c, answer[answerBytes/2:])
	r.rec.add("replica %s ends the answer to %s, %d bytes of the request read, write error %v", r.id, id, n, err)
}

// resetProxy passes connections on to a replica. It keeps those whose answers have begun, by request, so that they
// can be reset.
type resetProxy struct {
	addr  string
	to    string
	begun *begunConns
}

// begunConns are the connections whose answers have begun, by the IDs of their requests.
type begunConns struct {
	mu    sync.Mutex
	conns map[string][2]*net.TCPConn
}

func (b *begunConns) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// reset resets both sides of a request's connection.
func (b *begunConns) reset(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns[id] {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

var idField = regexp.MustCompile(attemptHeader + `: ([0-9a-f]+)`)

func newResetProxy(ip, to string, begun *begunConns) (*resetProxy, error) {
	ln, err := smallWindows.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &resetProxy{addr: ln.Addr().String(), to: to, begun: begun}
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
			if m := idField.FindSubmatch(buf[:n]); m != nil && !begun {
				p.begun.mu.Lock()
				p.begun.conns[string(m[1])] = [2]*net.TCPConn{in, out}
				p.begun.mu.Unlock()
			}
			begun = true
		}
		if err != nil {
			_ = in.CloseWrite()
			return
		}
	}
}

// runEarlyReset sends long requests whose answers begin before the requests are read, and resets every second
// connection of one daemon in the middle of the answers.
func runEarlyReset(b *bed, trouble bool) (result, error) {
	begun := &begunConns{conns: make(map[string][2]*net.TCPConn)}
	for i := range 3 {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		r, err := newEarlyReplica(b.ip(110+i), id, b.rec)
		if err != nil {
			return result{}, err
		}
		p, err := newResetProxy(b.ip(120+i), r.addr, begun)
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
	var clients sync.WaitGroup
	ids := make([]string, earlyRequests)
	for i := range ids {
		ids[i] = newID()
		clients.Go(func() {
			id := ids[i]
			status, seal, body, err := earlyCall(b.daemons[i%3].front, id)
			mu.Lock()
			defer mu.Unlock()
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
		})
	}
	for end := time.Now().Add(2 * time.Second); begun.len() < earlyRequests && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(resetDelay)
	resets := 0
	for i := 0; i < earlyRequests && trouble; i += 3 * resetShare {
		b.rec.add("the connection of %s from %s is reset", ids[i], b.daemons[0].name)
		begun.reset(ids[i])
		resets++
	}
	clients.Wait()
	sum := fmt.Sprintf("%d requests, %d of their connections reset: %d whole, %d successes with a part of the replica's body, %d failures", earlyRequests, resets, whole, mixed, other)
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
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(sealHeader), string(text), err
}

// earlyBody is the size of a request, within maxBodyBytes.
var earlyBody = envInt("BODY", 2_000_000)
