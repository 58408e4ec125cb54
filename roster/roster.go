package roster

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// State is the state of a node, in the order in which it can change while the
// node lives.
type State uint8

// The states of a node. Lost is said by others.
const (
	Starting State = iota + 1
	Ready
	Draining
	Lost
)

// Entry is what one instance tells another about a node.
type Entry struct {
	Node     ident.Node
	Address  string // host:port for peers
	Centre   ident.Centre
	State    State
	Age      time.Duration // since the node itself was heard
	Revision uint64        // of the table in force, as far as known
}

const (
	// ageSlack is the difference of ages below which two reports are equal.
	ageSlack = time.Second
	// lossFailures is the number of failed calls after which a node is lost.
	lossFailures = 2
	// failureGap is the least time between two failures that count.
	failureGap = 300 * time.Millisecond
	// forgetAge is the time after which a lost node is forgotten.
	forgetAge = 10 * time.Minute
	// maxOld bounds the superseded incarnations kept for one seat.
	maxOld = 8
	// maxSeats bounds the seats kept.
	maxSeats = 4096
)

// ErrSuperseded says that another process has taken the seat of the node.
var ErrSuperseded = errors.New("superseded by another process in the seat")

// Config configures a Roster.
type Config struct {
	Self    ident.Node
	Address string
	Centre  ident.Centre
	Random  *rand.Rand
}

// Roster is one instance's view of all others.
type Roster struct {
	cfg Config

	mu    sync.Mutex
	state State
	// revision is the one that the own node has in force.
	revision uint64
	seats    map[ident.Instance]*seat
	order    []*seat          // sorted by name
	ring     []ident.Instance // instances of the own centre still to be asked in this turn
	rounds   int
	servers  departures
	hasList  bool // the list of the platform has been taken
	alarm    bool // a node has been lost since the last call of Alarmed
}

// seat is what is known of a seat and of the process in it.
type seat struct {
	entry  Entry // Age is unused; heard holds the instant
	heard  tick.Instant
	met    bool // the process has been heard, directly or through others
	first  tick.Instant
	old    []uint64 // superseded incarnations, oldest first
	listed bool     // the platform lists the instance

	doubted  bool // others call it lost, but it was heard later than by them
	failures int
	failed   tick.Instant
	told     int // times left to pass on the last change
}

// New returns a roster that knows only its own node.
func New(cfg Config) *Roster {
	return &Roster{
		cfg:     cfg,
		state:   Starting,
		seats:   make(map[ident.Instance]*seat),
		servers: newDepartures(),
	}
}

// SetState sets the state that the own node reports.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

// Self returns the entry of the own node.
func (r *Roster) Self() Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self()
}

func (r *Roster) self() Entry {
	return Entry{Node: r.cfg.Self, Address: r.cfg.Address, Centre: r.cfg.Centre, State: r.state, Revision: r.revision}
}

// Live returns the ready instances of a data centre, sorted by name.
func (r *Roster) Live(c ident.Centre) []ident.Instance {
	return r.in(c, func(s State) bool { return s == Ready })
}

// Up returns the starting and ready instances of a data centre, sorted by
// name.
func (r *Roster) Up(c ident.Centre) []ident.Instance {
	return r.in(c, func(s State) bool { return s == Ready || s == Starting })
}

// Leaving returns the draining instances of a data centre, sorted by name.
func (r *Roster) Leaving(c ident.Centre) []ident.Instance {
	return r.in(c, func(s State) bool { return s == Draining })
}

func (r *Roster) in(c ident.Centre, wanted func(State) bool) []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []ident.Instance
	if c == r.cfg.Centre && wanted(r.state) {
		names = append(names, r.cfg.Self.Instance)
	}
	for _, s := range r.order {
		if s.met && s.entry.Centre == c && s.failures < lossFailures && wanted(s.entry.State) {
			names = append(names, s.name())
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Node returns the current process in a seat.
func (r *Roster) Node(name ident.Instance) (ident.Node, bool) {
	e, ok := r.Entry(name)
	return e.Node, ok && e.Node.Incarnation != 0
}

// Entry returns what is known of the current process in a seat.
func (r *Roster) Entry(name ident.Instance) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.cfg.Self.Instance {
		return r.self(), true
	}
	if s, ok := r.seats[name]; ok {
		return s.entry, true
	}
	return Entry{}, false
}

// Address returns the address at which an instance answers its peers.
func (r *Roster) Address(name ident.Instance) (string, bool) {
	e, ok := r.Entry(name)
	return e.Address, ok && e.Address != ""
}

// Superseded reports whether another process is known to have taken the seat
// of n. Whether the own process is superseded only others can tell.
func (r *Roster) Superseded(n ident.Node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.seats[n.Instance]
	return ok && s.superseded(n.Incarnation)
}

func (s *seat) name() ident.Instance { return s.entry.Node.Instance }

func (s *seat) superseded(incarnation uint64) bool {
	for _, o := range s.old {
		if o == incarnation {
			return true
		}
	}
	return false
}

// Entries returns all that is known, sorted by name, with the own node.
func (r *Roster) Entries(now tick.Instant) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []Entry{r.self()}
	for _, s := range r.order {
		if s.met {
			all = append(all, s.report(now))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.Instance < all[j].Node.Instance })
	return all
}

func (s *seat) report(now tick.Instant) Entry {
	e := s.entry
	e.Age = now - s.heard
	return e
}

// open returns the seat of the given name and makes it if there is room.
func (r *Roster) open(name ident.Instance) *seat {
	if s, ok := r.seats[name]; ok {
		return s
	}
	if name == "" || len(r.seats) >= maxSeats {
		return nil
	}
	s := &seat{entry: Entry{Node: ident.Node{Instance: name}}}
	r.seats[name] = s
	i := sort.Search(len(r.order), func(i int) bool { return r.order[i].name() >= name })
	r.order = append(r.order, nil)
	copy(r.order[i+1:], r.order[i:])
	r.order[i] = s
	return s
}

// Alarmed reports whether a node has been lost since the last call, so that
// others can be told at once.
func (r *Roster) Alarmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	alarmed := r.alarm
	r.alarm = false
	return alarmed
}

// announceTimes is the number of messages in which one instance passes on a
// change.
const announceTimes = 6

// announce has the last change of a seat passed on.
func (r *Roster) announce(s *seat) { s.told = announceTimes }
