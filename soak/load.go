package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// streamEvents and streamPause make a stream of a model server last longer
	// than most calls.
	streamEvents = 12
	streamPause  = 25 * time.Millisecond
	// clients use kept connections, each its own; floods belong to a customer
	// that asks for more than its limit.
	clients = 10
	floods  = 4
	// thinkTime is the mean pause of a client between calls.
	thinkTime = 25 * time.Millisecond
	// leaveChance is how often a client leaves early, in percent.
	leaveChance = 6
	// largeChance is how often a body is large, in percent, and maxLarge how large.
	largeChance = 3
	maxLarge    = 2 << 20
	// slowChance is how often a body is sent slowly, in percent, and maxSlow how slowly. It leaves the router time
	// within fake.RouteTimeout.
	slowChance = 4
	maxSlow    = 2 * time.Second
	slowBytes  = 4 // sent at once
	// clientTime is how long a client waits for an answer. It exceeds all timeouts of routes.
	clientTime = 6 * time.Second
	// spareKeys is the number of keys that may be withdrawn.
	spareKeys = 6
	floodName = "flood"
	// firstPart begins all prompts. Of each subject there are several calls.
	firstPart = "a0"
	subjects  = 40
	// plainChance and uncountedChance are how often a stream is one of the plain service, and how often it does not name its
	// tokens, and partsChance how often another call has a prompt with shared parts, in percent.
	plainChance     = 25
	uncountedChance = 15
	partsChance     = 25
	// sortsSeed separates the draws of these from those of the calls.
	sortsSeed = 1000
)

func spareKey(i int) string { return fmt.Sprintf("spare%d", i) }

// customers returns the customers of a run: one that stays far within its rate
// and one that does not.
func customers() []fake.Customer {
	calm := fake.Customer{Name: "calm", Keys: []string{"calm"}, Rate: 1e6, Burst: 1e6}
	for i := range spareKeys {
		calm.Keys = append(calm.Keys, spareKey(i))
	}
	return []fake.Customer{calm, {Name: floodName, Keys: []string{floodName}, Rate: 4000, Burst: 8000}}
}

// client sends one call after the other.
type client struct {
	n      int
	rnd    *rand.Rand
	sorts  *rand.Rand // draws the sorts of calls
	fleet  *fleet
	rec    *record
	http   http.RoundTripper
	daemon int
	serial int
}

// newClient returns a client that keeps its connections. Plant may be nil.
func newClient(n int, seed uint64, f *fleet, rec *record, plant func(*fleet, http.RoundTripper) http.RoundTripper) *client {
	c := &client{n: n, rnd: rand.New(rand.NewPCG(seed, uint64(n)+2)), sorts: rand.New(rand.NewPCG(seed, uint64(n)+sortsSeed)), fleet: f, rec: rec}
	c.http = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: shortestIdle * 4 / 5}
	if plant != nil {
		c.http = plant(f, c.http)
	}
	c.daemon = c.rnd.IntN(len(f.daemons))
	return c
}

// run sends calls until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		o := c.call(ctx)
		if o.status == 0 || !c.stays() && !c.fleet.daemons[o.daemon].ready() {
			c.daemon = c.fleet.anyReady(c.rnd, c.daemon)
		}
		pause := time.Duration(c.rnd.ExpFloat64() * float64(thinkTime))
		if o.status == http.StatusTooManyRequests && o.customer != floodName {
			pause = time.Second
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// stays reports whether the client sends calls to a daemon that drains, until that is gone.
func (c *client) stays() bool { return c.n%4 == 0 }

// call sends one call and notes what comes of it. It outlasts ctx.
func (c *client) call(ctx context.Context) *outcome {
	c.serial++
	o := &outcome{daemon: c.daemon, customer: "calm", call: fake.Call{
		ID: fmt.Sprintf("c%d-%d", c.n, c.serial), Kind: fake.Kind(c.rnd.IntN(fake.Kinds)), Key: "calm",
	}}
	if o.call.Kind.Stream() {
		o.call.Parts = []string{firstPart, fmt.Sprintf("b%d", c.rnd.IntN(subjects))}
		o.call.Plain = c.sorts.IntN(100) < plainChance
		o.call.Uncounted = c.sorts.IntN(100) < uncountedChance
	} else if c.sorts.IntN(100) < partsChance {
		o.call.Parts = []string{firstPart, fmt.Sprintf("b%d", c.sorts.IntN(subjects))}
	}
	if c.rnd.IntN(100) < largeChance {
		o.call.Large = c.rnd.IntN(maxLarge)
	}
	if c.rnd.IntN(100) < slowChance {
		o.slow = time.Duration(c.rnd.Int64N(int64(maxSlow)))
	}
	if c.rnd.IntN(4) == 0 {
		o.call.Key = spareKey(c.rnd.IntN(spareKeys))
	}
	if c.n >= clients {
		o.customer, o.call = floodName, fake.Call{ID: o.call.ID, Kind: fake.Idempotent, Key: floodName}
	}
	d := c.fleet.daemons[c.daemon]
	o.started = d.starts()
	reqCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTime)
	defer cancel()
	var left chan time.Time
	if c.rnd.IntN(100) < leaveChance {
		left = make(chan time.Time, 1)
		leave := time.AfterFunc(time.Duration(c.rnd.Int64N(int64(streamEvents*streamPause))), func() {
			left <- time.Now()
			cancel()
		})
		defer leave.Stop()
	}
	o.sent = time.Now()
	c.exchange(reqCtx, d.front, o)
	o.ended = time.Now()
	if left != nil && !o.complete {
		select {
		case o.left = <-left:
		default:
		}
	}
	c.rec.add(o)
	return o
}

// send sends a call that its client waits for and notes what comes of it.
func (c *client) send(o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	d := c.fleet.daemons[o.daemon]
	o.started, o.sent = d.starts(), time.Now()
	c.exchange(ctx, d.front, o)
	o.ended = time.Now()
	c.rec.add(o)
}

func (c *client) exchange(ctx context.Context, addr string, o *outcome) {
	r, err := o.call.Request(ctx, addr)
	if err != nil {
		panic(err) // the address is one of ours
	}
	if o.slow > 0 {
		r.Body = &slowBody{ReadCloser: r.Body, lasts: o.slow}
	}
	resp, err := c.http.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.sealed, o.leaver = resp.StatusCode, fake.Sealed(resp.Header), fake.DrainingServer(resp.Header)
	o.echo = fake.EchoedID(resp.Header)
	var b strings.Builder
	_, err = io.Copy(&b, &clockedBody{resp.Body, o})
	o.body, o.complete = b.String(), err == nil
}

// clockedBody notes when the bytes of a body come.
type clockedBody struct {
	io.Reader
	o *outcome
}

func (b *clockedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.o.last = time.Now()
		if b.o.first.IsZero() {
			b.o.first = b.o.last
		}
	}
	return n, err
}

// slowBody is the body of a request that is sent in two parts, the second after a time.
type slowBody struct {
	io.ReadCloser
	lasts time.Duration
	begun bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		return b.ReadCloser.Read(p[:min(len(p), slowBytes)])
	}
	time.Sleep(b.lasts)
	b.lasts = 0
	return b.ReadCloser.Read(p)
}

// load runs all clients until ctx ends.
func load(ctx context.Context, seed uint64, f *fleet, rec *record, plant func(*fleet, http.RoundTripper) http.RoundTripper) {
	var ends sync.WaitGroup
	for n := range clients + floods {
		c := newClient(n, seed, f, rec, plant)
		ends.Go(func() { c.run(ctx) })
	}
	ends.Wait()
}
