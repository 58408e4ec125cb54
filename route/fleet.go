package route

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Stage is the part of a model request that a backend server does.
type Stage uint8

// The stages.
const (
	StageBoth    Stage = iota // prefills and decodes, or a plain server
	StagePrefill              // prefills only
	StageDecode               // decodes, and prefills at reduced speed
)

// Server is a backend server that takes requests.
type Server struct {
	ID            string
	Service       string
	Addr          string // host:port
	Centre        string
	Region        string
	Stage         Stage
	Models        []string
	Slots         int
	StartedMillis int64 // Unix milliseconds of its start, 0 if it does not tell

	key  string // as Key returns it, set by NewFleet
	hash uint64 // of the key
}

// Key names one start of a server at one address.
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

// Hash returns the hash of a server's key, by which instances name it to each
// other.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Fleet is the set of backend servers at one revision of the store.
type Fleet struct {
	revision int64
	byID     map[string]*Server
	of       map[string][]*Server
}

// NewFleet returns the fleet of the given servers, which must not be draining,
// and which nobody changes from then on. Each placement asks for their keys, so
// that these are made here.
func NewFleet(revision int64, servers []*Server) *Fleet {
	f := &Fleet{
		revision: revision,
		byID:     make(map[string]*Server, len(servers)),
		of:       make(map[string][]*Server),
	}
	for _, s := range servers {
		if s.key == "" { // it may be in an earlier fleet too, which is being read
			s.hash = Hash(s.Key())
			s.key = s.Key()
		}
		f.byID[s.ID] = s
		f.of[s.Service] = append(f.of[s.Service], s)
	}
	for _, list := range f.of {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return f
}

// Revision returns the store's revision up to which the fleet is known.
func (f *Fleet) Revision() int64 { return f.revision }

// Len returns the number of servers.
func (f *Fleet) Len() int { return len(f.byID) }

// ServersOf returns the servers of a service, ordered by ID. The caller must not
// change the slice.
func (f *Fleet) ServersOf(service string) []*Server { return f.of[service] }

// Server returns a server by ID.
func (f *Fleet) Server(id string) (*Server, bool) {
	s, ok := f.byID[id]
	return s, ok
}

// All returns the servers, in no order.
func (f *Fleet) All() []*Server {
	list := make([]*Server, 0, len(f.byID))
	for _, s := range f.byID {
		list = append(list, s)
	}
	return list
}

// Live is the table and the fleet in force at this instance.
type Live struct {
	table atomic.Pointer[Table]
	fleet atomic.Pointer[Fleet]

	mu    sync.Mutex // held by those that replace them
	known chan struct{}
}

// NewLive returns a Live that knows nothing.
func NewLive() *Live {
	l := &Live{known: make(chan struct{})}
	l.fleet.Store(NewFleet(0, nil))
	return l
}

// Ready is closed when a table and a server are in force for the first time.
func (l *Live) Ready() <-chan struct{} { return l.known }

// tell closes known if it is time. The caller holds l.mu.
func (l *Live) tell() {
	if l.table.Load() == nil || l.fleet.Load().Len() == 0 {
		return
	}
	select {
	case <-l.known:
	default:
		close(l.known)
	}
}

// Table returns the table in force, nil before the first one.
func (l *Live) Table() *Table { return l.table.Load() }

// Fleet returns the fleet in force, which is empty at first.
func (l *Live) Fleet() *Fleet { return l.fleet.Load() }

// SetTable puts a table in force, unless one that is as new is there.
func (l *Live) SetTable(t *Table) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.table.Load(); old != nil && old.revision >= t.revision {
		return false
	}
	l.table.Store(t)
	l.tell()
	return true
}

// SetFleet puts a fleet in force, unless a newer one is there.
func (l *Live) SetFleet(f *Fleet) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.Load().revision > f.revision {
		return false
	}
	l.fleet.Store(f)
	l.tell()
	return true
}
