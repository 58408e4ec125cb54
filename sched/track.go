package sched

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

const (
	// numTrackShards is the number of locks over the live placements.
	numTrackShards = 16
	// maxDecisionTimeout limits the wait for a scheduler whose classes are unknown to this
	// instance.
	maxDecisionTimeout = 90 * time.Second
	// responseAllowance is the time that a response may take in addition to the decision.
	responseAllowance = 500 * time.Millisecond
)

// decisionTimeout returns the time within which a scheduler decides on a request of the class. The
// request is placed or rejected before its first-token target passes.
func (s *Service) decisionTimeout(req *place.Request) time.Duration {
	sh := s.shard(req.Model)
	if sh == nil {
		return maxDecisionTimeout
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(sh.sch.FirstTokenTarget(req.Class)-req.Waited, 0) + responseAllowance
}

// trackedPlacement is a live placement of a request that this instance has received.
type trackedPlacement struct {
	progress  pool.Progress
	model     ident.Model
	centre    ident.Centre
	scheduler ident.Instance // scheduler that made the placement
	primary   ident.Instance // first in the ranking of the pool; empty if it is scheduler
	reported  int64          // output tokens at the last report
}

// schedulers returns the schedulers to which the placement is reported.
func (t *trackedPlacement) schedulers() []ident.Instance {
	if t.primary == "" {
		return []ident.Instance{t.scheduler}
	}
	return []ident.Instance{t.scheduler, t.primary}
}

// trackShard is a part of the tracked placements with its own lock.
type trackShard struct {
	mu  sync.Mutex                   // guards set
	set map[string]*trackedPlacement // by placement ID
}

func (c *Client) trackShard(id string) *trackShard {
	return &c.tracked[xxhash.Sum64String(id)%numTrackShards]
}

// startTracking adds a placement to those that are reported to their schedulers.
func (c *Client) startTracking(p *place.Placement, req *place.Request, centre ident.Centre) {
	t := &trackedPlacement{
		progress: pool.Progress{
			ID:           p.ID,
			Prefill:      p.Prefill,
			Decode:       p.Decode,
			Customer:     req.Customer,
			PromptTokens: req.PromptTokens,
		},
		model:     req.Model,
		centre:    centre,
		scheduler: p.Scheduler,
	}
	if p.ReusesKV {
		t.progress.Stage = place.StageTransfer
	}
	ts := c.trackShard(p.ID)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.set[p.ID] = t
}

// ReportProgress reports the stage of a placement and its output so far, in tokens. It does not block.
// Stages older than the current one are ignored.
func (c *Client) ReportProgress(p place.Placement, stage place.Stage, output int64) {
	ts := c.trackShard(p.ID)
	ts.mu.Lock()
	t, ok := ts.set[p.ID]
	if !ok || stage < t.progress.Stage {
		ts.mu.Unlock()
		return
	}
	moved := stage != t.progress.Stage
	t.progress.Stage = stage
	t.progress.OutputTokens = output
	if stage.Ended() {
		delete(ts.set, p.ID)
	}
	if !moved {
		ts.mu.Unlock()
		return
	}
	t.reported = output
	here := false
	for _, to := range t.schedulers() {
		if c.isLocal(to) {
			here = true
			continue
		}
		c.outboxes.get(to).add(t)
	}
	m, now := t.model, t.progress
	ts.mu.Unlock()
	if here {
		c.cfg.Local.RecordProgress(c.cfg.Self, m, []pool.Progress{now}, false)
	}
}

// LivePlacements returns the number of placements that have not ended.
func (c *Client) LivePlacements() int {
	n := 0
	for i := range c.tracked {
		ts := &c.tracked[i]
		ts.mu.Lock()
		n += len(ts.set)
		ts.mu.Unlock()
	}
	return n
}
