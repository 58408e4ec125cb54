package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/tick"
)

// ConfigSource provides the part of the configuration in force that sets limits.
type ConfigSource interface {
	// Revision returns the revision in force, zero before the first.
	Revision() uint64
	// Customers returns the limits of all customers and of the links between regions.
	Customers() []limit.Customer
	// Share returns the share of an instance in parts per million, zero if the configuration has no
	// such instance.
	Share(ident.Instance) int64
}

// Membership is this instance's view of the fleet.
type Membership interface {
	// Centres returns the data centres: the instance's own first, the others by distance.
	Centres() []ident.Centre
	// Live returns the instances of a data centre that this instance considers alive and not draining.
	Live(ident.Centre) []ident.Instance
	// Draining returns the instances of a data centre that this instance considers alive and draining.
	// They lend the tokens of their leases until they have handed the leases over.
	Draining(ident.Centre) []ident.Instance
	// Current reports whether the process has not been superseded by another process of its
	// instance.
	Current(ident.Node) bool
	// AppliedEverywhere reports whether this revision or a later one is in force at all instances.
	// This is so if all of them reported it, or if one instance has had it in force for as long as
	// a configuration takes to reach all. If it never returns true, a new process leases its
	// share only after Config.RaiseDelay.
	AppliedEverywhere(revision uint64) bool
}

// Dialer returns clients of the LimitService of other instances.
type Dialer interface {
	Limit(ident.Instance) (peerpbconnect.LimitServiceClient, error)
}

const (
	localTimeout   = 500 * time.Millisecond // limit of a call from the entry instance to the home, which may borrow
	borrowTimeout  = 400 * time.Millisecond // limit of all loans for one charge together
	loanTimeout    = 250 * time.Millisecond // limit of a call from a home to a home in another data centre
	leaseTimeout   = 300 * time.Millisecond
	settleTimeout  = 500 * time.Millisecond
	unreachableTTL = time.Second            // how long a peer counts as unreachable after a failed call
	maxAdmitWait   = 250 * time.Millisecond // longest wait for tokens to accrue
	actingHomeTTL  = 3 * time.Second        // how long an instance that is not the home renews leases after a charge
)

// Config configures a Service.
type Config struct {
	Node       ident.Node
	Centre     ident.Centre
	Source     ConfigSource
	Membership Membership
	Dialer     Dialer
	Clock      tick.Clock
	Log        zerolog.Logger
	// MaxLeaseTTL is the longest time to live of a lease. It must be the same in the whole fleet. A
	// new process waits for it before it leases its share. Zero means limit.DefaultMaxLeaseTTL.
	MaxLeaseTTL time.Duration
	// RaiseDelay is the time within which a configuration is in force at all instances. Zero means
	// limit.DefaultRaiseDelay.
	RaiseDelay time.Duration
}

// Service admits requests and serves the LimitService of its instance.
type Service struct {
	node        ident.Node
	centre      ident.Centre
	source      ConfigSource
	membership  Membership
	dialer      Dialer
	clock       tick.Clock
	log         zerolog.Logger
	maxLeaseTTL time.Duration

	lessor      *limit.Lessor
	holder      *limit.Holder
	peers       peerHealth
	lenders     lenderCache
	settlements settlementQueue
	counts      counts
	draining    atomic.Bool

	limits          atomic.Pointer[limitSet]
	actingHomeUntil [limit.GroupCount]atomic.Int64 // nanoseconds of the clock until which this instance acts as the home of a group

	mu       sync.Mutex                     // guards lastHome and the replacement of limits
	lastHome [limit.GroupCount]tick.Instant // when this instance last was or acted as the home of a group, zero for never
}

// limitSet holds the limits of all customers at one revision.
type limitSet struct {
	revision   uint64
	byCustomer map[ident.Customer]limit.Limits
}

// New returns a Service that leases no share until the leases of a previous process of the instance
// have expired.
func New(cfg Config) *Service {
	if cfg.MaxLeaseTTL <= 0 {
		cfg.MaxLeaseTTL = limit.DefaultMaxLeaseTTL
	}
	s := &Service{
		node:        cfg.Node,
		centre:      cfg.Centre,
		source:      cfg.Source,
		membership:  cfg.Membership,
		dialer:      cfg.Dialer,
		clock:       cfg.Clock,
		log:         cfg.Log,
		maxLeaseTTL: cfg.MaxLeaseTTL,
		lessor:      limit.NewLessor(limit.LessorConfig{Start: cfg.Clock.Now(), MaxLeaseTTL: cfg.MaxLeaseTTL, RaiseDelay: cfg.RaiseDelay}),
		holder:      limit.NewHolder(limit.HolderConfig{RaiseDelay: cfg.RaiseDelay}),
		peers:       peerHealth{until: make(map[ident.Instance]tick.Instant)},
		lenders:     lenderCache{states: make(map[lenderKey]lenderState)},
		settlements: settlementQueue{queue: make(chan settlement, settleQueueSize)},
	}
	s.limits.Store(&limitSet{})
	return s
}

// refresh applies a new revision of the configuration, if there is one, and returns the limits in
// force.
func (s *Service) refresh() *limitSet {
	t := s.limits.Load()
	if s.source.Revision() <= t.revision {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.source.Revision(); r > s.limits.Load().revision {
		s.applyConfig(r)
	}
	return s.limits.Load()
}

// applyConfig applies the limits of the configuration. The caller holds s.mu.
func (s *Service) applyConfig(revision uint64) {
	now := s.clock.Now()
	customers := s.source.Customers()
	t := &limitSet{revision: revision, byCustomer: make(map[ident.Customer]limit.Limits, len(customers))}
	for _, c := range customers {
		t.byCustomer[c.Name] = c.Limits
	}
	s.holder.SetLimits(now, customers)
	s.lessor.SetShare(now, s.source.Share(s.node.Instance))
	s.limits.Store(t)
}

// confirmShare notifies the lessor once the revision is in force at all instances.
func (s *Service) confirmShare() {
	t := s.refresh()
	if t.revision != 0 && s.membership.AppliedEverywhere(t.revision) {
		s.lessor.ConfirmShare(s.clock.Now())
	}
}

// homes returns the instances of the local data centre that may hold the leases of a group, in the
// order in which they are tried.
func (s *Service) homes(group uint32) []ident.Instance {
	return s.peers.unreachableLast(s.clock.Now(), limit.RankHolders(group, s.membership.Live(s.centre)))
}

func (s *Service) self() *peerpb.Node {
	return toNode(s.node)
}

func toNode(n ident.Node) *peerpb.Node {
	return &peerpb.Node{Instance: string(n.Instance), Incarnation: n.Incarnation}
}

func fromNode(n *peerpb.Node) ident.Node {
	return ident.Node{Instance: ident.Instance(n.GetInstance()), Incarnation: n.GetIncarnation()}
}
