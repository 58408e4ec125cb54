package limit

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// RaiseDelay is the time after which a larger rate or burst takes effect. Zero means
	// DefaultRaiseDelay.
	RaiseDelay time.Duration
}

// Holder grants tokens from the shares of the buckets that lessors lease to it.
type Holder struct {
	raiseDelay time.Duration
	groups     [GroupCount]group
}

// Grant is the result of a charge at a Holder.
type Grant struct {
	Serial uint64 // zero if nothing was granted
	Tokens int64  // tokens granted
	Level  int64  // whole tokens left in the bucket
	Share  int64  // leased share of the bucket, parts per million
	Limits Limits // rate and burst in force for the whole fleet
}

// NewHolder returns a holder without leases or customers.
func NewHolder(cfg HolderConfig) *Holder {
	if cfg.RaiseDelay <= 0 {
		cfg.RaiseDelay = DefaultRaiseDelay
	}
	h := &Holder{raiseDelay: cfg.RaiseDelay}
	for i := range h.groups {
		h.groups[i].nextExpiry = never
		h.groups[i].leases = make(map[ident.Instance]lease)
		h.groups[i].accounts = make(map[ident.Customer]*account)
	}
	return h
}

// SetLimits replaces the limits of all customers by those of the configuration in force. A smaller
// rate or burst takes effect at once. A larger one takes effect after RaiseDelay, so that instances
// with two different revisions together never exceed the larger limits. A new customer starts with
// an empty bucket.
func (h *Holder) SetLimits(now tick.Instant, customers []Customer) {
	var split [GroupCount][]Customer
	for _, c := range customers {
		i := GroupOf(c.Name)
		split[i] = append(split[i], c)
	}
	for i := range h.groups {
		h.groups[i].setLimits(now, split[i], h.raiseDelay)
	}
}

// RecordLease records that a lessor leased its share of the groups, in parts per million. The lease
// runs for ttl from requested, a time before the lease request was sent. Of several leases of one
// lessor the one that expires last counts, in whatever order the responses arrive.
func (h *Holder) RecordLease(now, requested tick.Instant, lessor ident.Instance, groups []uint32, share int64, ttl time.Duration) {
	l := lease{share: share, expires: requested + holderTTL(ttl)}
	for _, g := range groups {
		if g < GroupCount {
			h.groups[g].recordLease(now, lessor, l)
		}
	}
}

// Charge takes tokens from the customer's bucket; see Bucket.Charge. known is false if the
// configuration has no such customer.
func (h *Holder) Charge(now tick.Instant, c ident.Customer, tokens int64, partial bool) (g Grant, known bool) {
	return h.groups[GroupOf(c)].charge(now, c, tokens, partial)
}

// Settle refunds the unused tokens of a charge and returns how many whole tokens the bucket
// accepted.
func (h *Holder) Settle(now tick.Instant, c ident.Customer, serial uint64, unused int64) int64 {
	return h.groups[GroupOf(c)].settle(now, c, serial, unused)
}

// Share returns the leased share of a group, in parts per million.
func (h *Holder) Share(now tick.Instant, group uint32) int64 {
	g := &h.groups[group]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	return g.share
}

// KeepOnly ends the leases of all other lessors for good and returns the groups that had any lease
// before the call. Tokens that were granted before are used within GrantTTL.
func (h *Holder) KeepOnly(now tick.Instant, lessor ident.Instance) []uint32 {
	var held []uint32
	for i := range h.groups {
		if h.groups[i].keepOnly(now, lessor) {
			held = append(held, uint32(i))
		}
	}
	return held
}

// Stop ends all leases for good and returns the groups that had one. Tokens that were granted
// before are used within GrantTTL.
func (h *Holder) Stop(now tick.Instant) []uint32 {
	var held []uint32
	for i := range h.groups {
		if h.groups[i].stop(now) {
			held = append(held, uint32(i))
		}
	}
	return held
}
