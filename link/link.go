package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// directBytes is the size up to which a call is written before its answer
	// is awaited. Larger ones are written while the answer is awaited.
	directBytes = 64 << 10
	// strayAnswers bounds the answers of other calls that are passed over.
	strayAnswers = 4
	// headBytes bounds the head of an answer, and the whole of an answer of
	// another call that is passed over.
	headBytes = 256 << 10
)

// The reasons for which an answer is not taken.
var (
	ErrMismatchedID    = errors.New("answer of another call")
	ErrContentEncoding = errors.New("answer carries a content encoding that was not asked for")
	ErrHeaderTooLong   = errors.New("head of an answer has no end")
)

// Config configures a Client.
type Config struct {
	Clock tick.Clock
	// IDHeader is the header that names a call in both directions.
	IDHeader string
}

// Client keeps connections to backend servers.
type Client struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool // by address

	dials atomic.Int64
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// Request is one call to a server.
type Request struct {
	Addr   string // host:port
	Method string
	Path   string // path and query as they are sent
	Host   string
	Header http.Header // no hop-by-hop fields and no framing
	Body   []byte
	ID     string // the caller's name of the call, empty if answers carry none

	DialTimeout   time.Duration // longest wait for a connection, 0 for dialLimit
	HeaderTimeout time.Duration // longest wait for the head of the answer, 0 for none
	IdleTimeout   time.Duration // longest wait for progress of its body, 0 for none; see Answer.Progress
}

// Response is the answer to a call. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	c     *Client
	addr  string
	conn  *conn
	resp  *http.Response
	idle  time.Duration // Call.IdleLimit
	wrote <-chan error  // result of a write that goes on, nil if it is over
	stop  func() bool
	clean bool // the body was read to its end
}

// Do writes the call once and returns the head of its answer. The connection
// is closed when ctx ends before the Answer is closed.
func (c *Client) Do(ctx context.Context, call *Request) (*Response, error) {
	cn, err := c.connect(ctx, call)
	if err != nil {
		return nil, fail.New("link: connect", call.Addr, ident.NotRun, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	a, err := c.exchange(ctx, cn, call)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

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

func (c *Client) connect(ctx context.Context, call *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if cn := c.pool(call.Addr).take(c.cfg.Clock.Now()); cn != nil {
		return cn, nil
	}
	c.dials.Add(1)
	limit := call.DialTimeout
	if limit <= 0 {
		limit = dialLimit
	}
	return dial(ctx, call.Addr, limit)
}

// HasIdleConn tells whether an idle connection to an address is kept.
func (c *Client) HasIdleConn(addr string) bool {
	c.mu.Lock()
	p := c.pools[addr]
	c.mu.Unlock()
	return p != nil && p.has(c.cfg.Clock.Now())
}

// DialCount returns the number of connections that were opened.
func (c *Client) DialCount() int64 { return c.dials.Load() }

func (c *Client) exchange(ctx context.Context, cn *conn, call *Request) (*Response, error) {
	buf := call.encode()
	if err := ctx.Err(); err != nil {
		return nil, fail.New("link: write", call.Addr, ident.NotRun, err)
	}
	a := &Response{c: c, addr: call.Addr, conn: cn}
	if len(buf) > directBytes {
		wrote := make(chan error, 1)
		go func() {
			_, err := cn.Write(buf)
			wrote <- err
		}()
		a.wrote = wrote
	} else if n, err := cn.Write(buf); err != nil {
		out := ident.Unknown
		if n == 0 {
			out = ident.NotRun // the kernel took no byte
		}
		return nil, fail.New("link: write", call.Addr, out, err)
	}
	if err := a.readHead(call, c.cfg.IDHeader); err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fail.New("link: answer", call.Addr, ident.Unknown, err)
	}
	return a, nil
}

func (a *Response) readHead(call *Request, idHeader string) error {
	a.limitRead(call.HeaderTimeout)
	for range strayAnswers {
		a.conn.src.left = headBytes
		//nolint:bodyclose // Close ends the connection, or the body was read to its end.
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: call.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(idHeader)
		if call.ID != "" && id != call.ID && (id != "" || resp.StatusCode < http.StatusBadRequest) {
			// A late second answer to an earlier call: ours is still to come.
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			continue
		}
		if resp.Header.Get("Content-Encoding") != "" {
			return ErrContentEncoding
		}
		a.conn.src.left = noLimit
		a.Status = resp.StatusCode
		a.Header = resp.Header
		a.resp = resp
		a.Body = &body{a: a, r: resp.Body}
		a.idle = call.IdleTimeout
		a.ResetIdleTimeout()
		return nil
	}
	return ErrMismatchedID
}

// ResetIdleTimeout says that what was read of the body so far is of use, and lets the
// wait for more begin anew. Bytes alone do not: a server in trouble may send some
// now and then for ever.
func (a *Response) ResetIdleTimeout() { a.limitRead(a.idle) }

// limitRead bounds the reads that follow, by no limit if d is 0. Socket
// deadlines take wall-clock values but run on the monotonic clock.
func (a *Response) limitRead(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = a.conn.SetReadDeadline(at) // fails on a closed connection only, as the read will
}

// body notes when the answer was read to its end.
type body struct {
	a *Response
	r io.Reader
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.a.clean = true
	}
	return n, err
}

// Close ends the use of the answer. The connection is kept if the answer was
// read to its end and nothing else is on it.
func (a *Response) Close() {
	if a.stop != nil && !a.stop() {
		return // the context has ended and closes the connection
	}
	if !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.limitRead(0)
	a.conn.until = a.c.cfg.Clock.Now() + keepFor(a.Header)
	a.c.pool(a.addr).put(a.conn)
}

func (a *Response) reusable() bool {
	if !a.clean || a.resp.Close || a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0 {
		return false
	}
	if a.wrote != nil {
		// An answer that came before the call was written whole leaves the
		// rest of the body on the connection.
		select {
		case err := <-a.wrote:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return a.conn.quiet()
}

// keepFor returns how long an idle connection may be used again.
func keepFor(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// Sweep closes the idle connections that are too old, and forgets addresses
// that were not used for the time given.
func (c *Client) Sweep(unused time.Duration) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for addr, p := range c.pools {
		pools = append(pools, p)
		if p.stale(now - unused) {
			delete(c.pools, addr)
		}
	}
	c.mu.Unlock()
	for _, p := range pools {
		for _, cn := range p.expire(now) {
			_ = cn.Close()
		}
	}
}

func (p *pool) stale(before tick.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && p.used < before
}

// encode returns the bytes of the call.
func (call *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(call.Body) + 1024)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	_ = call.Header.Write(&b) // a bytes.Buffer takes everything
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}
