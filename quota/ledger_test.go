package quota

import (
	"fmt"
	"slices"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// ledger records the tokens that were used and the limits that were allowed.
type ledger struct {
	uses       []use
	allowances []allowance
}

// use is a number of tokens used by a customer at one time.
type use struct {
	at       tick.Instant
	customer ident.Customer
	tokens   int64
}

// allowance is the limits of all customers from one time on.
type allowance struct {
	at     tick.Instant
	limits revision
}

// setAllowed records the limits from at on.
func (l *ledger) setAllowed(at tick.Instant, r revision) {
	l.allowances = append(l.allowances, allowance{at, r})
}

// use records a use and returns its index, so that the number of tokens can be corrected.
func (l *ledger) use(at tick.Instant, c ident.Customer, tokens int64) int {
	l.uses = append(l.uses, use{at, c, tokens})
	return len(l.uses) - 1
}

// violation describes a use of more than burst + rate x window in some window. It returns the empty
// string if there is none. A token bucket that starts full falls below zero if and only if there is
// such a window.
func (l *ledger) violation() string {
	uses := slices.Clone(l.uses)
	slices.SortStableFunc(uses, func(a, b use) int { return int(a.at - b.at) })
	for i := range l.allowances[0].limits.customers {
		if v := l.check(uses, i); v != "" {
			return v
		}
	}
	return ""
}

// check checks the uses of one customer, given by its index.
func (l *ledger) check(uses []use, customer int) string {
	name := l.allowances[0].limits.customers[customer].Name
	current := l.allowances[0].limits.customers[customer].Limits
	level, at, next := float64(current.Burst), tick.Instant(0), 1
	forward := func(to tick.Instant) {
		level = min(float64(current.Burst), level+float64(current.Rate)*(to-at).Seconds())
		at = to
	}
	for _, u := range uses {
		if u.customer != name {
			continue
		}
		for next < len(l.allowances) && l.allowances[next].at <= u.at {
			forward(l.allowances[next].at)
			current = l.allowances[next].limits.customers[customer].Limits
			level = min(level, float64(current.Burst))
			next++
		}
		forward(u.at)
		level -= float64(u.tokens)
		if level < -0.001 {
			return fmt.Sprintf("%s used %d at %v: %.3f tokens beyond burst %d and rate %d", name, u.tokens, u.at, -level, current.Burst, current.Rate)
		}
	}
	return ""
}
