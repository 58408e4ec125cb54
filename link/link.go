package link

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/tick"
)

const (
	// maxResponses bounds the number of responses that are read for one request. Interim
	// responses and responses to other requests are skipped but counted.
	maxResponses = 4
	// maxHeaderBytes bounds the header of a response. maxSkippedBytes bounds a response to another request that is
	// skipped, and one whose body is compared with others.
	maxHeaderBytes  = 64 << 10
	maxSkippedBytes = 256 << 10
)

// Errors for responses that are not accepted.
var (
	ErrMismatchedID    = errors.New("response belongs to another request")
	ErrNotIdle         = errors.New("connection was closed or has received something before the request was written")
	ErrMissingID       = errors.New("response has no ID, so it may belong to another request")
	ErrJoinedHeader    = errors.New("response header contains the status line of another response")
	ErrContentEncoding = errors.New("response has a content encoding that was not requested")
	ErrInvalidStatus   = errors.New("response has a status that is none, or one that was not asked for")
	ErrNoFinalResponse = errors.New("only informational responses were received")
	ErrHeaderTooLong   = errors.New("response header exceeds the size limit")
)

// Config configures a Client.
type Config struct {
	Clock tick.Clock
	// IDHeader is the header field that carries Request.ID in requests and responses.
	IDHeader string
	// Memory bounds the memory of the headers and requests that are kept. It may be nil.
	Memory *memory.Budget
	// Observe is called for each Finding. It may be nil. It must not block.
	Observe func(Finding)
}

// Client sends requests to backend servers over pooled connections. It is safe for
// concurrent use.
type Client struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool // by address

	dialCount atomic.Int64
}

// New returns a Client without any connections.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// Request is a request to a backend server.
type Request struct {
	Addr   string // host:port
	Method string
	Path   string // path and query as sent
	Host   string
	Header http.Header // no hop-by-hop fields and no framing
	Body   []byte
	// ID is the value expected in the Config.IDHeader field of the response. It is empty if
	// responses carry no ID. The caller must set the field in Header.
	ID string
	// Distinct states that no two successful responses to such requests have the same body, because
	// each contains a new name. It allows responses without an ID.
	Distinct bool

	// BeforeWrite is called when there is a connection, right before the request is written. It may change
	// Header. If it returns an error, the request is not written. It may be nil.
	BeforeWrite func() error

	DialTimeout   time.Duration // longest wait for a connection, 0 for defaultDialTimeout
	HeaderTimeout time.Duration // longest wait for the response header, 0 for no limit
	IdleTimeout   time.Duration // longest wait for progress of the response body, 0 for no limit; see Response.ResetIdleTimeout
	// EndWait is called when HeaderTimeout or IdleTimeout has passed. If it returns false, the wait goes on without a limit
	// until the next call of Response.ResetIdleTimeout. If it is nil, the wait ends.
	EndWait func() bool
}

// Response is the response to a Request. The caller must call Close, and must not use the
// Response after it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	c           *Client
	addr        string
	conn        *conn
	resp        *http.Response
	idleTimeout time.Duration // copy of Request.IdleTimeout
	proven      bool          // see Proven
	tellsNext   bool          // the response differs from those to later requests of the connection
	write       *write        // write that runs in a goroutine, nil if the request was written synchronously
	stop        func() bool
	atEOF       bool            // the body was read to its end
	account     *memory.Account // of the header
}

// Do writes the request once and returns when the response header has been read. If ctx ends
// before the Response is closed, the connection is closed.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	res, err := c.roundTrip(ctx, cn, req)
	if err != nil {
		stop()
		_ = cn.Close()
		cn.src.account.Free()
		return nil, err
	}
	res.stop = stop
	return res, nil
}

// pool returns the pool of an address, which it creates at the first use.
func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = &pool{}
		c.pools[addr] = p
	}
	return p
}

// connect returns an idle connection to the server, or a new one if there is none.
func (c *Client) connect(ctx context.Context, req *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, fail.New("link: connect", req.Addr, ident.NotRun, fail.AsLocal(err))
	}
	now := c.cfg.Clock.Now()
	cn, unread := c.pool(req.Addr).take(now, req.ID)
	for _, u := range unread {
		c.observe(Finding{Kind: FindingUnread, Addr: req.Addr, Use: u.uses, Idle: now - u.returned})
	}
	if cn != nil {
		return cn, nil
	}
	timeout := req.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	return c.open(ctx, req.Addr, timeout)
}

// open opens a connection to a server.
func (c *Client) open(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	c.dialCount.Add(1)
	cn, err := dial(ctx, addr, timeout)
	if err != nil {
		if hasEnded(ctx) || lacksResources(err) {
			err = fail.AsLocal(err)
		}
		return nil, fail.New("link: connect", addr, ident.NotRun, err)
	}
	return cn, nil
}

// hasEnded reports whether a context has ended, or ends now.
func hasEnded(ctx context.Context) bool {
	at, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(at) <= 0
}

// lacksResources reports whether a connection was not opened because this process, or its machine, has no descriptor, port or memory
// left.
func lacksResources(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// HasIdleConn reports whether the pool of an address has an idle connection that has not
// expired.
func (c *Client) HasIdleConn(addr string) bool {
	c.mu.Lock()
	p := c.pools[addr]
	c.mu.Unlock()
	return p != nil && p.hasUsable(c.cfg.Clock.Now())
}

// DialCount returns the number of attempts to open a connection since the start.
func (c *Client) DialCount() int64 { return c.dialCount.Load() }

// roundTrip writes the request to the connection and reads the response header.
func (c *Client) roundTrip(ctx context.Context, cn *conn, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fail.New("link: write", req.Addr, ident.NotRun, fail.AsLocal(err))
	}
	if req.BeforeWrite != nil {
		if err := req.BeforeWrite(); err != nil {
			return nil, fail.New("link: write", req.Addr, ident.NotRun, fail.AsLocal(err))
		}
	}
	if cn.uses == 0 || req.BeforeWrite != nil {
		if idle, unread := cn.state(); !idle {
			if unread {
				c.observe(Finding{Kind: FindingUnread, Addr: req.Addr, Use: cn.uses})
			}
			return nil, fail.New("link: write", req.Addr, ident.NotRun, cn.notIdle())
		}
	}
	buf := req.encode()
	cn.wrote(req.ID)
	cn.src.endWait = req.EndWait
	cn.src.account = c.cfg.Memory.Account()
	res := &Response{c: c, addr: req.Addr, conn: cn, account: cn.src.account}
	if len(req.Body) > syncWriteBytes {
		res.write = startWrite(cn, buf, req.Body)
	} else if n, err := cn.Write(buf); err != nil {
		outcome := ident.Unknown
		if n == 0 {
			outcome = ident.NotRun // the kernel accepted no byte
		}
		return nil, fail.New("link: write", req.Addr, outcome, err)
	}
	if err := res.readHeader(req); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fail.New("link: read response", req.Addr, ident.Unknown, err)
	}
	return res, nil
}

// readHeader reads the header of the final response to req and skips other responses.
func (res *Response) readHeader(req *Request) error {
	res.setReadTimeout(req.HeaderTimeout)
	var skipped error // why the last response was not the final one
	for range maxResponses {
		res.conn.src.remaining, res.conn.src.inHeader = maxHeaderBytes, true
		//nolint:bodyclose // Close ends the connection, or the body was read to its end.
		resp, err := http.ReadResponse(res.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		res.conn.src.remaining, res.conn.src.inHeader = maxSkippedBytes, false
		res.account.Free()
		if !res.account.Grow(headerMemory(resp.Header)) {
			return memory.ErrFull
		}
		if !ValidStatus(resp.StatusCode) {
			return errors.Wrapf(ErrInvalidStatus, "status %03d", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			skipped = ErrNoFinalResponse
			continue
		}
		skipped = ErrMismatchedID
		res.resp = resp
		resp.Body = &body{res: res, ReadCloser: resp.Body, openEnded: !framed(resp) && req.Method != http.MethodHead}
		ours, err := res.belongs(req, resp)
		if err != nil {
			return err
		}
		if !ours {
			res.conn.outOfStep = true
			if req.Method == http.MethodHead || !framed(resp) {
				return ErrMismatchedID // its end cannot be told
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			continue
		}
		if resp.Header.Get("Content-Encoding") != "" {
			return ErrContentEncoding
		}
		res.conn.src.remaining = unlimited
		res.Status = resp.StatusCode
		res.Header = resp.Header
		res.Body = resp.Body
		res.idleTimeout = req.IdleTimeout
		res.ResetIdleTimeout()
		return nil
	}
	return skipped
}

// maxStatus is the largest status of a response.
const maxStatus = 599

// ValidStatus reports whether a response may have a status. The router asks for no other protocol, so that the bytes after
// 101 have no meaning.
func ValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// Proven reports whether the response is known to belong to the request. It is not if the request
// has neither an ID nor distinct responses and its connection has carried others. The header may
// then be that of an earlier response.
func (res *Response) Proven() bool { return res.proven }

// EchoedID returns the ID in the header of the response, empty if there is none.
func (res *Response) EchoedID() string { return res.Header.Get(res.c.cfg.IDHeader) }

// ResetIdleTimeout restarts the idle timeout. It should be called after useful data was read.
// Received bytes alone do not restart the timeout, because a failing server may send a few
// bytes from time to time without end.
func (res *Response) ResetIdleTimeout() { res.setReadTimeout(res.idleTimeout) }

// SetIdleTimeout replaces the idle timeout and restarts it, see Request.IdleTimeout.
func (res *Response) SetIdleTimeout(d time.Duration) {
	res.idleTimeout = d
	res.ResetIdleTimeout()
}

// setReadTimeout bounds the following reads to d from now, or removes the bound if d is 0.
// Socket deadlines are given as wall-clock times but run on the monotonic clock.
func (res *Response) setReadTimeout(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = res.conn.SetReadDeadline(at) // fails only on a closed connection, on which the next read fails too
}

// body is a response body. It records when the body has been read to its end.
type body struct {
	io.ReadCloser
	res       *Response
	openEnded bool // the body ends with the connection
	err       error
}

// Read implements io.Reader. A reset is reported once: to a write if one is pending, and reads then end as if the server
// had closed the connection. At the end of an open-ended body, Read therefore waits for the write of the request,
// which ends with the context of the request at the latest.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if w := b.res.write; errors.Is(err, io.EOF) && b.openEnded && w != nil {
		if <-w.done; w.err != nil {
			err = errors.Wrap(w.err, "the request was not written, and the response ended with its connection")
		}
	}
	if b.err = err; errors.Is(err, io.EOF) {
		b.res.atEOF = true
	}
	return n, err
}

// headerMemory returns the memory of the fields of a header, about.
func headerMemory(h http.Header) int64 {
	var n int
	for k, vs := range h {
		n += len(k) + lineMemory
		for _, v := range vs {
			n += len(v) + lineMemory
		}
	}
	return int64(n)
}

// Close ends the use of the response. The connection is returned to its pool if the body
// was read to its end and nothing else is unread on it, and is closed otherwise.
func (res *Response) Close() {
	res.account.Free()
	if res.stop != nil && !res.stop() {
		return // the context has ended and closes the connection
	}
	if !res.reusable() {
		_ = res.conn.Close()
		return
	}
	res.setReadTimeout(0)
	res.conn.src.endWait = nil
	res.conn.returned = res.c.cfg.Clock.Now()
	res.conn.expires = res.conn.returned + idleLifetime(res.Header)
	res.c.pool(res.addr).put(res.conn)
}

// Drop makes Close close the connection. It is called for a response whose body shows that it is
// not one to the request.
func (res *Response) Drop() { res.conn.outOfStep = true }

// framed reports whether the end of a response can be told without the end of its connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// reusable reports whether the connection can carry another request.
func (res *Response) reusable() bool {
	if !res.atEOF || res.conn.outOfStep || !res.conn.hasRoom() || !res.tellsNext || res.resp.Close || !framed(res.resp) {
		return false
	}
	if res.write != nil && !res.write.succeeded() {
		return false // the rest of the request body is still to be sent on the connection
	}
	idle, unread := res.conn.state()
	if unread {
		res.c.observe(Finding{Kind: FindingUnread, Addr: res.addr, Use: res.conn.uses})
	}
	return idle
}

// idleLifetime returns how long a connection may be idle and still be reused, given the
// header of its last response.
func idleLifetime(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - keepAliveMargin
		}
	}
	return defaultIdleLifetime
}

// Sweep closes the idle connections that have expired, and drops the pools of addresses that
// were not used for the given duration.
func (c *Client) Sweep(unused time.Duration) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for addr, p := range c.pools {
		pools = append(pools, p)
		if p.unusedSince(now - unused) {
			delete(c.pools, addr)
		}
	}
	c.mu.Unlock()
	for _, p := range pools {
		for _, cn := range p.removeExpired(now) {
			_ = cn.Close()
		}
	}
}

// unusedSince reports whether the pool is empty and was last used before an instant.
func (p *pool) unusedSince(before tick.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && p.lastTake < before
}
