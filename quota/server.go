package quota

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

var _ peerpbconnect.LimitServiceHandler = (*Service)(nil)

var (
	errSuperseded  = errors.New("superseded by another process in the seat")
	errUnreachable = errors.New("peer did not respond recently")
)

// Lease leases the instance's share to a holder that requests it.
func (s *Service) Lease(_ context.Context, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	holder := fromNode(req.GetHolder())
	if !s.membership.Current(holder) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errSuperseded)
	}
	s.confirmShare()
	return s.lease(holder, req), nil
}

func (s *Service) lease(holder ident.Node, req *peerpb.LeaseRequest) *peerpb.LeaseResponse {
	now := s.clock.Now()
	s.lessor.Release(now, holder, req.GetReleased())
	ttl := min(time.Duration(req.GetLifeMs())*time.Millisecond, s.maxLeaseTTL)
	granted, share := s.lessor.Grant(now, holder, req.GetGroups(), ttl)
	return &peerpb.LeaseResponse{
		Seat:     s.self(),
		Granted:  granted,
		LifeMs:   ttl.Milliseconds(),
		SharePpm: share,
	}
}

// Charge charges tokens for an entry instance of the data centre or, for a loan, for another holder
// of the group.
func (s *Service) Charge(ctx context.Context, req *peerpb.ChargeRequest) (*peerpb.ChargeResponse, error) {
	if req.GetLoan() {
		return s.lend(req), nil
	}
	return s.grant(ctx, req), nil
}

// Settle refunds the unused tokens of a charge.
func (s *Service) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	if req.GetIncarnation() != s.node.Incarnation {
		return &peerpb.SettleResponse{}, nil
	}
	return &peerpb.SettleResponse{Credited: s.credit(ident.Customer(req.GetCustomer()), req.GetCharge(), req.GetUnused())}, nil
}

func (s *Service) credit(c ident.Customer, charge uint64, unused int64) int64 {
	return s.holder.Settle(s.clock.Now(), c, charge, unused)
}

// grant charges at this instance as the home of the customer and borrows the tokens that it lacks.
func (s *Service) grant(ctx context.Context, req *peerpb.ChargeRequest) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	s.refresh()
	now := s.clock.Now()
	s.recordStandIn(limit.GroupOf(c))
	g, known := s.holder.Charge(now, c, req.GetTokens(), false)
	switch {
	case !known:
		return &peerpb.ChargeResponse{RetryMs: unreachableTTL.Milliseconds(), Reason: "the holder does not know the customer yet"}
	case g.Serial != 0:
		return s.grantResponse(g)
	}
	return s.borrow(ctx, req, g)
}

// lend charges at this instance only.
func (s *Service) lend(req *peerpb.ChargeRequest) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	s.refresh()
	g, known := s.holder.Charge(s.clock.Now(), c, req.GetTokens(), req.GetPartial())
	switch {
	case !known:
		return &peerpb.ChargeResponse{Reason: "the holder does not know the customer yet"}
	case g.Serial == 0:
		return &peerpb.ChargeResponse{SharePpm: g.Share, Level: g.Level, Reason: "no tokens left"}
	}
	return s.grantResponse(g)
}

func (s *Service) grantResponse(g limit.Grant) *peerpb.ChargeResponse {
	return &peerpb.ChargeResponse{
		Parts:    []*peerpb.Part{s.part(g)},
		LifeMs:   limit.GrantTTL.Milliseconds(),
		Revision: s.source.Revision(),
		SharePpm: g.Share,
		Level:    g.Level,
	}
}

func (s *Service) part(g limit.Grant) *peerpb.Part {
	return &peerpb.Part{
		Holder:      string(s.node.Instance),
		Incarnation: s.node.Incarnation,
		Charge:      g.Serial,
		Tokens:      g.Tokens,
	}
}

// recordStandIn records that a group was charged here. This instance then renews the group's leases
// even if its own view names another home.
func (s *Service) recordStandIn(group uint32) {
	s.actingHomeUntil[group].Store(int64(s.clock.Now() + actingHomeTTL))
}
