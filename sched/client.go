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
	// maxAttempts is the maximum number of schedulers that are tried in one data centre.
	maxAttempts = 3
	// bytesPerOutputToken is the traffic between regions for one output token, in bytes.
	bytesPerOutputToken = 96
	// bytesPerPromptToken is the traffic between regions for one prompt token, in bytes.
	bytesPerPromptToken = 4
)

// Fleet lists the live instances.
type Fleet interface {
	// Live returns the instances of the data centre that accept calls.
	Live(c ident.Centre) []ident.Instance
}

// Dialer connects to other instances.
type Dialer interface {
	Place(i ident.Instance) (peerpbconnect.PlaceServiceClient, error)
}

// TrafficBudget limits the traffic between regions.
type TrafficBudget interface {
	// Spend takes bytes from the allowance of the link between two regions, or returns false if the
	// allowance is too small.
	Spend(ctx context.Context, from, to ident.Region, bytes int64) bool
}

// Centre is a data centre and its region.
type Centre struct {
	Name   ident.Centre
	Region ident.Region
}

// Topology describes the data centres of the routing table.
type Topology struct {
	Own     Centre
	Centres []Centre
	// CrossRegion lists the classes whose requests may be placed in another region.
	CrossRegion []ident.Class
}

// ClientConfig holds the parameters of a Client. Local may be nil if this instance runs no
// schedulers. Without a TrafficBudget no request crosses between regions.
type ClientConfig struct {
	Self          ident.Node
	Local         *Service
	Fleet         Fleet
	Dialer        Dialer
	TrafficBudget TrafficBudget
	Clock         tick.Clock
}

// Client requests placements from the schedulers of all data centres and reports the progress of
// the placements to them.
type Client struct {
	cfg      ClientConfig
	tracked  [numTrackShards]trackShard
	outboxes outboxes
	suspects suspects

	mu     sync.RWMutex // guards layout
	layout Topology
}

// NewClient returns a client. It sends progress messages and heartbeats only while Run is active.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	for i := range c.tracked {
		c.tracked[i].set = make(map[string]*trackedPlacement)
	}
	c.suspects.set = make(map[ident.Instance]tick.Instant)
	c.outboxes.set = make(map[ident.Instance]*outbox)
	return c
}

// Configure sets the topology of a table revision.
func (c *Client) Configure(l Topology) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = l
}

// Place requests a placement. It tries the data centre of this instance first, then the others of
// its region, then those of other regions if the class allows it and the traffic budget covers it.
// A request with a KVSource is placed only in the data centre of this instance. If no data centre places the
// request, the most useful error is returned (see moreUseful).
func (c *Client) Place(ctx context.Context, req place.Request) (place.Placement, error) {
	c.mu.RLock()
	l := c.layout
	c.mu.RUnlock()
	start := c.cfg.Clock.Now()
	waited := req.Waited
	var last error
	for _, to := range l.order(&req) {
		if to.Region != l.Own.Region && !c.spendTraffic(ctx, &l, to, &req) {
			continue
		}
		req.Waited = waited + c.cfg.Clock.Now() - start
		p, err := c.placeAt(ctx, to.Name, &req)
		if err == nil {
			return p, nil
		}
		last = moreUseful(last, err)
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = fail.Refuse(fail.CodeNoServer, time.Second, "no data centre serves this model")
	}
	return place.Placement{}, last
}

// order returns the data centres to which the request may go, nearest first.
func (l *Topology) order(req *place.Request) []Centre {
	out := []Centre{l.Own}
	if req.KVSource != "" {
		return out
	}
	for _, c := range l.Centres {
		if c.Name != l.Own.Name && c.Region == l.Own.Region {
			out = append(out, c)
		}
	}
	for _, n := range l.CrossRegion {
		if n != req.Class {
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

// spendTraffic charges the request to the traffic budget and reports whether the budget covers it.
func (c *Client) spendTraffic(ctx context.Context, l *Topology, to Centre, req *place.Request) bool {
	n := req.PromptTokens*bytesPerPromptToken + req.MaxOutputTokens*bytesPerOutputToken
	return c.cfg.TrafficBudget != nil && c.cfg.TrafficBudget.Spend(ctx, l.Own.Region, to.Region, n)
}

// moreUseful returns the error that is more useful to a caller. A rejection beats a failure, and a
// rejection with a shorter Retry-After beats one with a longer one or none.
func moreUseful(a, b error) error {
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

// placeAt requests a placement from the scheduler of the pool in a data centre. If the scheduler is
// unreachable, it tries the next in the ranking.
func (c *Client) placeAt(ctx context.Context, to ident.Centre, req *place.Request) (place.Placement, error) {
	ranked := c.suspects.moveToEnd(Rank(c.schedulers(to), to, req.Model), c.cfg.Clock.Now())
	if len(ranked) > maxAttempts {
		ranked = ranked[:maxAttempts]
	}
	var last error
	for _, i := range ranked {
		p, err := c.placeOn(ctx, i, req)
		if err == nil {
			c.startTracking(&p, req, to)
			return p, nil
		}
		if _, ok := fail.AsRefusal(err); ok || ctx.Err() != nil {
			return p, err
		}
		c.suspects.record(i, false, c.cfg.Clock.Now())
		last = err
	}
	if last == nil {
		last = fail.Refuse(fail.CodeNoServer, time.Second, "no scheduler lives in data centre "+string(to))
	}
	return place.Placement{}, last
}

// schedulers returns the instances whose schedulers may place requests in a data centre. An instance that accepts no
// calls, because it drains, and knows no other one in its own data centre uses its own.
func (c *Client) schedulers(to ident.Centre) []ident.Instance {
	live := c.cfg.Fleet.Live(to)
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(live) == 0 && c.cfg.Local != nil && to == c.layout.Own.Name {
		return []ident.Instance{c.cfg.Self.Instance}
	}
	return live
}

// placeOn requests a placement from one scheduler. If it fails, no part of the request has been
// executed.
func (c *Client) placeOn(ctx context.Context, i ident.Instance, req *place.Request) (place.Placement, error) {
	if i == c.cfg.Self.Instance && c.cfg.Local != nil {
		return c.cfg.Local.Place(ctx, req, c.cfg.Self)
	}
	cl, err := c.cfg.Dialer.Place(i)
	if err != nil {
		return place.Placement{}, fail.New("sched: dial", string(i), ident.NotRun, err)
	}
	r, err := c.call(ctx, cl, req)
	if err != nil {
		return place.Placement{}, fail.New("sched: place", string(i), ident.NotRun, err)
	}
	if r.GetRefusal() != "" {
		return place.Placement{}, refusalOf(r)
	}
	return placementOf(r, i), nil
}

// errNoAnswer reports that a scheduler did not respond in time.
var errNoAnswer = errors.New("no answer")

// call limits the wait for a scheduler to the time within which it must decide. Otherwise a
// connection without response would hold up the request.
func (c *Client) call(ctx context.Context, cl peerpbconnect.PlaceServiceClient, req *place.Request) (*peerpb.PlaceResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := c.cfg.Clock.After(c.decisionTimeout(req))
	defer t.Stop()
	done := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		select {
		case <-t.C():
			cancel(errNoAnswer)
		case <-done:
		}
	}()
	r, err := cl.Place(ctx, requestMessage(req, c.cfg.Self))
	close(done)
	<-watch
	if err != nil && errors.Is(context.Cause(ctx), errNoAnswer) {
		return nil, errNoAnswer
	}
	return r, err
}

// decisionTimeout returns the time within which a scheduler decides on a request, including the
// response.
func (c *Client) decisionTimeout(req *place.Request) time.Duration {
	if c.cfg.Local == nil {
		return maxDecisionTimeout
	}
	return c.cfg.Local.decisionTimeout(req)
}

// Rank orders instances for a pool by rendezvous hashing. The first one runs the scheduler of the
// pool. Only the first and its successor need the load reports and cache events of the pool's
// backend servers.
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
