package quota

import (
	"context"
	"slices"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

const (
	// An instance that is no longer home of a group lets its leases run out in
	// fadeSteps steps. Meanwhile the new home borrows from it, so that its
	// level drains instead of being lost.
	fadeSteps = 4
	fadeEvery = 20 * time.Second
	// releaseWait outlasts every grant.
	releaseWait = limit.GrantTTL + limit.GrantTTL/20
)

// Run renews the leases and delivers settlements until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	done := make(chan struct{}, settleWorkers)
	for range settleWorkers {
		go func() {
			s.settleAll(ctx)
			done <- struct{}{}
		}()
	}
	for tick.Sleep(ctx, s.time, s.renew(ctx)) == nil {
		s.requeue()
		s.lenders.forget(s.time.Now())
	}
	for range settleWorkers {
		<-done
	}
	return nil
}

// Release ends all leases of this instance as a holder. First it hands over
// those of the other seats: it grants nothing more from them, waits until its
// grants are used, and tells the seats. Meanwhile it lends from its own seat,
// which nobody else can lease, until the next homes have the others. The tokens
// left are lost. Requests are still admitted through other instances.
func (s *Service) Release(ctx context.Context) error {
	s.draining.Store(true)
	others := slices.DeleteFunc(slices.Clone(s.view.Live(s.centre)), func(i ident.Instance) bool { return i == s.node.Instance })
	groups := s.holder.KeepOnly(s.time.Now(), s.node.Instance)
	s.renewOwn(ctx, groups)
	if len(others) > 0 {
		if err := s.handOver(ctx, groups, others); err != nil {
			return err
		}
	}
	s.holder.Stop(s.time.Now())
	if err := tick.Sleep(ctx, s.time, releaseWait); err != nil {
		return err
	}
	s.renewAt(ctx, s.node.Instance, &peerpb.LeaseRequest{Holder: s.self(), Released: groups})
	return nil
}

// handOver releases the groups at the seats and waits until the next homes
// have leased them.
func (s *Service) handOver(ctx context.Context, groups []uint32, seats []ident.Instance) error {
	if err := s.rest(ctx, groups, releaseWait); err != nil {
		return err
	}
	for _, seat := range seats {
		s.renewAt(ctx, seat, &peerpb.LeaseRequest{Holder: s.self(), Released: groups})
	}
	return s.rest(ctx, groups, limit.RenewInterval(limit.LeaseTTL(len(seats), s.maxLife))+leaseTimeout)
}

// rest waits, and renews the leases of the own seat meanwhile.
func (s *Service) rest(ctx context.Context, groups []uint32, d time.Duration) error {
	for end := s.time.Now() + d; s.time.Now() < end; s.renewOwn(ctx, groups) {
		if err := tick.Sleep(ctx, s.time, min(limit.RenewInterval(s.ownLife()), end-s.time.Now())); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) renewOwn(ctx context.Context, groups []uint32) {
	s.renewAt(ctx, s.node.Instance, &peerpb.LeaseRequest{Holder: s.self(), Groups: groups, LifeMs: s.ownLife().Milliseconds()})
}

// ownLife is the life of the leases of the own seat while they are handed over.
func (s *Service) ownLife() time.Duration { return limit.LeaseTTL(1, s.maxLife) }

// renew asks all live seats of the data centre for the groups that this
// instance is to hold, and returns the time until the next renewal.
func (s *Service) renew(ctx context.Context) time.Duration {
	s.seat.Heartbeat(s.time.Now())
	s.confirm()
	seats := slices.Clone(s.view.Live(s.centre))
	slices.Sort(seats)
	life := limit.LeaseTTL(len(seats), s.maxLife)
	if s.draining.Load() {
		return limit.RenewInterval(life)
	}
	wanted := s.wanted(seats)
	done := make(chan struct{}, len(seats))
	asked := 0
	for i, seat := range seats {
		groups := wanted.at(i, len(seats))
		if len(groups) == 0 {
			continue
		}
		asked++
		go func() {
			s.renewAt(ctx, seat, &peerpb.LeaseRequest{Holder: s.self(), Groups: groups, LifeMs: life.Milliseconds()})
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
	return limit.RenewInterval(life)
}

// want lists the groups to renew, and for each how many steps it has faded.
type want struct {
	groups []uint32
	faded  []int
}

func (w *want) add(group uint32, faded int) {
	w.groups = append(w.groups, group)
	w.faded = append(w.faded, faded)
}

// at returns the groups to renew at the seat with index i of n.
func (w want) at(i, n int) []uint32 {
	var groups []uint32
	for j, g := range w.groups {
		if i*fadeSteps >= w.faded[j]*n {
			groups = append(groups, g)
		}
	}
	return groups
}

func (s *Service) wanted(seats []ident.Instance) want {
	now := s.time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var w want
	for g := range uint32(limit.GroupCount) {
		ranked := limit.RankHolders(g, seats)
		if now < tick.Instant(s.stood[g].Load()) || len(ranked) > 0 && ranked[0] == s.node.Instance {
			s.home[g] = now
			w.add(g, 0)
			continue
		}
		if faded := 1 + int((now-s.home[g])/fadeEvery); s.home[g] != 0 && faded < fadeSteps {
			w.add(g, faded)
		}
	}
	return w
}

// renewAt asks one seat and takes what it leases.
func (s *Service) renewAt(ctx context.Context, seat ident.Instance, req *peerpb.LeaseRequest) {
	asked := s.time.Now()
	resp, err := s.leaseAt(ctx, seat, req)
	if err != nil {
		s.log.Debug().Str("peer", string(seat)).Err(err).Msg("quota: lease failed")
		return
	}
	from := fromNode(resp.GetSeat())
	if from.Instance != seat || !s.view.Current(from) {
		return
	}
	life := time.Duration(resp.GetLifeMs()) * time.Millisecond
	s.holder.RecordLease(s.time.Now(), asked, seat, resp.GetGranted(), resp.GetSharePpm(), life)
}

func (s *Service) leaseAt(ctx context.Context, seat ident.Instance, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	if seat == s.node.Instance {
		return s.lease(s.node, req), nil
	}
	client, err := s.dialer.Limit(seat)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	s.counts.leases.Add(1)
	return client.Lease(call, req)
}
