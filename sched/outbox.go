package sched

import (
	"sync"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

// maxOutbox is the maximum number of changes queued for one scheduler. Further changes are dropped;
// heartbeats repair the loss.
const maxOutbox = 4096

// outbox holds the changes that are queued for one scheduler, and the state that the scheduler has
// after receiving them.
type outbox struct {
	wake chan struct{} // signals the sender

	mu           sync.Mutex // guards the fields below
	items        []*peerpb.Progress
	reported     map[string]reportedStage // by placement ID
	heartbeatDue bool                     // a heartbeat must be sent
}

// reportedStage is the last stage of a placement that was reported to the scheduler.
type reportedStage struct {
	model ident.Model
	stage place.Stage
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1), reported: make(map[string]reportedStage)}
}

// add queues a change. The caller holds the lock of the placement's shard, so changes are queued in
// the order in which they happen.
func (o *outbox) add(t *trackedPlacement) {
	o.mu.Lock()
	if t.progress.Stage.Ended() {
		delete(o.reported, t.progress.ID)
	} else {
		o.reported[t.progress.ID] = reportedStage{model: t.model, stage: t.progress.Stage}
	}
	if len(o.items) < maxOutbox {
		o.items = append(o.items, progressMessage(&t.progress, t.model))
	}
	o.mu.Unlock()
	o.notify()
}

// markReported records that a full report contains this placement. The caller holds the lock of the
// placement's shard.
func (o *outbox) markReported(t *trackedPlacement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reported[t.progress.ID] = reportedStage{model: t.model, stage: t.progress.Stage}
}

// remove excludes a placement from later checksums.
func (o *outbox) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.reported, id)
}

// requestHeartbeat makes the sender send a heartbeat.
func (o *outbox) requestHeartbeat() {
	o.mu.Lock()
	o.heartbeatDue = true
	o.mu.Unlock()
	o.notify()
}

// notify wakes the sender. It does not block.
func (o *outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// nextRequest removes the queued changes and returns them as a message. If a heartbeat is due, the
// message contains the checksums after these changes.
func (o *outbox) nextRequest() *peerpb.ProgressRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &peerpb.ProgressRequest{Items: o.items, Beat: o.heartbeatDue}
	o.items = nil
	if o.heartbeatDue {
		o.heartbeatDue = false
		r.Beats = checksumMessages(o.checksums())
	}
	return r
}

// checksums returns the checksum of each model. The caller holds o.mu.
func (o *outbox) checksums() map[ident.Model]pool.Checksum {
	out := make(map[ident.Model]pool.Checksum)
	for id, t := range o.reported {
		s := out[t.model]
		s.Add(id, t.stage)
		out[t.model] = s
	}
	return out
}
