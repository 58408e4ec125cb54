package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
)

const (
	maxBodyBytes    = 4 << 20
	maxHeaderBytes  = 16 << 10
	maxIdlePerHost  = 2
	maxIdle         = 64
	idleConnTimeout = 15 * time.Second
	callIDBase      = 36
)

// freshTransport opens a new connection for each call. The standard transport retries a request only
// if it failed on a reused connection. With keep-alives off, a request is therefore sent at most once.
func freshTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// pooledTransport reuses connections. Only idempotent calls use it.
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

// work makes a call that is not idempotent, on a new connection.
func (c *Client) work(ctx context.Context, step string, s ident.Server, timeout time.Duration, path string, in, out any) error {
	cl := call{step: step, server: s, timeout: timeout, stallTimeout: c.cfg.StallTimeout, method: http.MethodPost, path: path}
	return c.call(ctx, c.fresh, cl, in, out)
}

// control makes an idempotent call. After a failure it closes all idle pooled connections, because
// others may be stalled too. A response to another call concerns its own connection only.
func (c *Client) control(ctx context.Context, step string, s ident.Server, method, path string, in, out any) error {
	cl := call{step: step, server: s, timeout: c.cfg.CallTimeout, stallTimeout: c.cfg.StallTimeout, method: method, path: path}
	err := c.call(ctx, c.pooled, cl, in, out)
	if err != nil && !errors.Is(err, errOtherCall) {
		c.pooled.CloseIdleConnections()
	}
	return err
}

type call struct {
	step         string
	server       ident.Server
	timeout      time.Duration // limit of the whole call, 0 for none
	stallTimeout time.Duration // longest time without a byte of the response
	method       string
	path         string
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
		return fail.New(cl.step, string(cl.server), ident.Unknown, errors.Wrap(err, "decode response"))
	}
	return nil
}

// send sends one request and returns the response once its header has arrived.
func (c *Client) send(ctx context.Context, t *http.Transport, cl call, in any) (*response, error) {
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
	var conn atomic.Pointer[httptrace.GotConnInfo] // of the last try
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn.Store(&i) }}
	w := watch(ctx, c.cfg.Clock, cl.stallTimeout, cl.timeout)
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(w.ctx, trace), cl.method, "http://"+addr+cl.path, body)
	if err != nil {
		w.stop()
		return nil, fail.New(cl.step, string(cl.server), ident.NotRun, err)
	}
	id := strconv.FormatUint(c.callID.Add(1), callIDBase)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(CallIDHeader, id)
	resp, err := t.RoundTrip(req) //nolint:bodyclose // response.close closes it
	if err != nil {
		defer w.stop()
		o := ident.NotRun
		if conn.Load() != nil {
			o = ident.Unknown
		}
		return nil, fail.New(cl.step, string(cl.server), o, w.reason(err))
	}
	w.pause()
	a := &response{watchdog: w, resp: resp}
	a.body = watchedReader{r: resp.Body, w: w}
	if err := checkCallID(resp, id, conn.Load()); err != nil {
		a.close()
		return nil, fail.New(cl.step, string(cl.server), ident.Unknown, err)
	}
	if resp.Header.Get(CallIDHeader) == "" {
		a.unnamed = conn.Load().Conn
	}
	if resp.StatusCode != http.StatusOK {
		defer a.close()
		return nil, rejection(cl, resp.StatusCode, a)
	}
	return a, nil
}

// checkCallID returns an error if a response may be to another call than the one with the ID. An engine
// may send the response to an earlier call once more, or a part of it, when this one's is due. Only on
// a new connection a response without an ID is to this call.
func checkCallID(resp *http.Response, id string, conn *httptrace.GotConnInfo) error {
	got := strings.Join(resp.Header.Values(CallIDHeader), ",")
	switch {
	case got == "" && conn.Reused:
		return errors.Wrap(errOtherCall, "no call ID on a reused connection")
	case got != "" && got != id:
		return errors.Wrapf(errOtherCall, "call ID %q, want %q", got, id)
	case link.JoinedHeader(resp):
		return errors.Wrap(errOtherCall, "header contains a part of another one")
	}
	return nil
}

// response is an open response of an engine.
type response struct {
	*watchdog
	resp    *http.Response
	body    io.Reader
	unnamed net.Conn // connection of a response without a call ID, which is not to be reused
}

func (r *response) close() {
	r.stop()
	if r.unnamed != nil {
		_ = r.unnamed.Close()
	}
	_ = r.resp.Body.Close()
}

// watchedReader runs the watchdog during each Read.
type watchedReader struct {
	r io.Reader
	w *watchdog
}

func (r watchedReader) Read(b []byte) (int, error) {
	r.w.resume()
	defer r.w.pause()
	return r.r.Read(b)
}

// rejection returns the error for a response with an error status. If the response has a code other
// than CodeFailed, the engine rejected the call before it ran.
func rejection(cl call, status int, a *response) error {
	var r Refusal
	b, err := io.ReadAll(io.LimitReader(a.body, maxHeaderBytes))
	if err != nil || json.Unmarshal(b, &r) != nil || r.Code == "" || r.Code == CodeFailed {
		return fail.New(cl.step, string(cl.server), ident.Unknown, errors.Errorf("status %d", status))
	}
	return fail.New(cl.step, string(cl.server), ident.NotRun, cause(r))
}

// cause returns the error of package flow for the code of a refusal.
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
		return errors.Errorf("engine returned code %q: %s", r.Code, r.Message)
	}
}

var (
	errTooLarge  = errors.New("response is too large")
	errOtherCall = errors.New("response is not known to be to this call")
)
