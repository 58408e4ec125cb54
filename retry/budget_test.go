package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/retry"
)

func TestBudget(t *testing.T) {
	tenth := retry.Config{PerRequest: 1, PerRetry: 10, MaxCredit: 320}
	fifth := retry.Config{PerRequest: 0.2, PerRetry: 1, MaxCredit: 20}
	for _, tt := range []struct {
		name     string
		cfg      retry.Config
		requests int // after the credit of the start is spent
		atStart  int
		allowed  int
	}{
		{"starts with the maximum", tenth, 0, 32, 0},
		{"less than a retry is earned", tenth, 9, 32, 0},
		{"a retry is earned", tenth, 10, 32, 1},
		{"credit is bounded", tenth, 1000, 32, 32},
		{"fractions", fifth, 5, 20, 1},
		{"fractions are bounded", fifth, 1000, 20, 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := retry.NewBudget(tt.cfg)
			is.Equal(spend(b), tt.atStart)
			for range tt.requests {
				b.RecordRequest()
			}
			is.Equal(spend(b), tt.allowed)
		})
	}
}

// spend returns the number of retries that the budget allows at once.
func spend(b *retry.Budget) int {
	n := 0
	for b.Allow() {
		n++
	}
	return n
}
