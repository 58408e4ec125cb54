package limit

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// DefaultMaxLeaseTTL is the longest life of a lease in a fleet with at most 12
	// seats in a data centre.
	DefaultMaxLeaseTTL = 2400 * time.Millisecond
	// DefaultRaiseDelay is the time within which a table is in force
	// everywhere.
	DefaultRaiseDelay = 15 * time.Second

	minLife     = DefaultMaxLeaseTTL
	lifePerSeat = 200 * time.Millisecond
)

// LessorConfig configures a Seat.
type LessorConfig struct {
	// Start is the instant at which the process started.
	Start tick.Instant
	// MaxLeaseTTL is the longest life of a lease, the same in the whole fleet.
	MaxLeaseTTL time.Duration
	// RaiseDelay is the time after which a larger share takes effect. It
	// covers the time for a table to be in force everywhere.
	RaiseDelay time.Duration
}

// Lessor leases one seat's share of all buckets to holders, group by group.
type Lessor struct {
	maxLife time.Duration
	raise   time.Duration

	mu     sync.Mutex   // guards the fields below
	opens  tick.Instant // nothing is leased before, after a pause
	beat   tick.Instant
	share  int64
	target int64
	due    tick.Instant // target takes effect, if it is larger
	leased [GroupCount]tenancy
}

type tenancy struct {
	holder ident.Node
	until  tick.Instant
}

// NewLessor returns a seat without a share: the one that SetShare gives to a fresh
// process takes effect late, after the leases of a predecessor.
func NewLessor(cfg LessorConfig) *Lessor {
	if cfg.MaxLeaseTTL <= 0 {
		cfg.MaxLeaseTTL = DefaultMaxLeaseTTL
	}
	if cfg.RaiseDelay <= 0 {
		cfg.RaiseDelay = DefaultRaiseDelay
	}
	return &Lessor{
		maxLife: cfg.MaxLeaseTTL,
		raise:   cfg.RaiseDelay,
		beat:    cfg.Start,
	}
}

// Heartbeat tells that the process runs; it is to be called at least every half of
// the longest lease life. After a pause the process may have been replaced
// without knowing, so its seat leases nothing until peers had the time to tell
// it.
func (s *Lessor) Heartbeat(now tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkGap(now)
	s.beat = max(s.beat, now)
}

// SetShare tells the share that the table in force gives to the seat. A
// smaller share takes effect at once. A larger one takes effect once the
// revision is in force everywhere and leases of larger shares of others are
// over.
func (s *Lessor) SetShare(now tick.Instant, share int64) {
	share = min(max(share, 0), FullShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(now)
	if share == s.target {
		return
	}
	s.target = share
	s.share = min(s.share, share)
	s.due = now + s.raise + outlast(s.maxLife)
}

// ConfirmShare tells that the revision of the last SetShare is in force at every
// seat, so that a larger share need only wait for leases to run out.
func (s *Lessor) ConfirmShare(now tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = min(s.due, now+outlast(s.maxLife))
}

// Grant leases the groups that no other holder has, and returns them and the
// seat's share. The lease runs until life from now.
func (s *Lessor) Grant(now tick.Instant, holder ident.Node, groups []uint32, life time.Duration) (granted []uint32, share int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(now)
	s.checkGap(now)
	if now < s.opens || s.share == 0 || life <= 0 || life > s.maxLife {
		return nil, 0
	}
	for _, g := range groups {
		if g >= GroupCount {
			continue
		}
		t := &s.leased[g]
		if t.holder != holder && now < t.until {
			continue
		}
		t.holder = holder
		t.until = max(t.until, now+outlast(life))
		granted = append(granted, g)
	}
	return granted, s.share
}

// Release ends the holder's leases of the groups.
func (s *Lessor) Release(now tick.Instant, holder ident.Node, groups []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range groups {
		if g < GroupCount && s.leased[g].holder == holder {
			s.leased[g].until = min(s.leased[g].until, now)
		}
	}
}

// Share returns the share that takes effect now.
func (s *Lessor) Share(now tick.Instant) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(now)
	if now < s.opens {
		return 0
	}
	return s.share
}

func (s *Lessor) checkGap(now tick.Instant) {
	if now-s.beat > s.maxLife/2 {
		s.opens = max(s.opens, now+outlast(s.maxLife))
	}
}

func (s *Lessor) apply(now tick.Instant) {
	if s.share != s.target && now >= s.due {
		s.share = s.target
	}
}

// outlast returns how long a lease of this life counts at the seat.
func outlast(life time.Duration) time.Duration { return longer(life) }

// usable returns how long a lease of this life counts at the holder, from
// before it asked: whatever it grants is used before the lease ends.
func usable(life time.Duration) time.Duration {
	return shorter(life) - longer(longer(GrantTTL))
}

// LeaseTTL returns the life of the leases in a data centre with this many seats. It
// grows with them, so that the messages of a holder stay few.
func LeaseTTL(seats int, maxLife time.Duration) time.Duration {
	return min(max(minLife, time.Duration(seats)*lifePerSeat), maxLife)
}

// RenewInterval returns the period at which leases of this life are renewed.
func RenewInterval(life time.Duration) time.Duration { return usable(life) * 2 / 5 }
