package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

// Directory knows the addresses of engines, as "host:port".
type Directory interface {
	Address(s ident.Server) (addr string, ok bool)
}

// Config holds the settings of a Client. The zero durations stand for the
// defaults.
type Config struct {
	Clock        tick.Clock
	Directory    Directory
	DialTimeout  time.Duration // limit of a dial
	StallTimeout time.Duration // time without a byte after which an answer is given up
	CallTimeout  time.Duration // limit of a short call
	WorkTimeout  time.Duration // limit of a prefill or an import
}

const (
	defaultDial    = time.Second
	defaultSilence = 2 * time.Second
	defaultCall    = 2 * time.Second
	defaultWork    = time.Minute
)

// Client talks to engines. It may be used by many goroutines.
type Client struct {
	cfg    Config
	fresh  *http.Transport // a connection for each call
	pooled *http.Transport // for calls that may be repeated
}

var (
	_ flow.EngineClient = (*Client)(nil)
	_ sweep.Engines     = (*Client)(nil)
)

// New returns a client.
func New(cfg Config) *Client {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, defaultDial)
	cfg.StallTimeout = orDefault(cfg.StallTimeout, defaultSilence)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, defaultCall)
	cfg.WorkTimeout = orDefault(cfg.WorkTimeout, defaultWork)
	return &Client{cfg: cfg, fresh: freshTransport(cfg), pooled: pooledTransport(cfg)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.fresh.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

// Reserve asks the decode engine s for a place.
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

// Prefill asks the prefill engine s to compute a KV cache and waits for it.
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

// Import asks the decode engine s to pull a KV cache and waits for it.
func (c *Client) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) error {
	const step = "engine: import"
	source, ok := c.cfg.Directory.Address(t.Source)
	if !ok {
		return fail.New(step, string(t.Source), ident.NotRun, errNoAddress)
	}
	in := ImportRequest{Attempt: t.Attempt.String(), Slot: t.Slot, KV: t.KV, Source: "http://" + source}
	cl := call{step: step, server: s, limit: c.cfg.WorkTimeout, silence: c.cfg.StallTimeout, method: http.MethodPost, path: PathImport}
	if t.StallTimeout > 0 {
		cl.silence = t.StallTimeout
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

// Cancel releases what s holds for an attempt and returns the number of holds
// released. A positive idleOver spares holds that had contact within it.
func (c *Client) Cancel(ctx context.Context, s ident.Server, a ident.Attempt, idleOver time.Duration) (int, error) {
	in := CancelRequest{Attempt: a.String(), IdleOverMS: idleOver.Milliseconds()}
	var out CancelResponse
	err := c.control(ctx, "engine: cancel", s, http.MethodPost, PathCancel, in, &out)
	return out.Released, err
}

// Touch renews the holds of attempts at s and returns those that hold nothing.
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

// Holds returns the holds of s that had no contact for longer than idleOver,
// or all of them if it is zero, by the account of s. Entries of attempts that
// this router cannot read are left out.
func (c *Client) Holds(ctx context.Context, s ident.Server, idleOver time.Duration) ([]sweep.Hold, error) {
	path := PathHolds
	if idleOver > 0 {
		path += "?idle_over_ms=" + strconv.FormatInt(idleOver.Milliseconds(), 10)
	}
	var out []HoldEntry
	if err := c.control(ctx, "engine: holds", s, http.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	var hs []sweep.Hold
	for _, e := range out {
		a, err := ident.ParseAttempt(e.Attempt)
		if err != nil {
			continue
		}
		hs = append(hs, sweep.Hold{Attempt: a, Kind: e.Kind, Idle: time.Duration(e.IdleMS) * time.Millisecond})
	}
	return hs, nil
}

// Load returns what s reports of itself. The report lags by its age.
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

var errNoAddress = errors.New("no address is known")
