package flow

import "sync"

// Budget limits retries to a share of the requests, so that retries cannot
// multiply the load of a fleet in trouble.
type Budget struct {
	ratio float64
	limit float64

	mu    sync.Mutex
	level float64
}

// NewBudget returns a budget that earns ratio retries for each request and
// saves up to limit of them. It starts full.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, level: limit}
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.ratio, b.limit)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
