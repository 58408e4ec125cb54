package sched

import (
	"sync"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

// maxOutbox is the most changes that wait for one scheduler. Heartbeats make
// up for those that are dropped.
const maxOutbox = 4096

// outbox holds the changes that one scheduler has yet to hear of, and what it
// knows after these.
type outbox struct {
	wake chan struct{}

	mu    sync.Mutex // guards the fields below
	items []*peerpb.Progress
	told  map[string]told // by placement
	due   bool            // a heartbeat is to be sent
}

// told is what a scheduler has been told of a placement.
type told struct {
	model ident.Model
	stage place.Stage
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1), told: make(map[string]told)}
}

// put adds a change. The caller holds the track's lock, so that what is told
// follows the track.
func (o *outbox) put(t *track) {
	o.mu.Lock()
	if t.progress.Stage.Ended() {
		delete(o.told, t.progress.ID)
	} else {
		o.told[t.progress.ID] = told{model: t.model, stage: t.progress.Stage}
	}
	if len(o.items) < maxOutbox {
		o.items = append(o.items, progressMessage(&t.progress, t.model))
	}
	o.mu.Unlock()
	o.notify()
}

// tell notes that a message with all placements names this one. The caller
// holds the track's lock.
func (o *outbox) tell(t *track) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told[t.progress.ID] = told{model: t.model, stage: t.progress.Stage}
}

// forget leaves a placement out of the sums that follow.
func (o *outbox) forget(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.told, id)
}

// beat has a heartbeat sent.
func (o *outbox) beat() {
	o.mu.Lock()
	o.due = true
	o.mu.Unlock()
	o.notify()
}

func (o *outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns the changes and, if a heartbeat is due, the sums after them.
func (o *outbox) take() *peerpb.ProgressRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &peerpb.ProgressRequest{Items: o.items, Beat: o.due}
	o.items = nil
	if o.due {
		o.due = false
		r.Beats = beatMessages(o.sums())
	}
	return r
}

// sums returns the sums by model. The caller holds o.mu.
func (o *outbox) sums() map[ident.Model]pool.Checksum {
	out := make(map[ident.Model]pool.Checksum)
	for id, t := range o.told {
		s := out[t.model]
		s.Add(id, t.stage)
		out[t.model] = s
	}
	return out
}
