package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// lenderStateTTL is how long the last response of a lender is used for estimates.
const lenderStateTTL = 500 * time.Millisecond

// reserveDivisor determines the part of its burst, 1/reserveDivisor, below which a holder in another data centre lends only
// what the others cannot. Otherwise the nearest one would be empty while the bucket of the farthest is full and
// accrues nothing, and a holder that fails would leave the customer with few tokens.
const reserveDivisor = 2

// maxRetryAfter bounds the estimated time until tokens accrue.
const maxRetryAfter = time.Hour

// lenderCache caches the levels that other holders reported for each customer's bucket. It avoids a
// call for each request of a customer above its rate.
type lenderCache struct {
	mu     sync.Mutex // guards states
	states map[lenderKey]lenderState
}

type lenderKey struct {
	customer ident.Customer
	instance ident.Instance
}

// lenderState is the last response of a lender.
type lenderState struct {
	at    tick.Instant
	state limit.BucketState
}

// borrow charges the tokens that this instance has and borrows the rest from other holders of the
// group. If these are not enough it refunds all of them and rejects the charge.
func (s *Service) borrow(ctx context.Context, req *peerpb.ChargeRequest, own limit.Grant) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	tokens := req.GetTokens()
	from, remote := s.lendersOf(limit.GroupOf(c))
	have := []limit.BucketState{{Share: own.Share, Level: own.Level}}
	estimated := s.lenders.estimates(s.clock.Now(), c, own.Limits, from)
	lendFullerFirst(from[remote:], estimated[remote:], own.Limits)
	if insufficient(own.Level, estimated, tokens) {
		return s.rejectShort(own.Limits, append(have, estimated...), tokens)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var parts []*peerpb.Part
	missing := tokens
	if g, _ := s.holder.Charge(s.clock.Now(), c, missing, true); g.Serial != 0 {
		parts = append(parts, s.part(g))
		missing -= g.Tokens
		have[0].Level = g.Level + g.Tokens
	}
	for i, l := range from {
		if missing == 0 {
			break
		}
		if estimated[i] != unknownState && estimated[i].Level == 0 {
			have = append(have, estimated[i])
			continue
		}
		lent, h := s.borrowFrom(ctx, l, req, missing)
		have = append(have, h)
		for _, p := range lent {
			parts = append(parts, p)
			missing -= p.GetTokens()
		}
	}
	if missing > 0 {
		s.refund(c, parts, tokens-missing)
		return s.rejectShort(own.Limits, have, tokens)
	}
	return &peerpb.ChargeResponse{
		Parts:    parts,
		LifeMs:   limit.GrantTTL.Milliseconds(),
		Revision: s.source.Revision(),
		SharePpm: own.Share,
	}
}

func (s *Service) borrowFrom(ctx context.Context, from ident.Instance, req *peerpb.ChargeRequest, missing int64) ([]*peerpb.Part, limit.BucketState) {
	c := ident.Customer(req.GetCustomer())
	resp, err := s.chargeAt(ctx, from, &peerpb.ChargeRequest{
		Asker:    s.self(),
		Customer: req.GetCustomer(),
		Tokens:   missing,
		Loan:     true,
		Partial:  true,
		Request:  req.GetRequest(),
	}, loanTimeout)
	if err != nil {
		return nil, limit.BucketState{}
	}
	s.counts.loans.Add(1)
	h := limit.BucketState{Share: resp.GetSharePpm(), Level: resp.GetLevel()}
	s.lenders.record(s.clock.Now(), c, from, h)
	for _, p := range resp.GetParts() {
		h.Level += p.GetTokens()
	}
	return resp.GetParts(), h
}

// lendFullerFirst orders lenders in other data centres. Those below their reserve come last, the fuller ones first, and the
// others keep their order. A lender without an estimate counts as full.
func lendFullerFirst(from []ident.Instance, estimated []limit.BucketState, t limit.Limits) {
	lenders := make([]lender, len(from))
	for i := range from {
		lenders[i] = lender{from[i], estimated[i]}
	}
	slices.SortStableFunc(lenders, func(a, b lender) int {
		return cmp.Compare(b.fill(t), a.fill(t))
	})
	for i, l := range lenders {
		from[i], estimated[i] = l.instance, l.state
	}
}

// lender is a holder to borrow from and its estimated state.
type lender struct {
	instance ident.Instance
	state    limit.BucketState
}

// fill returns how full the bucket of the lender is, in parts of its reserve, at most 1.
func (l lender) fill(t limit.Limits) float64 {
	if l.state == unknownState {
		return 1
	}
	reserve := float64(t.Burst) * float64(l.state.Share) / (limit.FullShare * reserveDivisor)
	if reserve <= 0 {
		return 0
	}
	return min(float64(l.state.Level)/reserve, 1)
}

// lendersOf returns the holders to borrow from, and the index of the first in another data centre. In the local data centre these are the next two
// holders in rank, which may have leases while the instances disagree about the home. In each other
// data centre it is the home. Within a data centre the draining instances come last.
func (s *Service) lendersOf(group uint32) (from []ident.Instance, remote int) {
	now := s.clock.Now()
	for _, centre := range s.membership.Centres() {
		ranked := s.peers.unreachableLast(now, limit.RankHolders(group, s.membership.Live(centre)))
		n := 1
		if centre == s.centre {
			n = 2
		}
		for _, i := range ranked {
			if n > 0 && i != s.node.Instance {
				from = append(from, i)
				n--
			}
		}
		for _, i := range s.membership.Draining(centre) {
			if i != s.node.Instance {
				from = append(from, i)
			}
		}
		if centre == s.centre {
			remote = len(from)
		}
	}
	return from, remote
}

// insufficient reports whether the last responses of the lenders show that there are too few
// tokens.
func insufficient(level int64, estimated []limit.BucketState, tokens int64) bool {
	sum := level
	for _, h := range estimated {
		if h == unknownState {
			return false
		}
		sum += h.Level
	}
	return sum < tokens
}

// unknownState is the estimate for a lender without a recent response.
var unknownState = limit.BucketState{Share: -1}

// estimates returns the estimated present state of the bucket at each lender.
func (l *lenderCache) estimates(now tick.Instant, c ident.Customer, t limit.Limits, from []ident.Instance) []limit.BucketState {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := make([]limit.BucketState, len(from))
	for i, n := range from {
		e, ok := l.states[lenderKey{c, n}]
		if !ok || now-e.at > lenderStateTTL {
			set[i] = unknownState
			continue
		}
		h := e.state
		accrued := float64(t.Rate) * float64(h.Share) / limit.FullShare * (now - e.at).Seconds()
		h.Level += int64(accrued)
		set[i] = h
	}
	return set
}

func (l *lenderCache) record(now tick.Instant, c ident.Customer, n ident.Instance, h limit.BucketState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[lenderKey{c, n}] = lenderState{now, h}
}

// prune removes the responses that are too old to be used.
func (l *lenderCache) prune(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.states {
		if now-e.at > lenderStateTTL {
			delete(l.states, k)
		}
	}
}

// rejectShort returns a response that rejects a charge for lack of tokens and states when the
// holders will have them. The first element of have is this instance.
func (s *Service) rejectShort(t limit.Limits, have []limit.BucketState, tokens int64) *peerpb.ChargeResponse {
	retry, ok := limit.RetryAfter(t, have, tokens)
	switch {
	case ok:
	case have[0].Share == 0 && t.Rate > 0:
		// Tokens accrue again once the leases are renewed.
		seconds := min(float64(tokens)/float64(t.Rate), maxRetryAfter.Seconds())
		retry = s.maxLeaseTTL + time.Duration(seconds*float64(time.Second))
	default:
		return &peerpb.ChargeResponse{Reason: "a part of the customer's burst is out of reach that the request needs"}
	}
	ms := (retry + time.Millisecond - 1).Milliseconds()
	return &peerpb.ChargeResponse{RetryMs: max(ms, 1), Reason: "the customer is above its rate"}
}
