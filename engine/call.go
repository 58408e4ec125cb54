package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
)

const (
	maxBodyBytes    = 4 << 20
	maxHeaderBytes  = 16 << 10
	maxIdlePerHost  = 2
	maxIdle         = 64
	idleConnTimeout = 15 * time.Second
)

// freshTransport opens a connection for each call. The standard transport
// repeats a request by itself only on a connection that was used before, so
// with keep-alives off a request is written at most once.
func freshTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// pooledTransport reuses connections. Only calls that may be repeated go
// through it.
func pooledTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// work makes a call that sets the engine to work, on a connection of its own.
func (c *Client) work(ctx context.Context, step string, s ident.Server, limit time.Duration, path string, in, out any) error {
	cl := call{step: step, server: s, limit: limit, silence: c.cfg.StallTimeout, method: http.MethodPost, path: path}
	return c.call(ctx, c.fresh, cl, in, out)
}

// control makes a call that may be repeated. After a failure no pooled
// connection is reused, since others may be silent too.
func (c *Client) control(ctx context.Context, step string, s ident.Server, method, path string, in, out any) error {
	cl := call{step: step, server: s, limit: c.cfg.CallTimeout, silence: c.cfg.StallTimeout, method: method, path: path}
	err := c.call(ctx, c.pooled, cl, in, out)
	if err != nil {
		c.pooled.CloseIdleConnections()
	}
	return err
}

type call struct {
	step    string
	server  ident.Server
	limit   time.Duration // of the whole call, 0 for none
	silence time.Duration // without a byte
	method  string
	path    string
}

func (c *Client) call(ctx context.Context, t *http.Transport, cl call, in, out any) error {
	resp, err := c.send(ctx, t, cl, in)
	if err != nil {
		return err
	}
	defer resp.close()
	body, err := io.ReadAll(io.LimitReader(resp.body, maxBodyBytes+1))
	if err != nil {
		return fail.New(cl.step, string(cl.server), ident.Unknown, resp.reason(err))
	}
	if len(body) > maxBodyBytes {
		return fail.New(cl.step, string(cl.server), ident.Unknown, errTooLarge)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fail.New(cl.step, string(cl.server), ident.Unknown, errors.Wrap(err, "decode answer"))
	}
	return nil
}

// send writes one request and returns the answer once its header is there.
func (c *Client) send(ctx context.Context, t *http.Transport, cl call, in any) (*answer, error) {
	addr, ok := c.cfg.Directory.Address(cl.server)
	if !ok {
		return nil, fail.New(cl.step, string(cl.server), ident.NotRun, errNoAddress)
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fail.New(cl.step, string(cl.server), ident.NotRun, err)
		}
		body = bytes.NewReader(b)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	w := watch(ctx, c.cfg.Clock, cl.silence, cl.limit)
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(w.ctx, trace), cl.method, "http://"+addr+cl.path, body)
	if err != nil {
		w.stop()
		return nil, fail.New(cl.step, string(cl.server), ident.NotRun, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.RoundTrip(req) //nolint:bodyclose // answer.close closes it
	if err != nil {
		defer w.stop()
		o := ident.NotRun
		if connected.Load() {
			o = ident.Unknown
		}
		return nil, fail.New(cl.step, string(cl.server), o, w.reason(err))
	}
	w.rest()
	a := &answer{watchdog: w, resp: resp}
	a.body = watchedReader{r: resp.Body, w: w}
	if resp.StatusCode != http.StatusOK {
		defer a.close()
		return nil, refused(cl, resp.StatusCode, a)
	}
	return a, nil
}

// answer is an open answer of an engine.
type answer struct {
	*watchdog
	resp *http.Response
	body io.Reader
}

func (a *answer) close() {
	a.stop()
	_ = a.resp.Body.Close()
}

// watchedReader tells the watchdog of each wait for bytes.
type watchedReader struct {
	r io.Reader
	w *watchdog
}

func (r watchedReader) Read(b []byte) (int, error) {
	r.w.wait()
	defer r.w.rest()
	return r.r.Read(b)
}

// refused turns an error status into an error. An engine that names a code
// refused the call before it ran.
func refused(cl call, status int, a *answer) error {
	var r Refusal
	b, err := io.ReadAll(io.LimitReader(a.body, maxHeaderBytes))
	if err != nil || json.Unmarshal(b, &r) != nil || r.Code == "" || r.Code == CodeFailed {
		return fail.New(cl.step, string(cl.server), ident.Unknown, errors.Errorf("status %d", status))
	}
	return fail.New(cl.step, string(cl.server), ident.NotRun, cause(r))
}

// cause maps a refusal to the error that the rest of the router knows.
func cause(r Refusal) error {
	switch r.Code {
	case CodeFull:
		return flow.ErrFull
	case CodeModelNotLoaded:
		return flow.ErrModelNotLoaded
	case CodeDraining:
		return flow.ErrDraining
	case CodeKVGone:
		return flow.ErrKVGone
	case CodeUnknownAttempt:
		return flow.ErrUnknownAttempt
	case CodeStaleFence:
		return flow.ErrStaleFence
	case CodeExportUnreadable:
		return flow.ErrExportUnreadable
	default:
		return errors.Errorf("engine answered %q: %s", r.Code, r.Message)
	}
}

var errTooLarge = errors.New("answer is too large")
