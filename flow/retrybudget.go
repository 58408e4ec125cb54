package flow

import "sync"

// RetryBudget limits retries to a share of the requests, so that retries cannot
// multiply the load of a fleet in trouble.
type RetryBudget struct {
	ratio float64
	limit float64

	mu    sync.Mutex
	level float64
}

// NewRetryBudget returns a budget that earns ratio retries for each request and
// saves up to limit of them. It starts full.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: limit, level: limit}
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.ratio, b.limit)
}

// Allow takes one retry and reports whether there was one.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
