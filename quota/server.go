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
	errSuperseded = errors.New("superseded by another process in the seat")
	errSilent     = errors.New("the instance did not answer of late")
)

// Lease answers a holder that asks for the seat's share.
func (s *Service) Lease(_ context.Context, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	holder := fromNode(req.GetHolder())
	if !s.view.Current(holder) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errSuperseded)
	}
	s.confirm()
	return s.lease(holder, req), nil
}

func (s *Service) lease(holder ident.Node, req *peerpb.LeaseRequest) *peerpb.LeaseResponse {
	now := s.time.Now()
	s.seat.Release(now, holder, req.GetReleased())
	life := min(time.Duration(req.GetLifeMs())*time.Millisecond, s.maxLife)
	granted, share := s.seat.Grant(now, holder, req.GetGroups(), life)
	return &peerpb.LeaseResponse{
		Seat:     s.self(),
		Granted:  granted,
		LifeMs:   life.Milliseconds(),
		SharePpm: share,
	}
}

// Charge answers an entry instance of the data centre or, for a loan, a home
// of another one.
func (s *Service) Charge(ctx context.Context, req *peerpb.ChargeRequest) (*peerpb.ChargeResponse, error) {
	if req.GetLoan() {
		return s.lend(req), nil
	}
	return s.grant(ctx, req), nil
}

// Settle takes back what a charge did not use.
func (s *Service) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	if req.GetIncarnation() != s.node.Incarnation {
		return &peerpb.SettleResponse{}, nil
	}
	return &peerpb.SettleResponse{Credited: s.credit(ident.Customer(req.GetCustomer()), req.GetCharge(), req.GetUnused())}, nil
}

func (s *Service) credit(c ident.Customer, charge uint64, unused int64) int64 {
	return s.holder.Settle(s.time.Now(), c, charge, unused)
}

// grant charges at this instance as the home of the customer, and borrows what
// is missing.
func (s *Service) grant(ctx context.Context, req *peerpb.ChargeRequest) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	s.refresh()
	now := s.time.Now()
	s.standIn(limit.GroupOf(c))
	g, known := s.holder.Charge(now, c, req.GetTokens(), false)
	switch {
	case !known:
		return &peerpb.ChargeResponse{RetryMs: silentFor.Milliseconds(), Reason: "the holder does not know the customer yet"}
	case g.Serial != 0:
		return s.granted(g)
	}
	return s.borrow(ctx, req, g)
}

// lend charges at this instance alone.
func (s *Service) lend(req *peerpb.ChargeRequest) *peerpb.ChargeResponse {
	c := ident.Customer(req.GetCustomer())
	s.refresh()
	g, known := s.holder.Charge(s.time.Now(), c, req.GetTokens(), req.GetPartial())
	switch {
	case !known:
		return &peerpb.ChargeResponse{Reason: "the holder does not know the customer yet"}
	case g.Serial == 0:
		return &peerpb.ChargeResponse{SharePpm: g.Share, Level: g.Level, Reason: "no tokens left"}
	}
	return s.granted(g)
}

func (s *Service) granted(g limit.Grant) *peerpb.ChargeResponse {
	return &peerpb.ChargeResponse{
		Parts:    []*peerpb.Part{s.part(g)},
		LifeMs:   limit.GrantTTL.Milliseconds(),
		Revision: s.table.Revision(),
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

// standIn notes that a group was charged here, so that this instance asks for
// its leases also when its own view names another home.
func (s *Service) standIn(group uint32) {
	s.stood[group].Store(int64(s.time.Now() + standIn))
}
