package flow

import "sync"

// RetryBudget limits retries to a share of the requests. It keeps retries from multiplying the load
// on a fleet that is already failing. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	limit float64

	mu    sync.Mutex
	level float64
}

// NewRetryBudget returns a budget that gains ratio retries for each request and holds at most limit
// of them. It starts full.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: limit, level: limit}
}

// RecordRequest adds the share of a retry that a request earns.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.ratio, b.limit)
}

// Allow reports whether the budget has a retry left. If so, it spends that retry.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
