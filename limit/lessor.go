package limit

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// DefaultMaxLeaseTTL is the longest time to live of a lease in a fleet with at most 12
	// instances in a data centre.
	DefaultMaxLeaseTTL = 2400 * time.Millisecond
	// DefaultRaiseDelay is the time within which a configuration is in force at all instances.
	DefaultRaiseDelay = 15 * time.Second

	minLeaseTTL    = DefaultMaxLeaseTTL
	ttlPerInstance = 200 * time.Millisecond
)

// LessorConfig configures a Lessor.
type LessorConfig struct {
	// Start is the time at which the process started.
	Start tick.Instant
	// MaxLeaseTTL is the longest time to live of a lease. It must be the same in the whole fleet.
	// Zero means DefaultMaxLeaseTTL.
	MaxLeaseTTL time.Duration
	// RaiseDelay is the time after which a larger share takes effect. It covers the time until a
	// configuration is in force at all instances. Zero means DefaultRaiseDelay.
	RaiseDelay time.Duration
}

// Lessor leases one instance's share of all buckets to holders, group by group.
type Lessor struct {
	maxTTL     time.Duration
	raiseDelay time.Duration

	mu            sync.Mutex   // guards the fields below
	grantsFrom    tick.Instant // no lease is granted before this time, set after a pause of the process
	lastHeartbeat tick.Instant
	share         int64        // share in force, parts per million
	target        int64        // share of the last SetShare, parts per million
	targetAt      tick.Instant // when target takes effect if it is larger than share
	leased        [GroupCount]grantedLease
}

// grantedLease is the lease of one group.
type grantedLease struct {
	holder ident.Node
	until  tick.Instant
}

// NewLessor returns a lessor whose share is zero. The first share that SetShare sets takes effect
// late, after the leases of a previous process of the instance have expired.
func NewLessor(cfg LessorConfig) *Lessor {
	if cfg.MaxLeaseTTL <= 0 {
		cfg.MaxLeaseTTL = DefaultMaxLeaseTTL
	}
	if cfg.RaiseDelay <= 0 {
		cfg.RaiseDelay = DefaultRaiseDelay
	}
	return &Lessor{
		maxTTL:        cfg.MaxLeaseTTL,
		raiseDelay:    cfg.RaiseDelay,
		lastHeartbeat: cfg.Start,
	}
}

// Heartbeat records that the process is running. It must be called at least every half of
// MaxLeaseTTL. After a longer pause the process may have been replaced without its knowledge. The
// lessor then grants no leases for one MaxLeaseTTL, so that peers have time to report the
// replacement.
func (l *Lessor) Heartbeat(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkPause(now)
	l.lastHeartbeat = max(l.lastHeartbeat, now)
}

// SetShare sets the share that the configuration in force assigns to the instance, in parts per
// million. A smaller share takes effect at once. A larger share takes effect when the revision is
// in force at all instances and the leases of larger shares of other instances have expired.
func (l *Lessor) SetShare(now tick.Instant, share int64) {
	share = min(max(share, 0), FullShare)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyTarget(now)
	if share == l.target {
		return
	}
	l.target = share
	l.share = min(l.share, share)
	l.targetAt = now + l.raiseDelay + lessorTTL(l.maxTTL)
}

// ConfirmShare records that the revision of the last SetShare is in force at all instances. A
// larger share then only waits for the leases of others to expire.
func (l *Lessor) ConfirmShare(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetAt = min(l.targetAt, now+lessorTTL(l.maxTTL))
}

// Grant leases those of the groups that no other holder has leased. It returns these groups and the
// share, in parts per million. The lease expires ttl after now. Grant leases nothing if ttl exceeds
// MaxLeaseTTL.
func (l *Lessor) Grant(now tick.Instant, holder ident.Node, groups []uint32, ttl time.Duration) (granted []uint32, share int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyTarget(now)
	l.checkPause(now)
	if now < l.grantsFrom || l.share == 0 || ttl <= 0 || ttl > l.maxTTL {
		return nil, 0
	}
	for _, g := range groups {
		if g >= GroupCount {
			continue
		}
		lease := &l.leased[g]
		if lease.holder != holder && now < lease.until {
			continue
		}
		lease.holder = holder
		lease.until = max(lease.until, now+lessorTTL(ttl))
		granted = append(granted, g)
	}
	return granted, l.share
}

// Release ends the holder's leases of the groups.
func (l *Lessor) Release(now tick.Instant, holder ident.Node, groups []uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range groups {
		if g < GroupCount && l.leased[g].holder == holder {
			l.leased[g].until = min(l.leased[g].until, now)
		}
	}
}

// Share returns the share that can be leased now, in parts per million.
func (l *Lessor) Share(now tick.Instant) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyTarget(now)
	if now < l.grantsFrom {
		return 0
	}
	return l.share
}

// checkPause suspends grants for one MaxLeaseTTL if the last heartbeat is too old.
func (l *Lessor) checkPause(now tick.Instant) {
	if now-l.lastHeartbeat > l.maxTTL/2 {
		l.grantsFrom = max(l.grantsFrom, now+lessorTTL(l.maxTTL))
	}
}

func (l *Lessor) applyTarget(now tick.Instant) {
	if l.share != l.target && now >= l.targetAt {
		l.share = l.target
	}
}

// lessorTTL returns how long a lease counts at the lessor.
func lessorTTL(ttl time.Duration) time.Duration { return extendForDrift(ttl) }

// holderTTL returns how long a lease counts at the holder, from before the lease request was sent.
// It is shorter than the lease, so that every grant is used before the lease expires.
func holderTTL(ttl time.Duration) time.Duration {
	return reduceForDrift(ttl) - extendForDrift(extendForDrift(GrantTTL))
}

// LeaseTTL returns the time to live of the leases in a data centre with this number of instances.
// It grows with the number, so that a holder sends few messages.
func LeaseTTL(instances int, maxTTL time.Duration) time.Duration {
	return min(max(minLeaseTTL, time.Duration(instances)*ttlPerInstance), maxTTL)
}

// RenewInterval returns the interval at which leases of this time to live are renewed.
func RenewInterval(ttl time.Duration) time.Duration { return holderTTL(ttl) * 2 / 5 }
