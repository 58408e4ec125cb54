package route

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stage specifies which stages of a model request a backend server runs.
type Stage uint8

// The stages.
const (
	StageBoth    Stage = iota // prefill and decode, or a server that runs no model
	StagePrefill              // prefill only
	StageDecode               // decode, and prefill at a reduced rate
)

// Server is a backend server.
type Server struct {
	ID            string
	Service       string
	Addr          string // host:port
	Centre        string
	Region        string
	Stage         Stage
	Models        []string
	Slots         int
	StartedMillis int64 // start time in Unix milliseconds, 0 if the server does not report it
	// ColdFor is how long the server was to stay cold when its entry was written, 0 if it was warm.
	ColdFor time.Duration

	key  string // result of Key, set by NewFleet
	hash uint64 // hash of the key
}

// Key returns a key that identifies one run of a server at one address. A restarted server has
// another key.
func (s *Server) Key() string {
	if s.key != "" {
		return s.key
	}
	return s.ID + "@" + s.Addr + "@" + strconv.FormatInt(s.StartedMillis, 10)
}

// Hash returns the hash of the server's key.
func (s *Server) Hash() uint64 {
	if s.key != "" {
		return s.hash
	}
	return Hash(s.Key())
}

// Hash returns the hash of a server's key. Instances use the hash to identify servers in the
// messages that they exchange.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Fleet is the set of backend servers at one revision of the store. It is immutable.
type Fleet struct {
	revision  int64
	byID      map[string]*Server
	byService map[string][]*Server
}

// NewFleet returns a fleet of the given servers. The servers must not be draining and must not be
// modified afterwards. NewFleet computes their keys once, because each placement uses them.
func NewFleet(revision int64, servers []*Server) *Fleet {
	f := &Fleet{
		revision:  revision,
		byID:      make(map[string]*Server, len(servers)),
		byService: make(map[string][]*Server),
	}
	for _, s := range servers {
		if s.key == "" { // a server of an earlier fleet has a key and may be read by other goroutines
			s.hash = Hash(s.Key())
			s.key = s.Key()
		}
		f.byID[s.ID] = s
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
	for _, list := range f.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return f
}

// Revision returns the revision of the store from which the fleet was read.
func (f *Fleet) Revision() int64 { return f.revision }

// Len returns the number of servers.
func (f *Fleet) Len() int { return len(f.byID) }

// ServersOf returns the servers of a service, ordered by ID. The caller must not modify the
// slice.
func (f *Fleet) ServersOf(service string) []*Server { return f.byService[service] }

// Server returns the server with the given ID.
func (f *Fleet) Server(id string) (*Server, bool) {
	s, ok := f.byID[id]
	return s, ok
}

// All returns the servers in no particular order.
func (f *Fleet) All() []*Server {
	list := make([]*Server, 0, len(f.byID))
	for _, s := range f.byID {
		list = append(list, s)
	}
	return list
}

// Live holds the current table and fleet of this instance. It is safe for concurrent use.
type Live struct {
	table       atomic.Pointer[Table]
	fleet       atomic.Pointer[Fleet]
	evacuations atomic.Pointer[Evacuations]

	mu    sync.Mutex // serializes the replacement of table and fleet
	ready chan struct{}
}

// NewLive returns a Live without a table and with an empty fleet.
func NewLive() *Live {
	l := &Live{ready: make(chan struct{})}
	l.fleet.Store(NewFleet(0, nil))
	l.evacuations.Store(NewEvacuations(nil))
	return l
}

// Ready returns a channel that is closed once there are a table and at least one server.
func (l *Live) Ready() <-chan struct{} { return l.ready }

// signalReady closes l.ready if there are a table and at least one server. The caller holds l.mu.
func (l *Live) signalReady() {
	if l.table.Load() == nil || l.fleet.Load().Len() == 0 {
		return
	}
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// Table returns the current table, or nil if none has been set.
func (l *Live) Table() *Table { return l.table.Load() }

// Fleet returns the current fleet. It is empty until SetFleet is called.
func (l *Live) Fleet() *Fleet { return l.fleet.Load() }

// SetTable replaces the table and returns true, or returns false if the current one is the same or
// newer.
func (l *Live) SetTable(t *Table) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.table.Load(); old != nil && !t.Stamp().After(old.Stamp()) {
		return false
	}
	l.table.Store(t)
	l.signalReady()
	return true
}

// SetFleet replaces the fleet and returns true, or returns false if the current one has a later
// revision.
func (l *Live) SetFleet(f *Fleet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.Load().revision > f.revision {
		return false
	}
	l.fleet.Store(f)
	l.signalReady()
	return true
}

// Evacuations returns the data centres that are being evacuated. There are none until SetEvacuations
// is called.
func (l *Live) Evacuations() *Evacuations { return l.evacuations.Load() }

// SetEvacuations replaces the evacuations.
func (l *Live) SetEvacuations(e *Evacuations) { l.evacuations.Store(e) }
