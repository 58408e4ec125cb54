package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

// Directory returns the addresses of engines as "host:port", and false for a server without one.
type Directory interface {
	Address(s ident.Server) (addr string, ok bool)
}

// Config holds the settings of a Client. Zero durations select the defaults.
type Config struct {
	Clock        tick.Clock
	Directory    Directory
	DialTimeout  time.Duration // limit of connecting
	StallTimeout time.Duration // time without a byte of the response after which a call fails
	CallTimeout  time.Duration // limit of a call other than a prefill, an import or a stream
	WorkTimeout  time.Duration // limit of a prefill or an import
}

const (
	defaultDialTimeout  = time.Second
	defaultStallTimeout = 2 * time.Second
	defaultCallTimeout  = 2 * time.Second
	defaultWorkTimeout  = time.Minute
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	cfg    Config
	fresh  *http.Transport // opens a new connection for each call
	pooled *http.Transport // reuses connections, for idempotent calls
	callID atomic.Uint64   // of the last call; starts at random
}

var (
	_ flow.EngineClient = (*Client)(nil)
	_ sweep.Engines     = (*Client)(nil)
)

// New returns a client.
func New(cfg Config) *Client {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, defaultDialTimeout)
	cfg.StallTimeout = orDefault(cfg.StallTimeout, defaultStallTimeout)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, defaultCallTimeout)
	cfg.WorkTimeout = orDefault(cfg.WorkTimeout, defaultWorkTimeout)
	c := &Client{cfg: cfg, fresh: freshTransport(cfg), pooled: pooledTransport(cfg)}
	c.callID.Store(rand.Uint64())
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.fresh.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

// Reserve reserves a slot at the decode engine s.
func (c *Client) Reserve(ctx context.Context, s ident.Server, r flow.ReserveRequest) (flow.Slot, error) {
	in := ReserveRequest{
		Attempt:   r.Attempt.String(),
		Model:     r.Model,
		TTLMS:     r.TTL.Milliseconds(),
		Priority:  r.Priority,
		MaxOutput: r.MaxOutput,
		Seed:      r.Seed,
		Exact:     r.Exact,
	}
	var out ReserveResponse
	if err := c.work(ctx, "engine: reserve", s, c.cfg.CallTimeout, PathReserve, in, &out); err != nil {
		return flow.Slot{}, err
	}
	return flow.Slot{ID: out.Slot, Build: out.Build}, nil
}

// Prefill makes the prefill engine s compute the KV cache of a prompt and waits for the result.
func (c *Client) Prefill(ctx context.Context, s ident.Server, p flow.PrefillRequest) (flow.KV, error) {
	const step = "engine: prefill"
	in := PrefillRequest{
		Attempt:  p.Attempt.String(),
		Model:    p.Model,
		Prompt:   p.Prompt,
		Priority: p.Priority,
		TTLMS:    p.TTL.Milliseconds(),
		Decode:   p.Decode,
	}
	var out PrefillResponse
	if err := c.work(ctx, step, s, c.cfg.WorkTimeout, PathPrefill, in, &out); err != nil {
		return flow.KV{}, err
	}
	if out.Code != "" {
		return flow.KV{}, fail.New(step, string(s), ident.Unknown, cause(out.Refusal))
	}
	if out.Attempt != in.Attempt {
		return flow.KV{}, fail.New(step, string(s), ident.Unknown, flow.ErrWrongAttempt)
	}
	return flow.KV{
		Name:         out.KV,
		Tokens:       out.Tokens,
		CachedTokens: out.CachedTokens,
		TTL:          time.Duration(out.TTLMS) * time.Millisecond,
	}, nil
}

// Import makes the decode engine s fetch a KV cache from the engine that exports it and waits for the
// end of the transfer.
func (c *Client) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) error {
	const step = "engine: import"
	source, ok := c.cfg.Directory.Address(t.Source)
	if !ok {
		return fail.New(step, string(t.Source), ident.NotRun, errNoAddress)
	}
	in := ImportRequest{Attempt: t.Attempt.String(), Slot: t.Slot, KV: t.KV, Source: "http://" + source}
	cl := call{step: step, server: s, timeout: c.cfg.WorkTimeout, stallTimeout: c.cfg.StallTimeout, method: http.MethodPost, path: PathImport}
	if t.StallTimeout > 0 {
		cl.stallTimeout = t.StallTimeout
	}
	var out ImportResponse
	if err := c.call(ctx, c.fresh, cl, in, &out); err != nil {
		return err
	}
	if out.Code != "" {
		return fail.New(step, string(s), ident.Unknown, cause(out.Refusal))
	}
	if out.Attempt != in.Attempt {
		return fail.New(step, string(s), ident.Unknown, flow.ErrWrongAttempt)
	}
	return nil
}

// Cancel releases the holds of an attempt at s and returns their number. If idleOver is positive, only
// holds that have been idle for longer are released.
func (c *Client) Cancel(ctx context.Context, s ident.Server, a ident.Attempt, idleOver time.Duration) (int, error) {
	in := CancelRequest{Attempt: a.String(), IdleOverMS: idleOver.Milliseconds()}
	var out CancelResponse
	err := c.control(ctx, "engine: cancel", s, http.MethodPost, PathCancel, in, &out)
	return out.Released, err
}

// Touch renews the holds of the attempts at s. It returns the attempts that have no hold there.
func (c *Client) Touch(ctx context.Context, s ident.Server, as []ident.Attempt) ([]ident.Attempt, error) {
	in := TouchRequest{Attempts: make([]string, len(as))}
	for i, a := range as {
		in.Attempts[i] = a.String()
	}
	var out TouchResponse
	if err := c.control(ctx, "engine: touch", s, http.MethodPost, PathTouch, in, &out); err != nil {
		return nil, err
	}
	var gone []ident.Attempt
	for _, g := range out.Gone {
		a, err := ident.ParseAttempt(g)
		if err != nil {
			return nil, fail.New("engine: touch", string(s), ident.Unknown, err)
		}
		gone = append(gone, a)
	}
	return gone, nil
}

// Holds returns the holds that s reports to have been idle for longer than idleOver, or all holds if it
// is zero. Holds whose attempt identifier cannot be parsed are left out.
func (c *Client) Holds(ctx context.Context, s ident.Server, idleOver time.Duration) ([]sweep.Hold, error) {
	path := PathHolds
	if idleOver > 0 {
		path += "?idle_over_ms=" + strconv.FormatInt(idleOver.Milliseconds(), 10)
	}
	var out []HoldEntry
	if err := c.control(ctx, "engine: holds", s, http.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	var holds []sweep.Hold
	for _, e := range out {
		a, err := ident.ParseAttempt(e.Attempt)
		if err != nil {
			continue
		}
		holds = append(holds, sweep.Hold{Attempt: a, Kind: e.Kind, Idle: time.Duration(e.IdleMS) * time.Millisecond})
	}
	return holds, nil
}

// Load returns the report of s on itself. The report may be old; its field AgeMS says how old.
func (c *Client) Load(ctx context.Context, s ident.Server) (LoadReport, error) {
	var out LoadReport
	err := c.control(ctx, "engine: load", s, http.MethodGet, PathLoad, nil, &out)
	return out, err
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

var errNoAddress = errors.New("server has no known address")
