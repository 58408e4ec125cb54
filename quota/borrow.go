package quota

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// estimateLife is how long the last answer of a lender counts.
const estimateLife = 500 * time.Millisecond

// maxRetry bounds the estimate of when tokens accrue.
const maxRetry = time.Hour

// lenders remembers what other holders had left of each customer's bucket, so
// that a customer above its rate does not cause a call for each request.
type lenders struct {
	mu   sync.Mutex // guards seen
	seen map[lender]estimate
}

type lender struct {
	customer ident.Customer
	instance ident.Instance
}

type estimate struct {
	at      tick.Instant
	holding limit.BucketState
}

// borrow charges what there is at this instance and takes the rest from other
// holders of the group. It gives everything back if that is not enough.
func (s *Service) borrow(ctx context.Context, req *peerpb.ChargeRequest, own limit.Grant) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	tokens := req.GetTokens()
	from := s.lendersOf(limit.GroupOf(c))
	have := []limit.BucketState{{Share: own.Share, Level: own.Level}}
	expected := s.lenders.expect(s.time.Now(), c, own.Terms, from)
	if hopeless(own.Level, expected, tokens) {
		return s.short(own.Terms, append(have, expected...), tokens)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var parts []*peerpb.Part
	missing := tokens
	if g, _ := s.holder.Charge(s.time.Now(), c, missing, true); g.Serial != 0 {
		parts = append(parts, s.part(g))
		missing -= g.Tokens
		have[0].Level = g.Level + g.Tokens
	}
	for i, l := range from {
		if missing == 0 {
			break
		}
		if expected[i] != unknown && expected[i].Level == 0 {
			have = append(have, expected[i])
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
		s.giveBack(c, parts, tokens-missing)
		return s.short(own.Terms, have, tokens)
	}
	return &peerpb.ChargeResponse{
		Parts:    parts,
		LifeMs:   limit.GrantTTL.Milliseconds(),
		Revision: s.table.Revision(),
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
	s.counts.borrowed.Add(1)
	h := limit.BucketState{Share: resp.GetSharePpm(), Level: resp.GetLevel()}
	s.lenders.note(s.time.Now(), c, from, h)
	for _, p := range resp.GetParts() {
		h.Level += p.GetTokens()
	}
	return resp.GetParts(), h
}

// lendersOf returns the holders to borrow from: the next ones in the own data
// centre, which have leases while views differ, then the homes of the other data
// centres; in each those that hand over their leases come last.
func (s *Service) lendersOf(group uint32) []ident.Instance {
	now := s.time.Now()
	var from []ident.Instance
	for _, centre := range s.view.Centres() {
		ranked := s.peers.heard(now, limit.RankHolders(group, s.view.Live(centre)))
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
		for _, i := range s.view.Draining(centre) {
			if i != s.node.Instance {
				from = append(from, i)
			}
		}
	}
	return from
}

// hopeless reports whether the lenders' last answers show that the tokens are
// not there.
func hopeless(level int64, expected []limit.BucketState, tokens int64) bool {
	sum := level
	for _, h := range expected {
		if h == unknown {
			return false
		}
		sum += h.Level
	}
	return sum < tokens
}

// unknown stands for a lender that was not asked of late.
var unknown = limit.BucketState{Share: -1}

// expect returns what each lender may have by now.
func (l *lenders) expect(now tick.Instant, c ident.Customer, t limit.Limits, from []ident.Instance) []limit.BucketState {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := make([]limit.BucketState, len(from))
	for i, n := range from {
		e, ok := l.seen[lender{c, n}]
		if !ok || now-e.at > estimateLife {
			set[i] = unknown
			continue
		}
		h := e.holding
		accrued := float64(t.Rate) * float64(h.Share) / limit.FullShare * (now - e.at).Seconds()
		h.Level += int64(accrued)
		set[i] = h
	}
	return set
}

func (l *lenders) note(now tick.Instant, c ident.Customer, n ident.Instance, h limit.BucketState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[lender{c, n}] = estimate{now, h}
}

// forget drops the answers that no longer count.
func (l *lenders) forget(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.seen {
		if now-e.at > estimateLife {
			delete(l.seen, k)
		}
	}
}

// short refuses a charge and tells when the holders will have the tokens. The
// first of have is this instance.
func (s *Service) short(t limit.Limits, have []limit.BucketState, tokens int64) *peerpb.ChargeResponse {
	retry, ok := limit.RetryAfter(t, have, tokens)
	switch {
	case ok:
	case have[0].Share == 0 && t.Rate > 0:
		// The leases come back, and then the tokens accrue.
		seconds := min(float64(tokens)/float64(t.Rate), maxRetry.Seconds())
		retry = s.maxLife + time.Duration(seconds*float64(time.Second))
	default:
		return &peerpb.ChargeResponse{Reason: "a part of the customer's burst is out of reach that the request needs"}
	}
	ms := (retry + time.Millisecond - 1).Milliseconds()
	return &peerpb.ChargeResponse{RetryMs: max(ms, 1), Reason: "the customer is above its rate"}
}
