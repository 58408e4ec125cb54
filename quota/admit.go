package quota

import (
	"context"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// maxHomeAttempts is the largest number of other instances of the local data centre that are tried
// for one charge.
const maxHomeAttempts = 3

// Charge is the permission to use a number of tokens.
type Charge struct {
	s        *Service
	customer ident.Customer
	tokens   int64
	parts    []*peerpb.Part
	expires  tick.Instant
	settled  atomic.Bool
}

// Tokens returns the number of tokens charged.
func (c *Charge) Tokens() int64 { return c.tokens }

// Expires returns the time from which on the charge must not be used.
func (c *Charge) Expires() tick.Instant { return c.expires }

// Valid reports whether the charge may still be used. Call it right before the request is sent,
// because the process may have been paused in between.
func (c *Charge) Valid() bool { return c.s.clock.Now() < c.expires }

// Settle records the number of tokens used and refunds the others. Only the first call has an
// effect.
func (c *Charge) Settle(used int64) {
	if c.settled.Swap(true) {
		return
	}
	c.s.refund(c.customer, c.parts, c.tokens-min(max(used, 0), c.tokens))
}

// Admit charges tokens to a customer. It waits at most maxAdmitWait for tokens that are about to
// accrue. If the customer has too few tokens, the error is a *fail.Refusal with the Retry-After
// time.
func (s *Service) Admit(ctx context.Context, req ident.Request, c ident.Customer, tokens int64) (*Charge, error) {
	limits, ok := s.refresh().byCustomer[c]
	if !ok {
		return nil, s.reject(0, "the customer has no rate in the table in force")
	}
	if tokens > limits.Burst {
		return nil, s.reject(fail.NoRetry, "the request is larger than the customer's burst")
	}
	if tokens <= 0 {
		return &Charge{s: s, customer: c, expires: s.clock.Now() + limit.GrantTTL}, nil
	}
	waitUntil := s.clock.Now() + maxAdmitWait
	for {
		requested := s.clock.Now()
		resp := s.charge(ctx, req, c, tokens)
		if err := ctx.Err(); err != nil {
			s.refund(c, resp.GetParts(), tokens)
			return nil, fail.New("quota: charge", "", ident.NotRun, err)
		}
		ch := &Charge{s: s, customer: c, tokens: tokens, parts: resp.GetParts(), expires: requested + limit.GrantTTL}
		if len(ch.parts) > 0 && ch.Valid() {
			s.counts.admitted.Add(1)
			return ch, nil
		}
		ch.Settle(0)
		retry := time.Duration(resp.GetRetryMs()) * time.Millisecond
		if retry <= 0 || s.clock.Now()+retry > waitUntil {
			return nil, s.reject(max(retry, 0), rejectReason(resp))
		}
		if err := tick.Sleep(ctx, s.clock, retry); err != nil {
			return nil, fail.New("quota: wait", "", ident.NotRun, err)
		}
	}
}

// charge sends the charge to the home of the customer's group. If the home does not respond it
// tries the instances ranked after it. If none responds this instance grants from its own leases,
// unless it is draining.
func (s *Service) charge(ctx context.Context, req ident.Request, c ident.Customer, tokens int64) *peerpb.ChargeResponse {
	in := &peerpb.ChargeRequest{Asker: s.self(), Customer: string(c), Tokens: tokens, Request: string(req)}
	tried := 0
	for _, home := range s.homes(limit.GroupOf(c)) {
		if tried == maxHomeAttempts || ctx.Err() != nil {
			break
		}
		if home == s.node.Instance {
			if s.draining.Load() {
				continue
			}
			return s.grant(ctx, in)
		}
		tried++
		resp, err := s.chargeAt(ctx, home, in, localTimeout)
		if err == nil {
			return resp
		}
	}
	if s.draining.Load() {
		return &peerpb.ChargeResponse{RetryMs: unreachableTTL.Milliseconds(), Reason: "no holder of the customer's tokens answered"}
	}
	return s.grant(ctx, in)
}

func (s *Service) chargeAt(ctx context.Context, peer ident.Instance, in *peerpb.ChargeRequest, timeout time.Duration) (*peerpb.ChargeResponse, error) {
	if s.peers.unreachable(s.clock.Now(), peer, timeout) {
		return nil, errUnreachable
	}
	client, err := s.dialer.Limit(peer)
	if err != nil {
		s.peers.recordResult(ctx, s.clock.Now(), peer, err)
		return nil, fail.New("quota: dial", string(peer), ident.NotRun, err)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.counts.calls.Add(1)
	resp, err := client.Charge(call, in)
	s.peers.recordResult(ctx, s.clock.Now(), peer, err)
	if err != nil {
		s.log.Warn().Str("peer", string(peer)).Err(err).Msg("quota: charge at peer failed; trying the next holder")
		return nil, fail.New("quota: charge", string(peer), ident.Unknown, err)
	}
	return resp, nil
}

func (s *Service) reject(retry time.Duration, reason string) error {
	s.counts.rejected.Add(1)
	return fail.Refuse(fail.CodeRateLimited, retry, reason)
}

func rejectReason(resp *peerpb.ChargeResponse) string {
	if r := resp.GetReason(); r != "" {
		return r
	}
	return "the grant came too late to be used"
}
