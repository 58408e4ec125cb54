package sched

import (
	"context"
	"maps"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

const (
	// beatEvery is the time between two heartbeats.
	beatEvery = time.Second
	// sendTimeout bounds one message to a scheduler.
	sendTimeout = 500 * time.Millisecond
	// outputStep is the output in tokens from which on a placement is reported
	// whenever its output has doubled.
	outputStep = 256
)

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
		o = newOutbox()
		b.set[to] = o
		if b.start != nil {
			b.start(to, o)
		}
	}
	return o
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
	ticks := c.cfg.Clock.Every(beatEvery)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer ticks.Stop()
		c.beat(ctx, ticks)
		c.boxes.mu.Lock()
		c.boxes.start = nil
		c.boxes.mu.Unlock()
		senders.Wait()
	}()
	return done
}

// drain sends the changes for one scheduler, those that gather during one call
// with the next. It alone sends, so that changes and sums arrive in order.
func (c *Client) drain(ctx context.Context, to ident.Instance, o *outbox) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
			r := o.take()
			if len(r.GetItems()) == 0 && !r.GetBeat() {
				continue
			}
			if c.deliver(ctx, to, r) {
				c.deliver(ctx, to, c.whole(to, o))
			}
		}
	}
}

// deliver sends a message to a scheduler and reports whether that asks for all
// placements. A message that is lost is made up for after two heartbeats, and
// the scheduler is asked after the others meanwhile.
func (c *Client) deliver(ctx context.Context, to ident.Instance, r *peerpb.ProgressRequest) bool {
	cl, err := c.cfg.Dialer.Place(to)
	if err != nil {
		return false
	}
	r.Asker = nodeMessage(c.cfg.Self)
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	a, err := cl.Progress(ctx, r)
	c.doubt.note(to, err == nil, c.cfg.Clock.Now())
	return err == nil && a.GetResend()
}

// whole returns the message that names all placements of a scheduler.
func (c *Client) whole(to ident.Instance, o *outbox) *peerpb.ProgressRequest {
	r := &peerpb.ProgressRequest{Whole: true}
	for i := range c.lives {
		ts := &c.lives[i]
		ts.mu.Lock()
		for _, t := range ts.set {
			if t.scheduler == to || t.home == to {
				o.tell(t)
				r.Items = append(r.Items, progressMessage(&t.progress, t.model))
			}
		}
		ts.mu.Unlock()
	}
	return r
}

// beat sums up the live placements each second for their schedulers.
func (c *Client) beat(ctx context.Context, ticks tick.Timer) {
	var known map[ident.Instance]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			known = c.beatOnce(known)
		}
	}
}

// beatOnce has one heartbeat sent to each scheduler that has placements of this
// instance or had some at the last heartbeat, and returns the former.
func (c *Client) beatOnce(before map[ident.Instance]bool) map[ident.Instance]bool {
	known, local := c.survey()
	due := make(map[ident.Instance]bool, len(known))
	maps.Copy(due, before)
	maps.Copy(due, known)
	for to := range due {
		if c.isLocal(to) {
			c.beatLocal(local)
			continue
		}
		c.boxes.get(to).beat()
	}
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
		c.cfg.Local.RecordProgress(c.cfg.Self, m, set, true)
	}
}

type poolKey struct {
	centre ident.Centre
	model  ident.Model
}

// survey walks the live placements. It returns the schedulers that have some
// and the placements of the local one, and reports a placement to a scheduler
// that has become the first of its pool.
func (c *Client) survey() (known map[ident.Instance]bool, local []track) {
	homes := make(map[poolKey]ident.Instance)
	known = make(map[ident.Instance]bool)
	for i := range c.lives {
		ts := &c.lives[i]
		ts.mu.Lock()
		for _, t := range ts.set {
			c.moveHome(t, c.home(homes, t))
			c.reportOutput(t)
			for _, to := range t.schedulers() {
				known[to] = true
				if c.isLocal(to) {
					local = append(local, *t)
				}
			}
		}
		ts.mu.Unlock()
	}
	return known, local
}

// home returns the first scheduler of a placement's pool, empty if none lives.
func (c *Client) home(homes map[poolKey]ident.Instance, t *track) ident.Instance {
	k := poolKey{centre: t.centre, model: t.model}
	home, ok := homes[k]
	if !ok {
		if r := Rank(c.cfg.Fleet.Live(t.centre), t.centre, t.model); len(r) > 0 {
			home = r[0]
		}
		homes[k] = home
	}
	return home
}

// moveHome has the scheduler that is now the first of the pool hear of the
// placement beside the one that made it. The caller holds the track's lock.
func (c *Client) moveHome(t *track, home ident.Instance) {
	if home == t.scheduler {
		home = ""
	}
	if home == t.home {
		return
	}
	if t.home != "" && !c.isLocal(t.home) {
		c.boxes.get(t.home).forget(t.progress.ID)
	}
	t.home = home
	if home != "" && !c.isLocal(home) {
		c.boxes.get(home).put(t)
	}
}

// reportOutput reports a placement whose output has doubled since it was last
// reported. The caller holds the track's lock.
func (c *Client) reportOutput(t *track) {
	if t.progress.OutputTokens < max(outputStep, 2*t.reported) {
		return
	}
	t.reported = t.progress.OutputTokens
	for _, to := range t.schedulers() {
		if !c.isLocal(to) {
			c.boxes.get(to).put(t)
		}
	}
}

func (c *Client) isLocal(i ident.Instance) bool {
	return i == c.cfg.Self.Instance && c.cfg.Local != nil
}
