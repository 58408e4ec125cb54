package limit

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// RaiseDelay is the time after which a larger rate or burst takes effect.
	RaiseDelay time.Duration
}

// Holder grants tokens from the shares that seats lease to it.
type Holder struct {
	raise  time.Duration
	groups [GroupCount]group
}

// Grant is the answer of a Holder to a charge.
type Grant struct {
	Serial uint64 // zero if nothing was granted
	Tokens int64
	Level  int64  // whole tokens left
	Share  int64  // leased share, parts per million
	Terms  Limits // rate and burst in force for the whole fleet
}

// NewHolder returns a holder without leases.
func NewHolder(cfg HolderConfig) *Holder {
	if cfg.RaiseDelay <= 0 {
		cfg.RaiseDelay = DefaultRaiseDelay
	}
	h := &Holder{raise: cfg.RaiseDelay}
	for i := range h.groups {
		h.groups[i].first = never
		h.groups[i].leases = make(map[ident.Instance]lease)
		h.groups[i].accounts = make(map[ident.Customer]*account)
	}
	return h
}

// SetLimits takes the terms of all customers from the table in force. A smaller
// rate or burst takes effect at once, a larger one late, so that a mix of two
// revisions never exceeds the larger. A customer that is new has an empty
// bucket.
func (h *Holder) SetLimits(now tick.Instant, customers []Customer) {
	var split [GroupCount][]Customer
	for _, c := range customers {
		i := GroupOf(c.Name)
		split[i] = append(split[i], c)
	}
	for i := range h.groups {
		h.groups[i].setTerms(now, split[i], h.raise)
	}
}

// RecordLease notes that a seat leased its share of the groups for life from the
// instant asked, which lies before the ask was sent. Of the leases of one seat the one that runs
// longest counts, whatever the order in which the answers arrive.
func (h *Holder) RecordLease(now, asked tick.Instant, seat ident.Instance, groups []uint32, share int64, life time.Duration) {
	l := lease{share: share, stop: asked + usable(life)}
	for _, g := range groups {
		if g < GroupCount {
			h.groups[g].lease(now, seat, l)
		}
	}
}

// Charge takes tokens from the customer's bucket; see Bucket.Charge. Known is
// false if the table has no such customer.
func (h *Holder) Charge(now tick.Instant, c ident.Customer, tokens int64, partial bool) (g Grant, known bool) {
	return h.groups[GroupOf(c)].charge(now, c, tokens, partial)
}

// Settle gives back the unused tokens of a charge and returns how many whole
// tokens were taken back.
func (h *Holder) Settle(now tick.Instant, c ident.Customer, serial uint64, unused int64) int64 {
	return h.groups[GroupOf(c)].settle(now, c, serial, unused)
}

// Share returns the leased share of a group.
func (h *Holder) Share(now tick.Instant, group uint32) int64 {
	g := &h.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	return g.share
}

// KeepOnly ends the leases of all seats but one, for good, and returns the groups
// that had one. What was granted before is used within GrantLife.
func (h *Holder) KeepOnly(now tick.Instant, seat ident.Instance) []uint32 {
	var held []uint32
	for i := range h.groups {
		if h.groups[i].keep(now, seat) {
			held = append(held, uint32(i))
		}
	}
	return held
}

// Stop ends all leases for good and returns the groups that had one. What was
// granted before is used within GrantLife.
func (h *Holder) Stop(now tick.Instant) []uint32 {
	var held []uint32
	for i := range h.groups {
		if h.groups[i].stop(now) {
			held = append(held, uint32(i))
		}
	}
	return held
}
