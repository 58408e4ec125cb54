package quota

import (
	"fmt"
	"slices"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// ledger records what was used and what was allowed.
type ledger struct {
	uses  []use
	terms []allowance
}

type use struct {
	at       tick.Instant
	customer ident.Customer
	tokens   int64
}

type allowance struct {
	at tick.Instant
	of revision
}

func (l *ledger) note(at tick.Instant, r revision) {
	l.terms = append(l.terms, allowance{at, r})
}

// use records a use and returns its index, so that the amount can be corrected.
func (l *ledger) use(at tick.Instant, c ident.Customer, tokens int64) int {
	l.uses = append(l.uses, use{at, c, tokens})
	return len(l.uses) - 1
}

// violation returns what was used beyond burst + rate x window in some window,
// or the empty string. A reference bucket that starts full falls below zero if
// and only if there is such a window.
func (l *ledger) violation() string {
	uses := slices.Clone(l.uses)
	slices.SortStableFunc(uses, func(a, b use) int { return int(a.at - b.at) })
	for i := range l.terms[0].of.customers {
		if v := l.check(uses, i); v != "" {
			return v
		}
	}
	return ""
}

func (l *ledger) check(uses []use, customer int) string {
	name := l.terms[0].of.customers[customer].Name
	in := l.terms[0].of.customers[customer].Limits
	level, at, next := float64(in.Burst), tick.Instant(0), 1
	forward := func(to tick.Instant) {
		level = min(float64(in.Burst), level+float64(in.Rate)*(to-at).Seconds())
		at = to
	}
	for _, u := range uses {
		if u.customer != name {
			continue
		}
		for next < len(l.terms) && l.terms[next].at <= u.at {
			forward(l.terms[next].at)
			in = l.terms[next].of.customers[customer].Limits
			level = min(level, float64(in.Burst))
			next++
		}
		forward(u.at)
		level -= float64(u.tokens)
		if level < -0.001 {
			return fmt.Sprintf("%s used %d at %v: %.3f tokens beyond burst %d and rate %d", name, u.tokens, u.at, -level, in.Burst, in.Rate)
		}
	}
	return ""
}
