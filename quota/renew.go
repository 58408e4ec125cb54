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
	// An instance that is no longer the home of a group stops renewing its leases in
	// phaseOutSteps steps. Meanwhile the new home borrows from it, so that the tokens in its
	// buckets are used instead of being lost.
	phaseOutSteps    = 4
	phaseOutInterval = 20 * time.Second
	// openWaitTTLs bounds the wait for the share of the local lessor, in times to live of a lease.
	openWaitTTLs = 2
	// releaseWait is longer than the time within which a grant can be used.
	releaseWait = limit.GrantTTL + limit.GrantTTL/20
)

// Run renews the leases and delivers settlements until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	done := make(chan struct{}, settleWorkers)
	for range settleWorkers {
		go func() {
			s.deliverSettlements(ctx)
			done <- struct{}{}
		}()
	}
	for tick.Sleep(ctx, s.clock, s.renew(ctx)) == nil {
		s.requeue()
		s.lenders.prune(s.clock.Now())
	}
	for range settleWorkers {
		<-done
	}
	return nil
}

// Release ends all leases that this instance holds, before it shuts down. If others can hold them, it first hands over the
// leases of the other lessors: it stops granting from them, waits until its grants have expired,
// and notifies the lessors. Until the next homes have leased these groups it lends from its own share,
// which nobody else can lease. The tokens that remain in its buckets are lost. Requests are still
// admitted through other instances.
func (s *Service) Release(ctx context.Context) error {
	if len(s.others()) > 0 {
		if err := s.waitOpen(ctx); err != nil {
			return err
		}
	}
	others := s.others()
	s.draining.Store(true)
	groups := s.holder.KeepOnly(s.clock.Now(), s.node.Instance)
	s.renewOwn(ctx, groups)
	if len(others) > 0 {
		if err := s.handOver(ctx, groups, others); err != nil {
			return err
		}
	}
	s.holder.Stop(s.clock.Now())
	if err := tick.Sleep(ctx, s.clock, releaseWait); err != nil {
		return err
	}
	s.renewAt(ctx, s.node.Instance, &peerpb.LeaseRequest{Holder: s.self(), Released: groups})
	return nil
}

// others returns the other live instances of the data centre.
func (s *Service) others() []ident.Instance {
	return slices.DeleteFunc(slices.Clone(s.membership.Live(s.centre)), func(i ident.Instance) bool { return i == s.node.Instance })
}

// waitOpen waits until the share of the local lessor can be lent during a handover, which takes one time to live of a
// lease after the start of the process. Until then the leases are renewed as before.
func (s *Service) waitOpen(ctx context.Context) error {
	interval := limit.RenewInterval(s.ownLeaseTTL())
	for end := s.clock.Now() + openWaitTTLs*s.maxLeaseTTL; s.lessor.Share(s.clock.Now()) == 0 && s.clock.Now() < end; {
		if err := tick.Sleep(ctx, s.clock, interval); err != nil {
			return err
		}
	}
	return nil
}

// handOver releases the groups at the lessors and waits until the next homes have leased them.
func (s *Service) handOver(ctx context.Context, groups []uint32, lessors []ident.Instance) error {
	if err := s.waitRenewing(ctx, groups, releaseWait); err != nil {
		return err
	}
	for _, lessor := range lessors {
		s.renewAt(ctx, lessor, &peerpb.LeaseRequest{Holder: s.self(), Released: groups})
	}
	return s.waitRenewing(ctx, groups, limit.RenewInterval(limit.LeaseTTL(len(lessors), s.maxLeaseTTL))+leaseTimeout)
}

// waitRenewing waits for d and meanwhile renews the leases of the local lessor.
func (s *Service) waitRenewing(ctx context.Context, groups []uint32, d time.Duration) error {
	for end := s.clock.Now() + d; s.clock.Now() < end; s.renewOwn(ctx, groups) {
		if err := tick.Sleep(ctx, s.clock, min(limit.RenewInterval(s.ownLeaseTTL()), end-s.clock.Now())); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) renewOwn(ctx context.Context, groups []uint32) {
	s.renewAt(ctx, s.node.Instance, &peerpb.LeaseRequest{Holder: s.self(), Groups: groups, LifeMs: s.ownLeaseTTL().Milliseconds()})
}

// ownLeaseTTL returns the time to live of the leases of the local lessor during a handover.
func (s *Service) ownLeaseTTL() time.Duration { return limit.LeaseTTL(1, s.maxLeaseTTL) }

// renew requests leases from all live instances of the data centre, for the groups that this
// instance should hold. It returns the time until the next renewal.
func (s *Service) renew(ctx context.Context) time.Duration {
	s.lessor.Heartbeat(s.clock.Now())
	s.confirmShare()
	lessors := slices.Clone(s.membership.Live(s.centre))
	slices.Sort(lessors)
	ttl := limit.LeaseTTL(len(lessors), s.maxLeaseTTL)
	if s.draining.Load() {
		return limit.RenewInterval(ttl)
	}
	due := s.groupsToRenew(lessors)
	done := make(chan struct{}, len(lessors))
	calls := 0
	for i, lessor := range lessors {
		groups := due.groupsAt(i, len(lessors))
		if len(groups) == 0 {
			continue
		}
		calls++
		go func() {
			s.renewAt(ctx, lessor, &peerpb.LeaseRequest{Holder: s.self(), Groups: groups, LifeMs: ttl.Milliseconds()})
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
	return limit.RenewInterval(ttl)
}

// renewals lists the groups to renew, and for each the number of phase-out steps that have passed.
type renewals struct {
	groups []uint32
	steps  []int
}

func (w *renewals) add(group uint32, step int) {
	w.groups = append(w.groups, group)
	w.steps = append(w.steps, step)
}

// groupsAt returns the groups to renew at the lessor with index i of n.
func (w renewals) groupsAt(i, n int) []uint32 {
	var groups []uint32
	for j, g := range w.groups {
		if i*phaseOutSteps >= w.steps[j]*n {
			groups = append(groups, g)
		}
	}
	return groups
}

// groupsToRenew returns the groups whose home is this instance, the groups for which it acts as the
// home, and the groups that it is phasing out.
func (s *Service) groupsToRenew(lessors []ident.Instance) renewals {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var w renewals
	for g := range uint32(limit.GroupCount) {
		ranked := limit.RankHolders(g, lessors)
		if now < tick.Instant(s.actingHomeUntil[g].Load()) || len(ranked) > 0 && ranked[0] == s.node.Instance {
			s.lastHome[g] = now
			w.add(g, 0)
			continue
		}
		if step := 1 + int((now-s.lastHome[g])/phaseOutInterval); s.lastHome[g] != 0 && step < phaseOutSteps {
			w.add(g, step)
		}
	}
	return w
}

// renewAt sends a lease request to one lessor and records the lease granted.
func (s *Service) renewAt(ctx context.Context, lessor ident.Instance, req *peerpb.LeaseRequest) {
	requested := s.clock.Now()
	resp, err := s.leaseAt(ctx, lessor, req)
	if err != nil {
		s.log.Debug().Str("peer", string(lessor)).Err(err).Msg("quota: lease request failed; the lease expires unless a later renewal succeeds")
		return
	}
	from := fromNode(resp.GetSeat())
	if from.Instance != lessor || !s.membership.Current(from) {
		return
	}
	ttl := time.Duration(resp.GetLifeMs()) * time.Millisecond
	s.holder.RecordLease(s.clock.Now(), requested, lessor, resp.GetGranted(), resp.GetSharePpm(), ttl)
}

func (s *Service) leaseAt(ctx context.Context, lessor ident.Instance, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	if lessor == s.node.Instance {
		return s.lease(s.node, req), nil
	}
	client, err := s.dialer.Limit(lessor)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	s.counts.leaseCalls.Add(1)
	return client.Lease(call, req)
}
