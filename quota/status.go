package quota

import (
	"sync/atomic"

	"wasabidock.dev/dock/limit"
)

// counts are totals since the start of the process.
type counts struct {
	admitted atomic.Int64
	refused  atomic.Int64
	borrowed atomic.Int64
	lost     atomic.Int64
	calls    atomic.Int64
	leases   atomic.Int64
}

// Status is a snapshot of a Service.
type Status struct {
	admitted, refused, borrowed, lost, calls, leases int64
	seat                                             int64
	held                                             [limit.GroupCount]int64
}

// Status returns a snapshot.
func (s *Service) Status() Status {
	now := s.time.Now()
	st := Status{
		admitted: s.counts.admitted.Load(),
		refused:  s.counts.refused.Load(),
		borrowed: s.counts.borrowed.Load(),
		lost:     s.counts.lost.Load(),
		calls:    s.counts.calls.Load(),
		leases:   s.counts.leases.Load(),
		seat:     s.seat.Share(now),
	}
	for g := range st.held {
		st.held[g] = s.holder.Share(now, uint32(g))
	}
	return st
}

// Admitted returns the number of requests admitted here.
func (st Status) Admitted() int64 { return st.admitted }

// Rejected returns the number of requests refused here.
func (st Status) Rejected() int64 { return st.refused }

// Loans returns the number of loans taken from other holders.
func (st Status) Loans() int64 { return st.borrowed }

// LostSettlements returns the number of settlements given up.
func (st Status) LostSettlements() int64 { return st.lost }

// Calls returns the number of charges and settlements sent to other instances.
func (st Status) Calls() int64 { return st.calls }

// LeaseCalls returns the number of lease requests sent to other instances.
func (st Status) LeaseCalls() int64 { return st.leases }

// OwnShare returns the share that the own seat may lease out, in parts per
// million.
func (st Status) OwnShare() int64 { return st.seat }

// LeasedShare returns the leased share of a group, in parts per million.
func (st Status) LeasedShare(group uint32) int64 { return st.held[group] }
