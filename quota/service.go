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

// Table is the part of the table in force that limits need.
type Table interface {
	// Revision returns the revision in force, zero before the first.
	Revision() uint64
	// Customers returns the terms of all customers and of the links.
	Customers() []limit.Customer
	// Share returns the share of a seat in parts per million, zero for a
	// name that is no seat.
	Share(ident.Instance) int64
}

// View is what this instance sees of the fleet.
type View interface {
	// Centres returns the data centres, the own one first and then by
	// distance.
	Centres() []ident.Centre
	// Live returns the seats of a data centre that are seen alive and are not
	// departing.
	Live(ident.Centre) []ident.Instance
	// Leaving returns the seats of a data centre that are seen alive and are
	// departing. They lend what they hold until they have handed it over.
	Leaving(ident.Centre) []ident.Instance
	// Current reports whether the process has not been superseded by another
	// one in its seat.
	Current(ident.Node) bool
	// Everywhere reports whether this revision or a later one is in force at
	// every seat: all of them said so, or one instance has had it in force for
	// as long as a table takes to reach all. A fresh process whose View never
	// says so leases its share only after Config.RaiseAfter.
	Everywhere(revision uint64) bool
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
	Node   ident.Node
	Centre ident.Centre
	Table  Table
	View   View
	Dialer Dialer
	Time   tick.Clock
	Log    zerolog.Logger
	// MaxLife is the longest life of a lease, the same in the whole fleet. A
	// fresh process waits for it before it leases its share. Zero means
	// limit.DefaultMaxLife.
	MaxLife time.Duration
	// RaiseAfter is the time within which a table is in force everywhere.
	// Zero means limit.DefaultRaiseAfter.
	RaiseAfter time.Duration
}

// Service admits requests and serves the LimitService of its instance.
type Service struct {
	node    ident.Node
	centre  ident.Centre
	table   Table
	view    View
	dialer  Dialer
	time    tick.Clock
	log     zerolog.Logger
	maxLife time.Duration

	seat     *limit.Seat
	holder   *limit.Holder
	peers    peers
	lenders  lenders
	settler  settler
	counts   counts
	draining atomic.Bool

	terms atomic.Pointer[terms]
	stood [limit.Groups]atomic.Int64 // instant until when this instance stands in

	mu   sync.Mutex                 // guards the fields below and the replacement of terms
	home [limit.Groups]tick.Instant // when it was last home or stood in, zero for never
}

// terms are the terms of all customers at one revision.
type terms struct {
	revision uint64
	of       map[ident.Customer]limit.Terms
}

// New returns a Service whose seat leases nothing until the leases of a
// predecessor are over.
func New(cfg Config) *Service {
	if cfg.MaxLife <= 0 {
		cfg.MaxLife = limit.DefaultMaxLife
	}
	s := &Service{
		node:    cfg.Node,
		centre:  cfg.Centre,
		table:   cfg.Table,
		view:    cfg.View,
		dialer:  cfg.Dialer,
		time:    cfg.Time,
		log:     cfg.Log,
		maxLife: cfg.MaxLife,
		seat:    limit.NewSeat(limit.SeatConfig{Start: cfg.Time.Now(), MaxLife: cfg.MaxLife, RaiseAfter: cfg.RaiseAfter}),
		holder:  limit.NewHolder(limit.HolderConfig{RaiseAfter: cfg.RaiseAfter}),
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
	t := &terms{revision: revision, of: make(map[ident.Customer]limit.Terms, len(customers))}
	for _, c := range customers {
		t.of[c.Name] = c.Terms
	}
	s.holder.SetTerms(now, customers)
	s.seat.SetShare(now, s.table.Share(s.node.Instance))
	s.terms.Store(t)
}

// confirm tells the seat once the revision is in force everywhere.
func (s *Service) confirm() {
	t := s.refresh()
	if t.revision != 0 && s.view.Everywhere(t.revision) {
		s.seat.Confirm(s.time.Now())
	}
}

// homes returns the instances of the own data centre that may hold a group, in
// the order in which they are to be tried.
func (s *Service) homes(group uint32) []ident.Instance {
	return s.peers.heard(s.time.Now(), limit.Rank(group, s.view.Live(s.centre)))
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
