// Package retry limits retries to a share of the requests. Without a limit, retries would multiply
// the load on servers that are already failing.
package retry

import "sync"

// Config configures a Budget. Whole numbers keep its sums exact.
type Config struct {
	PerRequest float64 // credit that a request earns
	PerRetry   float64 // credit that a retry spends
	MaxCredit  float64 // also the credit at the start
}

// Budget is the credit of one process for retries. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu     sync.Mutex
	credit float64
}

// NewBudget returns a budget with the maximum credit.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, credit: cfg.MaxCredit} }

// RecordRequest adds the credit that a request earns.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.cfg.PerRequest, b.cfg.MaxCredit)
}

// Allow reports whether the credit suffices for a retry. If so, it spends that credit.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < b.cfg.PerRetry {
		return false
	}
	b.credit -= b.cfg.PerRetry
	return true
}
