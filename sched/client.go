package sched

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const (
	// maxTries is the most schedulers of one data centre that are asked.
	maxTries = 3
	// bytesPerOutput is the traffic of one output token that crosses between
	// regions, in bytes.
	bytesPerOutput = 96
	// bytesPerPrompt is the traffic of one prompt token.
	bytesPerPrompt = 4
)

// Fleet tells which instances live.
type Fleet interface {
	// Live returns the instances of the data centre that accept calls.
	Live(c ident.Centre) []ident.Instance
}

// Dialer gives connections to other instances.
type Dialer interface {
	Place(i ident.Instance) (peerpbconnect.PlaceServiceClient, error)
}

// TrafficBudget pays for traffic between regions.
type TrafficBudget interface {
	// Pay takes bytes from the allowance of the link, or returns false if
	// there are too few.
	Spend(ctx context.Context, from, to ident.Region, bytes int64) bool
}

// Centre is a data centre and its region.
type Centre struct {
	Name   ident.Centre
	Region ident.Region
}

// Topology is what the table says of the data centres.
type Topology struct {
	Own     Centre
	Centres []Centre
	// CrossRegion names the classes whose requests may cross to another region.
	CrossRegion []ident.Class
}

// ClientConfig holds what a Client needs. Local may be nil; without Toll no
// request crosses between regions.
type ClientConfig struct {
	Self          ident.Node
	Local         *Service
	Fleet         Fleet
	Dialer        Dialer
	TrafficBudget TrafficBudget
	Clock         tick.Clock
}

// Client asks the schedulers of all data centres for placements and tells them
// what becomes of these.
type Client struct {
	cfg   ClientConfig
	lives [trackShards]tracks
	boxes outboxes
	doubt suspects

	mu     sync.RWMutex // guards layout
	layout Topology
}

// NewClient returns a client. Run starts its messages.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	for i := range c.lives {
		c.lives[i].set = make(map[string]*track)
	}
	c.doubt.set = make(map[ident.Instance]tick.Instant)
	c.boxes.set = make(map[ident.Instance]*outbox)
	return c
}

// Configure takes the layout of a table revision.
func (c *Client) Configure(l Topology) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = l
}

// Place asks for servers: in the data centre of this instance first, then in
// the others of its region, then in another region if the class allows it and
// the link is paid. A KV cache that is held never leaves its data centre.
func (c *Client) Place(ctx context.Context, a place.Request) (place.Placement, error) {
	c.mu.RLock()
	l := c.layout
	c.mu.RUnlock()
	start := c.cfg.Clock.Now()
	waited := a.Waited
	var last error
	for _, to := range l.order(&a) {
		if to.Region != l.Own.Region && !c.pay(ctx, &l, to, &a) {
			continue
		}
		a.Waited = waited + c.cfg.Clock.Now() - start
		p, err := c.placeAt(ctx, to.Name, &a)
		if err == nil {
			return p, nil
		}
		last = better(last, err)
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = fail.Refuse(fail.CodeNoServer, time.Second, "no data centre serves this model")
	}
	return place.Placement{}, last
}

// order returns the data centres that the ask may go to, the nearest first.
func (l *Topology) order(a *place.Request) []Centre {
	out := []Centre{l.Own}
	if a.KVSource != "" {
		return out
	}
	for _, c := range l.Centres {
		if c.Name != l.Own.Name && c.Region == l.Own.Region {
			out = append(out, c)
		}
	}
	for _, n := range l.CrossRegion {
		if n != a.Class {
			continue
		}
		for _, c := range l.Centres {
			if c.Region != l.Own.Region {
				out = append(out, c)
			}
		}
	}
	return out
}

func (c *Client) pay(ctx context.Context, l *Topology, to Centre, a *place.Request) bool {
	n := a.PromptTokens*bytesPerPrompt + a.MaxOutputTokens*bytesPerOutput
	return c.cfg.TrafficBudget != nil && c.cfg.TrafficBudget.Spend(ctx, l.Own.Region, to.Region, n)
}

// better keeps the error that tells a caller more: a refusal before a failure,
// a refusal that ends sooner before one that ends later.
func better(a, b error) error {
	ra, oka := fail.AsRefusal(a)
	rb, okb := fail.AsRefusal(b)
	switch {
	case a == nil || !oka && okb:
		return b
	case !okb || rb.RetryAfter() == fail.NoRetry:
		return a
	case ra.RetryAfter() == fail.NoRetry || rb.RetryAfter() < ra.RetryAfter():
		return b
	}
	return a
}

// placeAt asks the scheduler of the pool in the data centre, and another one
// if it is lost.
func (c *Client) placeAt(ctx context.Context, to ident.Centre, a *place.Request) (place.Placement, error) {
	ranked := c.doubt.last(Rank(c.cfg.Fleet.Live(to), to, a.Model), c.cfg.Clock.Now())
	if len(ranked) > maxTries {
		ranked = ranked[:maxTries]
	}
	var last error
	for _, i := range ranked {
		p, err := c.ask(ctx, i, a)
		if err == nil {
			c.follow(&p, a, to)
			return p, nil
		}
		if _, ok := fail.AsRefusal(err); ok || ctx.Err() != nil {
			return p, err
		}
		c.doubt.note(i, false, c.cfg.Clock.Now())
		last = err
	}
	if last == nil {
		last = fail.Refuse(fail.CodeNoServer, time.Second, "no scheduler lives in data centre "+string(to))
	}
	return place.Placement{}, last
}

// ask puts the question to one scheduler. Nothing of the request has run when
// it fails.
func (c *Client) ask(ctx context.Context, i ident.Instance, a *place.Request) (place.Placement, error) {
	if i == c.cfg.Self.Instance && c.cfg.Local != nil {
		return c.cfg.Local.Place(ctx, a, c.cfg.Self)
	}
	cl, err := c.cfg.Dialer.Place(i)
	if err != nil {
		return place.Placement{}, fail.New("sched: dial", string(i), ident.NotRun, err)
	}
	r, err := c.call(ctx, cl, a)
	if err != nil {
		return place.Placement{}, fail.New("sched: place", string(i), ident.NotRun, err)
	}
	if r.GetRefusal() != "" {
		return place.Placement{}, refusalOf(r)
	}
	return placementOf(r, i), nil
}

// errSilent reports a scheduler that did not answer in time.
var errSilent = errors.New("no answer")

// call bounds the wait for a scheduler by the time in which it must have
// decided, so that a silent connection does not hold the request.
func (c *Client) call(ctx context.Context, cl peerpbconnect.PlaceServiceClient, a *place.Request) (*peerpb.PlaceResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := c.cfg.Clock.After(c.patience(a))
	defer t.Stop()
	done := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		select {
		case <-t.C():
			cancel(errSilent)
		case <-done:
		}
	}()
	r, err := cl.Place(ctx, askMessage(a, c.cfg.Self))
	close(done)
	<-watch
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return nil, errSilent
	}
	return r, err
}

// patience returns the time in which a scheduler decides on a request.
func (c *Client) patience(a *place.Request) time.Duration {
	if c.cfg.Local == nil {
		return maxPatience
	}
	return c.cfg.Local.patience(a)
}

// Rank orders instances for a pool by rendezvous hashing. The first one has the
// scheduler of the pool; only it and its successor need the load reports and
// cache events of the pool's backend servers.
func Rank(live []ident.Instance, centre ident.Centre, m ident.Model) []ident.Instance {
	out := append([]ident.Instance(nil), live...)
	weight := func(i ident.Instance) uint64 {
		return xxhash.Sum64String(string(i) + "\x00" + string(centre) + "\x00" + string(m))
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := weight(out[i]), weight(out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}
