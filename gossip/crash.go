package gossip

import (
	"context"

	"connectrpc.com/connect"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// startHome is what the home of suspect parts is ranked by. All suspect parts have one home, so that a
// request with several of them needs one claim.
var startHome = route.Hash("suspect parts")

// homeOfParts returns the instance that admits requests with suspect parts.
func (s *Service) homeOfParts() (home, bool) { return s.homeOf(startHome, "") }

// ClaimStart implements crash.Claimer. It calls the home of suspect parts, unless that is this
// instance.
func (s *Service) ClaimStart(ctx context.Context, c crash.Claim, now tick.Instant) (crash.Answer, error) {
	h, ok := s.homeOfParts()
	if !ok {
		return crash.Answer{}, crash.ErrNoHome
	}
	if h.self {
		return s.cfg.Crashes.Decide(c, true, now), nil
	}
	m, ok := s.members.get(h.instance)
	if !ok {
		return crash.Answer{}, crash.ErrNoHome
	}
	req := &peerpb.StartRequest{Id: c.ID, Histories: peer.EncodeHistories(s.cfg.Crashes.Of(c.Parts), now)}
	for _, p := range c.Parts {
		req.Parts = append(req.Parts, uint64(p))
	}
	var resp *peerpb.StartResponse
	err := s.claimAt(ctx, m, "news: start", func(ctx context.Context, client peerpbconnect.NewsServiceClient) (err error) {
		resp, err = client.Start(ctx, req)
		return err
	})
	if err != nil {
		return crash.Answer{}, err
	}
	s.recordHistories(resp.GetHistories())
	return crash.Answer{Granted: resp.GetGranted(), Blocked: resp.GetBlocked(), Wait: fromMicros(resp.GetWaitUs())}, nil
}

// Start implements peerpbconnect.NewsServiceHandler. It decides a claim of a peer.
func (s *Service) Start(_ context.Context, r *peerpb.StartRequest) (*peerpb.StartResponse, error) {
	h, ok := s.homeOfParts()
	if !ok || !h.self {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotHome)
	}
	s.recordHistories(r.GetHistories())
	c := crash.Claim{ID: r.GetId()}
	for _, p := range r.GetParts() {
		c.Parts = append(c.Parts, crash.Part(p))
	}
	now := s.cfg.SinceBoot()
	a := s.cfg.Crashes.Decide(c, true, now)
	return &peerpb.StartResponse{
		Granted: a.Granted, Blocked: a.Blocked, WaitUs: a.Wait.Microseconds(),
		Histories: peer.EncodeHistories(s.cfg.Crashes.Of(c.Parts), now),
	}, nil
}

// recordHistories merges the histories of a peer.
func (s *Service) recordHistories(list []*peerpb.PartHistory) {
	if len(list) == 0 {
		return
	}
	now := s.cfg.SinceBoot()
	s.cfg.Crashes.Merge(peer.DecodeHistories(list, now), now)
}

// setHistoryAges replaces the histories of a state by the current ones with their ages.
func (s *Service) setHistoryAges(l *peerpb.Load) {
	if len(l.Histories) > 0 {
		now := s.cfg.SinceBoot()
		l.Histories = peer.EncodeHistories(s.cfg.Crashes.Recent(now), now)
	}
}

// recentHistories returns the histories to which this instance has just added something, without ages.
func (s *Service) recentHistories() []*peerpb.PartHistory {
	var list []*peerpb.PartHistory
	for _, h := range s.cfg.Crashes.Recent(s.cfg.SinceBoot()) {
		w := &peerpb.PartHistory{Part: uint64(h.Part)}
		for _, c := range h.Crashes {
			w.Crashes = append(w.Crashes, &peerpb.PartCrash{Server: c.Server})
		}
		for _, r := range h.Trials {
			w.Trials = append(w.Trials, &peerpb.PartTrial{Id: r.ID})
		}
		list = append(list, w)
	}
	return list
}
