package gossip

import (
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// settleTime is how long an instance issues no permits after its start or after a pause.
	// Permits of its predecessor have expired by then, and all peers know the instance.
	settleTime = 2 * time.Second
	// maxSyncGap is the longest time between two calls of syncLoad of a process that was not paused.
	maxSyncGap = time.Second
	// syncTimeout is the time after a start or a pause from which an instance that reaches no peer counts as
	// synced.
	syncTimeout = time.Second
)

// pauses tracks when this process started or was paused, and whether it has received the evidence of a peer
// since. Instants are those of Config.SinceBoot. It is safe for concurrent use.
type pauses struct {
	woken chan struct{} // receives a value after a pause

	mu          sync.Mutex
	lastRun     tick.Instant // last observation
	steadySince tick.Instant
	count       uint64
	synced      chan struct{} // closed once isSynced
	isSynced    bool
}

func newPauses() *pauses {
	return &pauses{woken: make(chan struct{}, 1), synced: make(chan struct{})}
}

// observe records that the process runs now. It returns the number of pauses so far and the channel that is
// closed once evidence has been received since the last one.
func (p *pauses) observe(now tick.Instant) (count uint64, synced <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run(now)
	return p.count, p.synced
}

// run records that the process runs now. The caller holds p.mu.
func (p *pauses) run(now tick.Instant) {
	switch {
	case p.lastRun == 0:
		p.steadySince = now
	case now-p.lastRun > maxSyncGap:
		p.steadySince = now
		p.count++
		if p.isSynced {
			p.synced, p.isSynced = make(chan struct{}), false
		}
		select {
		case p.woken <- struct{}{}:
		default:
		}
	case now-p.steadySince >= syncTimeout:
		p.sync()
	}
	p.lastRun = max(p.lastRun, now) // now was read before p.mu was locked
}

// sync closes the channel. The caller holds p.mu.
func (p *pauses) sync() {
	if !p.isSynced {
		close(p.synced)
		p.isSynced = true
	}
}

// received records that evidence has arrived that was requested after the given number of pauses.
func (p *pauses) received(count uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == count {
		p.sync()
	}
}

// steady reports whether the process has run for settleTime without a pause.
func (p *pauses) steady(now tick.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run(now)
	return now-p.steadySince >= settleTime
}

// Pauses implements crash.Claimer.
func (s *Service) Pauses() (n uint64, synced <-chan struct{}) {
	return s.pauses.observe(s.cfg.SinceBoot())
}
