package quota

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// peerHealth records which peers failed to respond recently, so that an unreachable peer delays few
// requests.
type peerHealth struct {
	mu    sync.Mutex                      // guards until
	until map[ident.Instance]tick.Instant // when an unreachable peer may be tried again
}

// unreachableLast moves the unreachable instances behind the others.
func (p *peerHealth) unreachableLast(now tick.Instant, ranked []ident.Instance) []ident.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) == 0 {
		return ranked
	}
	first := make([]ident.Instance, 0, len(ranked))
	var last []ident.Instance
	for _, n := range ranked {
		if now < p.until[n] {
			last = append(last, n)
			continue
		}
		first = append(first, n)
	}
	return append(first, last...)
}

// unreachable reports whether the instance must not be called. After unreachableTTL it lets one
// caller try the instance, and the others only after a further timeout.
func (p *peerHealth) unreachable(now tick.Instant, n ident.Instance, timeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.until[n]
	if !ok {
		return false
	}
	if now < until {
		return true
	}
	p.until[n] = now + timeout
	return false
}

// recordResult records the result of a call to an instance. It ignores calls whose context has
// ended.
func (p *peerHealth) recordResult(ctx context.Context, now tick.Instant, n ident.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.until[n] = now + unreachableTTL
		return
	}
	delete(p.until, n)
}
