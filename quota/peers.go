package quota

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// peers remembers which instances did not answer of late, so that a silent one
// stalls few requests.
type peers struct {
	mu    sync.Mutex // guards until
	until map[ident.Instance]tick.Instant
}

// heard moves the silent instances behind the others.
func (p *peers) heard(now tick.Instant, ranked []ident.Instance) []ident.Instance {
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

// silent reports whether an instance is to be left alone. Once its time is over
// one caller may try it while the others still leave it alone.
func (p *peers) silent(now tick.Instant, n ident.Instance, timeout time.Duration) bool {
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

// note takes the result of a call to an instance.
func (p *peers) note(ctx context.Context, now tick.Instant, n ident.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.until[n] = now + silentFor
		return
	}
	delete(p.until, n)
}
