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

// maxHomes is how many instances of the own data centre are tried for one
// charge.
const maxHomes = 3

// Charge is the right to use an amount of tokens.
type Charge struct {
	s        *Service
	customer ident.Customer
	tokens   int64
	parts    []*peerpb.Part
	expires  tick.Instant
	settled  atomic.Bool
}

// Tokens returns the amount.
func (c *Charge) Tokens() int64 { return c.tokens }

// Expires returns the instant from which on the charge may no longer be used.
func (c *Charge) Expires() tick.Instant { return c.expires }

// Valid reports whether the charge may still be used. The user asks right
// before the request leaves, since the process may have paused in between.
func (c *Charge) Valid() bool { return c.s.time.Now() < c.expires }

// Settle tells how many tokens were used and gives back the others. Only the
// first call counts.
func (c *Charge) Settle(used int64) {
	if c.settled.Swap(true) {
		return
	}
	c.s.giveBack(c.customer, c.parts, c.tokens-min(max(used, 0), c.tokens))
}

// Admit charges tokens to a customer. It waits a moment for tokens that are
// about to accrue. Otherwise the error is a *fail.Refusal that tells when to
// come back.
func (s *Service) Admit(ctx context.Context, req ident.Request, c ident.Customer, tokens int64) (*Charge, error) {
	in, ok := s.refresh().of[c]
	if !ok {
		return nil, s.refuse(0, "the customer has no rate in the table in force")
	}
	if tokens > in.Burst {
		return nil, s.refuse(fail.NoRetry, "the request is larger than the customer's burst")
	}
	if tokens <= 0 {
		return &Charge{s: s, customer: c, expires: s.time.Now() + limit.GrantTTL}, nil
	}
	latest := s.time.Now() + shortWait
	for {
		asked := s.time.Now()
		resp := s.charge(ctx, req, c, tokens)
		if err := ctx.Err(); err != nil {
			s.giveBack(c, resp.GetParts(), tokens)
			return nil, fail.New("quota: charge", "", ident.NotRun, err)
		}
		ch := &Charge{s: s, customer: c, tokens: tokens, parts: resp.GetParts(), expires: asked + limit.GrantTTL}
		if len(ch.parts) > 0 && ch.Valid() {
			s.counts.admitted.Add(1)
			return ch, nil
		}
		ch.Settle(0)
		retry := time.Duration(resp.GetRetryMs()) * time.Millisecond
		if retry <= 0 || s.time.Now()+retry > latest {
			return nil, s.refuse(max(retry, 0), reason(resp))
		}
		if err := tick.Sleep(ctx, s.time, retry); err != nil {
			return nil, fail.New("quota: wait", "", ident.NotRun, err)
		}
	}
}

// charge asks the home of the customer's group, and the instances after it if
// the home does not answer.
func (s *Service) charge(ctx context.Context, req ident.Request, c ident.Customer, tokens int64) *peerpb.ChargeResponse {
	in := &peerpb.ChargeRequest{Asker: s.self(), Customer: string(c), Tokens: tokens, Request: string(req)}
	tried := 0
	for _, home := range s.homes(limit.GroupOf(c)) {
		if tried == maxHomes || ctx.Err() != nil {
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
		return &peerpb.ChargeResponse{RetryMs: silentFor.Milliseconds(), Reason: "no holder of the customer's tokens answered"}
	}
	return s.grant(ctx, in)
}

func (s *Service) chargeAt(ctx context.Context, peer ident.Instance, in *peerpb.ChargeRequest, timeout time.Duration) (*peerpb.ChargeResponse, error) {
	if s.peers.silent(s.time.Now(), peer, timeout) {
		return nil, errSilent
	}
	client, err := s.dialer.Limit(peer)
	if err != nil {
		s.peers.note(ctx, s.time.Now(), peer, err)
		return nil, fail.New("quota: dial", string(peer), ident.NotRun, err)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.counts.calls.Add(1)
	resp, err := client.Charge(call, in)
	s.peers.note(ctx, s.time.Now(), peer, err)
	if err != nil {
		s.log.Warn().Str("peer", string(peer)).Err(err).Msg("quota: charge failed")
		return nil, fail.New("quota: charge", string(peer), ident.Unknown, err)
	}
	return resp, nil
}

func (s *Service) refuse(retry time.Duration, reason string) error {
	s.counts.refused.Add(1)
	return fail.Refuse(fail.CodeRateLimited, retry, reason)
}

func reason(resp *peerpb.ChargeResponse) string {
	if r := resp.GetReason(); r != "" {
		return r
	}
	return "the grant came too late to be used"
}
