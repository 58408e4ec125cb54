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
	// trackShards is the number of locks over the live placements.
	trackShards = 16
	// maxPatience bounds the wait for a scheduler whose classes are unknown.
	maxPatience = 90 * time.Second
	// answerTime is the time that an answer may take beside the decision.
	answerTime = 500 * time.Millisecond
)

// patience returns the time in which a scheduler decides on a request of the
// class: by its first-token target the request is placed or refused.
func (s *Service) patience(a *place.Request) time.Duration {
	sh := s.shard(a.Model)
	if sh == nil {
		return maxPatience
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(sh.sch.FirstTokenTarget(a.Class)-a.Waited, 0) + answerTime
}

// track is a live placement of this instance.
type track struct {
	progress  pool.Progress
	model     ident.Model
	centre    ident.Centre
	scheduler ident.Instance // that made the placement
	home      ident.Instance // first of the pool if that is another one
	reported  int64          // output that the schedulers have heard of
}

// schedulers returns those that are to know of the placement.
func (t *track) schedulers() []ident.Instance {
	if t.home == "" {
		return []ident.Instance{t.scheduler}
	}
	return []ident.Instance{t.scheduler, t.home}
}

type tracks struct {
	mu  sync.Mutex // guards set
	set map[string]*track
}

func (c *Client) tracks(id string) *tracks {
	return &c.lives[xxhash.Sum64String(id)%trackShards]
}

// follow starts to report on a placement.
func (c *Client) follow(p *place.Placement, a *place.Request, centre ident.Centre) {
	t := &track{
		progress: pool.Progress{
			ID:           p.ID,
			Prefill:      p.Prefill,
			Decode:       p.Decode,
			Customer:     a.Customer,
			PromptTokens: a.PromptTokens,
		},
		model:     a.Model,
		centre:    centre,
		scheduler: p.Scheduler,
	}
	if p.ReusesKV {
		t.progress.Stage = place.StageTransfer
	}
	ts := c.tracks(p.ID)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.set[p.ID] = t
}

// Progress reports how far a placement has come. It does not block.
func (c *Client) ReportProgress(p place.Placement, stage place.Stage, output int64) {
	ts := c.tracks(p.ID)
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
		c.boxes.get(to).put(t)
	}
	m, now := t.model, t.progress
	ts.mu.Unlock()
	if here {
		c.cfg.Local.RecordProgress(c.cfg.Self, m, []pool.Progress{now}, false)
	}
}

// Live returns the number of placements that have not ended.
func (c *Client) LivePlacements() int {
	n := 0
	for i := range c.lives {
		ts := &c.lives[i]
		ts.mu.Lock()
		n += len(ts.set)
		ts.mu.Unlock()
	}
	return n
}
