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
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = time.Second
	// sendTimeout limits the time of one message to a scheduler.
	sendTimeout = 500 * time.Millisecond
	// minReportedOutput is the smallest output, in tokens, that is reported. A placement with at least
	// this output is reported each time its output has doubled.
	minReportedOutput = 256
)

// outboxes holds the outbox of each remote scheduler.
type outboxes struct {
	mu    sync.Mutex // guards set and start
	set   map[ident.Instance]*outbox
	start func(ident.Instance, *outbox) // starts the sender of an outbox; nil if Run is not active
}

// get returns the outbox of a scheduler. It creates the outbox and starts its sender if there is
// none.
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

// Run sends progress messages and heartbeats until ctx ends. The returned channel is closed when
// all senders have stopped.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	var senders sync.WaitGroup
	start := func(to ident.Instance, o *outbox) {
		senders.Add(1)
		go func() {
			defer senders.Done()
			c.sendLoop(ctx, to, o)
		}()
	}
	c.outboxes.mu.Lock()
	c.outboxes.start = start
	for to, o := range c.outboxes.set {
		start(to, o)
	}
	c.outboxes.mu.Unlock()
	ticks := c.cfg.Clock.Every(heartbeatInterval)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer ticks.Stop()
		c.heartbeatLoop(ctx, ticks)
		c.outboxes.mu.Lock()
		c.outboxes.start = nil
		c.outboxes.mu.Unlock()
		senders.Wait()
	}()
	return done
}

// sendLoop sends the changes for one scheduler. Changes that are added during a call are sent with
// the next one. Only this goroutine sends to the scheduler, so changes and checksums arrive in
// order.
func (c *Client) sendLoop(ctx context.Context, to ident.Instance, o *outbox) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
			r := o.nextRequest()
			if len(r.GetItems()) == 0 && !r.GetBeat() {
				continue
			}
			if c.send(ctx, to, r) {
				c.send(ctx, to, c.fullReport(to, o))
			}
		}
	}
}

// send sends a message to a scheduler and reports whether the scheduler requests a full report. A
// lost message is repaired after two heartbeats; until then the scheduler is tried after the
// others.
func (c *Client) send(ctx context.Context, to ident.Instance, r *peerpb.ProgressRequest) bool {
	cl, err := c.cfg.Dialer.Place(to)
	if err != nil {
		return false
	}
	r.Asker = nodeMessage(c.cfg.Self)
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	resp, err := cl.Progress(ctx, r)
	c.suspects.record(to, err == nil, c.cfg.Clock.Now())
	return err == nil && resp.GetResend()
}

// fullReport returns the message to a scheduler with all placements that it made or for which it is
// the primary.
func (c *Client) fullReport(to ident.Instance, o *outbox) *peerpb.ProgressRequest {
	r := &peerpb.ProgressRequest{Whole: true}
	for i := range c.tracked {
		ts := &c.tracked[i]
		ts.mu.Lock()
		for _, t := range ts.set {
			if t.scheduler == to || t.primary == to {
				o.markReported(t)
				r.Items = append(r.Items, progressMessage(&t.progress, t.model))
			}
		}
		ts.mu.Unlock()
	}
	return r
}

// heartbeatLoop sends the heartbeats until ctx ends.
func (c *Client) heartbeatLoop(ctx context.Context, ticks tick.Timer) {
	var current map[ident.Instance]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			current = c.sendHeartbeats(current)
		}
	}
}

// sendHeartbeats sends one heartbeat to each scheduler that has placements of this instance or had
// some at the previous heartbeat (before). It returns those that have some now.
func (c *Client) sendHeartbeats(before map[ident.Instance]bool) map[ident.Instance]bool {
	current, local := c.scan()
	targets := make(map[ident.Instance]bool, len(current))
	maps.Copy(targets, before)
	maps.Copy(targets, current)
	for to := range targets {
		if c.isLocal(to) {
			c.reconcileLocal(local)
			continue
		}
		c.outboxes.get(to).requestHeartbeat()
	}
	return current
}

// reconcileLocal passes all placements of this instance to its own schedulers.
func (c *Client) reconcileLocal(items []trackedPlacement) {
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

// poolKey identifies a pool.
type poolKey struct {
	centre ident.Centre
	model  ident.Model
}

// scan visits the live placements. It returns the schedulers that have live placements, and the
// placements of the local schedulers. It also updates the primary scheduler of each placement and
// reports output that has doubled.
func (c *Client) scan() (current map[ident.Instance]bool, local []trackedPlacement) {
	primaries := make(map[poolKey]ident.Instance)
	current = make(map[ident.Instance]bool)
	for i := range c.tracked {
		ts := &c.tracked[i]
		ts.mu.Lock()
		for _, t := range ts.set {
			c.updatePrimary(t, c.primary(primaries, t))
			c.reportOutput(t)
			for _, to := range t.schedulers() {
				current[to] = true
				if c.isLocal(to) {
					local = append(local, *t)
				}
			}
		}
		ts.mu.Unlock()
	}
	return current, local
}

// primary returns the instance that is first in the ranking for a placement's pool. It is empty if
// no instance is live. Results are cached in primaries.
func (c *Client) primary(primaries map[poolKey]ident.Instance, t *trackedPlacement) ident.Instance {
	k := poolKey{centre: t.centre, model: t.model}
	primary, ok := primaries[k]
	if !ok {
		if r := Rank(c.cfg.Fleet.Live(t.centre), t.centre, t.model); len(r) > 0 {
			primary = r[0]
		}
		primaries[k] = primary
	}
	return primary
}

// updatePrimary reports the placement to the scheduler that is now first in the ranking of the
// pool, in addition to the scheduler that made the placement. The caller holds the lock of the
// placement's shard.
func (c *Client) updatePrimary(t *trackedPlacement, primary ident.Instance) {
	if primary == t.scheduler {
		primary = ""
	}
	if primary == t.primary {
		return
	}
	if t.primary != "" && !c.isLocal(t.primary) {
		c.outboxes.get(t.primary).remove(t.progress.ID)
	}
	t.primary = primary
	if primary != "" && !c.isLocal(primary) {
		c.outboxes.get(primary).add(t)
	}
}

// reportOutput reports a placement whose output has doubled since the last report. The caller holds
// the lock of the placement's shard.
func (c *Client) reportOutput(t *trackedPlacement) {
	if t.progress.OutputTokens < max(minReportedOutput, 2*t.reported) {
		return
	}
	t.reported = t.progress.OutputTokens
	for _, to := range t.schedulers() {
		if !c.isLocal(to) {
			c.outboxes.get(to).add(t)
		}
	}
}

// isLocal reports whether the schedulers of instance i run in this process.
func (c *Client) isLocal(i ident.Instance) bool {
	return i == c.cfg.Self.Instance && c.cfg.Local != nil
}
