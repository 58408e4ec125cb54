package quota

import (
	"sync/atomic"

	"wasabidock.dev/dock/limit"
)

// counts are totals since the start of the process.
type counts struct {
	admitted        atomic.Int64
	rejected        atomic.Int64
	loans           atomic.Int64
	lostSettlements atomic.Int64
	calls           atomic.Int64
	leaseCalls      atomic.Int64
}

// Status is a snapshot of the state of a Service.
type Status struct {
	admitted, rejected, loans, lostSettlements, calls, leaseCalls int64
	ownShare                                                      int64
	leasedShare                                                   [limit.GroupCount]int64
}

// Status returns a snapshot of the state.
func (s *Service) Status() Status {
	now := s.clock.Now()
	st := Status{
		admitted:        s.counts.admitted.Load(),
		rejected:        s.counts.rejected.Load(),
		loans:           s.counts.loans.Load(),
		lostSettlements: s.counts.lostSettlements.Load(),
		calls:           s.counts.calls.Load(),
		leaseCalls:      s.counts.leaseCalls.Load(),
		ownShare:        s.lessor.Share(now),
	}
	for g := range st.leasedShare {
		st.leasedShare[g] = s.holder.Share(now, uint32(g))
	}
	return st
}

// Admitted returns the number of requests admitted by this instance.
func (st Status) Admitted() int64 { return st.admitted }

// Rejected returns the number of requests rejected by this instance.
func (st Status) Rejected() int64 { return st.rejected }

// Loans returns the number of loan requests that other holders responded to.
func (st Status) Loans() int64 { return st.loans }

// LostSettlements returns the number of settlements dropped because of a full queue or too many
// failed attempts.
func (st Status) LostSettlements() int64 { return st.lostSettlements }

// Calls returns the number of charges and settlements sent to other instances.
func (st Status) Calls() int64 { return st.calls }

// LeaseCalls returns the number of lease requests sent to other instances.
func (st Status) LeaseCalls() int64 { return st.leaseCalls }

// OwnShare returns the share that this instance can lease out, in parts per million.
func (st Status) OwnShare() int64 { return st.ownShare }

// LeasedShare returns the share of a group that this instance holds by leases, in parts per
// million.
func (st Status) LeasedShare(group uint32) int64 { return st.leasedShare[group] }
