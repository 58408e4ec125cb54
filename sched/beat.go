package sched

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

const (
	// beatEvery is the time between two heartbeats.
	beatEvery = time.Second
	// sendTimeout bounds one message to a scheduler.
	sendTimeout = 500 * time.Millisecond
	// maxOutbox is the most changes that wait for one scheduler. The next
	// heartbeat makes up for those that are dropped.
	maxOutbox = 4096
)

// outbox holds the changes that one scheduler has yet to hear of.
type outbox struct {
	wake chan struct{}

	mu    sync.Mutex // guards items
	items []track
}

type outboxes struct {
	mu    sync.Mutex // guards set and start
	set   map[ident.Instance]*outbox
	start func(ident.Instance, *outbox)
}

// get returns the outbox of a scheduler and starts its sender when it is new.
func (b *outboxes) get(to ident.Instance) *outbox {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.set[to]
	if !ok {
		o = &outbox{wake: make(chan struct{}, 1)}
		b.set[to] = o
		if b.start != nil {
			b.start(to, o)
		}
	}
	return o
}

func (o *outbox) put(t track) {
	o.mu.Lock()
	if len(o.items) < maxOutbox {
		o.items = append(o.items, t)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []track {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.items
	o.items = nil
	return out
}

// Run sends changes and heartbeats until ctx ends. The channel that it returns
// is closed when all senders have stopped.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	var senders sync.WaitGroup
	start := func(to ident.Instance, o *outbox) {
		senders.Add(1)
		go func() {
			defer senders.Done()
			c.drain(ctx, to, o)
		}()
	}
	c.boxes.mu.Lock()
	c.boxes.start = start
	for to, o := range c.boxes.set {
		start(to, o)
	}
	c.boxes.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.beat(ctx)
		c.boxes.mu.Lock()
		c.boxes.start = nil
		c.boxes.mu.Unlock()
		senders.Wait()
	}()
	return done
}

// drain sends the changes for one scheduler, those that gather during one call
// with the next.
func (c *Client) drain(ctx context.Context, to ident.Instance, o *outbox) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
			if items := o.take(); len(items) > 0 {
				c.deliver(ctx, to, items, false)
			}
		}
	}
}

// deliver sends items to a scheduler. A message that is lost is made up for by
// the next heartbeat, and the scheduler is asked after the others meanwhile.
func (c *Client) deliver(ctx context.Context, to ident.Instance, items []track, whole bool) {
	cl, err := c.cfg.Dialer.Place(to)
	if err != nil {
		return
	}
	r := &peerpb.ProgressRequest{Asker: nodeMessage(c.cfg.Self), Whole: whole}
	for i := range items {
		r.Items = append(r.Items, progressMessage(&items[i].progress, items[i].model))
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err = cl.Progress(ctx, r)
	c.doubt.note(to, err == nil, c.cfg.Clock.Now())
}

// beat sends the live placements each second to their schedulers.
func (c *Client) beat(ctx context.Context) {
	t := c.cfg.Clock.Every(beatEvery)
	defer t.Stop()
	var known map[ident.Instance]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			known = c.beatOnce(ctx, known)
		}
	}
}

// beatOnce sends one heartbeat to each scheduler that has placements of this
// instance or had some at the last heartbeat, and returns the former.
func (c *Client) beatOnce(ctx context.Context, before map[ident.Instance]bool) map[ident.Instance]bool {
	sets := c.bySchedulers()
	for i := range before {
		if _, ok := sets[i]; !ok {
			sets[i] = nil
		}
	}
	var calls sync.WaitGroup
	known := make(map[ident.Instance]bool, len(sets))
	for to, items := range sets {
		if len(items) > 0 {
			known[to] = true
		}
		if to == c.cfg.Self.Instance && c.cfg.Local != nil {
			c.beatLocal(items)
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			c.deliver(ctx, to, items, true)
		}()
	}
	calls.Wait()
	return known
}

func (c *Client) beatLocal(items []track) {
	byModel := make(map[ident.Model][]pool.Progress)
	for _, m := range c.cfg.Local.Models() {
		byModel[m] = nil
	}
	for i := range items {
		m := items[i].model
		byModel[m] = append(byModel[m], items[i].progress)
	}
	for m, set := range byModel {
		c.cfg.Local.Progress(c.cfg.Self, m, set, true)
	}
}

// bySchedulers returns the live placements by scheduler: for each placement
// the one that made it and the one that the pool has now.
func (c *Client) bySchedulers() map[ident.Instance][]track {
	type poolKey struct {
		centre ident.Centre
		model  ident.Model
	}
	homes := make(map[poolKey]ident.Instance)
	out := make(map[ident.Instance][]track)
	for i := range c.lives {
		for _, t := range c.lives[i].all() {
			k := poolKey{centre: t.centre, model: t.model}
			home, ok := homes[k]
			if !ok {
				if r := Rank(c.cfg.Fleet.Live(t.centre), t.centre, t.model); len(r) > 0 {
					home = r[0]
				}
				homes[k] = home
			}
			out[t.scheduler] = append(out[t.scheduler], t)
			if home != "" && home != t.scheduler {
				out[home] = append(out[home], t)
			}
		}
	}
	return out
}

func (ts *tracks) all() []track {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	out := make([]track, 0, len(ts.set))
	for _, t := range ts.set {
		if t.progress.Stage < place.StageDone {
			out = append(out, *t)
		}
	}
	return out
}
