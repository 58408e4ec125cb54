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

// ConfigSource is the part of the table in force that limits need.
type ConfigSource interface {
	// Revision returns the revision in force, zero before the first.
	Revision() uint64
	// Customers returns the terms of all customers and of the links.
	Customers() []limit.Customer
	// Share returns the share of a seat in parts per million, zero for a
	// name that is no seat.
	Share(ident.Instance) int64
}

// Membership is what this instance sees of the fleet.
type Membership interface {
	// Centres returns the data centres, the own one first and then by
	// distance.
	Centres() []ident.Centre
	// Live returns the seats of a data centre that are seen alive and are not
	// departing.
	Live(ident.Centre) []ident.Instance
	// Draining returns the seats of a data centre that are seen alive and are
	// departing. They lend what they hold until they have handed it over.
	Draining(ident.Centre) []ident.Instance
	// Current reports whether the process has not been superseded by another
	// one in its seat.
	Current(ident.Node) bool
	// AppliedEverywhere reports whether this revision or a later one is in force at
	// every seat: all of them said so, or one instance has had it in force for
	// as long as a table takes to reach all. A fresh process whose View never
	// says so leases its share only after Config.RaiseAfter.
	AppliedEverywhere(revision uint64) bool
}

// Dialer returns clients of the LimitService of other instances.
type Dialer interface {
	Limit(ident.Instance) (peerpbconnect.LimitServiceClient, error)
}

const (
	localTimeout  = 500 * time.Millisecond // entry instance to home, which may borrow
	borrowTimeout = 400 * time.Millisecond // all loans for one charge
	loanTimeout   = 250 * time.Millisecond // home to a home of another data centre
	leaseTimeout  = 300 * time.Millisecond
	settleTimeout = 500 * time.Millisecond
	silentFor     = time.Second
	shortWait     = 250 * time.Millisecond // longest wait for tokens to accrue
	standIn       = 3 * time.Second        // how long a stand-in asks for leases after a charge
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
	// MaxLeaseTTL is the longest life of a lease, the same in the whole fleet. A
	// fresh process waits for it before it leases its share. Zero means
	// limit.DefaultMaxLife.
	MaxLeaseTTL time.Duration
	// RaiseDelay is the time within which a table is in force everywhere.
	// Zero means limit.DefaultRaiseAfter.
	RaiseDelay time.Duration
}

// Service admits requests and serves the LimitService of its instance.
type Service struct {
	node    ident.Node
	centre  ident.Centre
	table   ConfigSource
	view    Membership
	dialer  Dialer
	time    tick.Clock
	log     zerolog.Logger
	maxLife time.Duration

	seat     *limit.Lessor
	holder   *limit.Holder
	peers    peers
	lenders  lenders
	settler  settler
	counts   counts
	draining atomic.Bool

	terms atomic.Pointer[terms]
	stood [limit.GroupCount]atomic.Int64 // instant until when this instance stands in

	mu   sync.Mutex                     // guards the fields below and the replacement of terms
	home [limit.GroupCount]tick.Instant // when it was last home or stood in, zero for never
}

// terms are the terms of all customers at one revision.
type terms struct {
	revision uint64
	of       map[ident.Customer]limit.Limits
}

// New returns a Service whose seat leases nothing until the leases of a
// predecessor are over.
func New(cfg Config) *Service {
	if cfg.MaxLeaseTTL <= 0 {
		cfg.MaxLeaseTTL = limit.DefaultMaxLeaseTTL
	}
	s := &Service{
		node:    cfg.Node,
		centre:  cfg.Centre,
		table:   cfg.Source,
		view:    cfg.Membership,
		dialer:  cfg.Dialer,
		time:    cfg.Clock,
		log:     cfg.Log,
		maxLife: cfg.MaxLeaseTTL,
		seat:    limit.NewLessor(limit.LessorConfig{Start: cfg.Clock.Now(), MaxLeaseTTL: cfg.MaxLeaseTTL, RaiseDelay: cfg.RaiseDelay}),
		holder:  limit.NewHolder(limit.HolderConfig{RaiseDelay: cfg.RaiseDelay}),
		peers:   peers{until: make(map[ident.Instance]tick.Instant)},
		lenders: lenders{seen: make(map[lender]estimate)},
		settler: settler{queue: make(chan settlement, settleQueue)},
	}
	s.terms.Store(&terms{})
	return s
}

// refresh takes a new revision of the table and returns the terms in force.
func (s *Service) refresh() *terms {
	t := s.terms.Load()
	if s.table.Revision() <= t.revision {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.table.Revision(); r > s.terms.Load().revision {
		s.take(r)
	}
	return s.terms.Load()
}

// take puts the terms of the table in force. The caller holds s.mu.
func (s *Service) take(revision uint64) {
	now := s.time.Now()
	customers := s.table.Customers()
	t := &terms{revision: revision, of: make(map[ident.Customer]limit.Limits, len(customers))}
	for _, c := range customers {
		t.of[c.Name] = c.Limits
	}
	s.holder.SetLimits(now, customers)
	s.seat.SetShare(now, s.table.Share(s.node.Instance))
	s.terms.Store(t)
}

// confirm tells the seat once the revision is in force everywhere.
func (s *Service) confirm() {
	t := s.refresh()
	if t.revision != 0 && s.view.AppliedEverywhere(t.revision) {
		s.seat.ConfirmShare(s.time.Now())
	}
}

// homes returns the instances of the own data centre that may hold a group, in
// the order in which they are to be tried.
func (s *Service) homes(group uint32) []ident.Instance {
	return s.peers.heard(s.time.Now(), limit.RankHolders(group, s.view.Live(s.centre)))
}

func (s *Service) self() *peerpb.Node {
	return node(s.node)
}

func node(n ident.Node) *peerpb.Node {
	return &peerpb.Node{Instance: string(n.Instance), Incarnation: n.Incarnation}
}

func fromNode(n *peerpb.Node) ident.Node {
	return ident.Node{Instance: ident.Instance(n.GetInstance()), Incarnation: n.GetIncarnation()}
}
