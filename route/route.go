// Package route holds the configuration that operators publish for a deployment (routes,
// services, customers, limits) and the backend servers of the services.
//
// # Usage
//
//	live := route.NewLive()
//	live.SetTable(table) // false if the current table has the same or a later revision
//	r, ok := live.Table().Match("ask.example", "/notes/7")
//	c, ok := live.Table().Customer(route.HashKey(key))
//	for _, s := range live.Fleet().ServersOf(r.Pick(draw)) { ... }
//
// # Invariants
//
// A Table and a Fleet are immutable, so a request can use one version of both from beginning to
// end. A Live never replaces a table or fleet by one of an older revision.
//
// # Concurrency
//
// A Live is safe for concurrent use. The other types must not be modified once they are in use.
package route

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"wasabidock.dev/dock/tick"
)

// Kind specifies whether the requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Mutating requests run at most once. Mutating is the zero value, so requests of an unknown
	// kind are never retried.
	Mutating Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most once unless the route
	// is resumable.
	Stream
)

// Target is a service that receives a share of a route's requests, in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route specifies how the requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Timeout       time.Duration // longest time that a caller waits
	LatencyTarget time.Duration // time to the answer, or to the first event of a stream
	GapTarget     time.Duration // longest acceptable gap between events, 0 for no bound
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of backend servers on which one request may run
	Public        bool          // requests need no API key
	Model         bool          // requests name a model and report their tokens
	Resumable     bool          // streams may be resumed at another server
	Targets       []Target
	Regions       []string // regions whose servers may serve the requests, empty for all
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, given a random number in [0, 1), or "" if the route has
// no targets.
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * float64(sum)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model servers of a service. A zero field means that the value is not
// known.
type Engine struct {
	Slots          int           // requests in one batch
	KVTokens       int           // tokens that fit into the memory of a server
	HandleTTL      time.Duration // lifetime of the KV cache of a prefill that no decode server fetches
	ReservationTTL time.Duration // longest lifetime of a reservation
}

// Service is a set of equivalent backend servers.
type Service struct {
	Name     string
	Health   string // path of the health check
	MaxConns int    // connections that a server accepts from all its clients together
	Engine   *Engine
	Warmup   Warmup
}

// Warmup describes how the servers of a service warm up. The zero value is that of servers which are
// never cold.
type Warmup struct {
	Time time.Duration // from the start of a server until it is warm
	Rate float64       // requests per second that a cold server bears, from all instances together
}

// Enabled reports whether the servers of a service need to warm up.
func (w Warmup) Enabled() bool { return w.Time > 0 && w.Rate > 0 }

// Key is the hash of a customer's API key. The keys themselves are not stored.
type Key [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Customer is a holder of API keys.
type Customer struct {
	Name          string
	Keys          []Key
	Priority      int // overrides the route's priority if HasPriority is set
	HasPriority   bool
	Rate          float64  // tokens per second over all instances, 0 for no limit
	Burst         float64  // tokens
	DefaultTokens int      // charge for a request that reports no tokens
	Regions       []string // regions whose servers may serve the customer's requests, empty for all
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the published configuration. It is immutable.
type Table struct {
	version      int64
	revision     int64
	routes       map[string][]*Route // by host, longest prefix first
	services     map[string]*Service
	keys         map[Key]*Customer
	keysRequired bool
	limits       Limits
	raw          []byte
	knownSince   tick.Instant
}

// Spec holds the contents of a Table.
type Spec struct {
	Version      int64 // version of the operator's configuration
	Revision     int64 // position in the platform's store
	Routes       []*Route
	Services     []*Service
	Customers    []*Customer
	KeysRequired bool // requests need an API key unless their route is public
	Limits       Limits
	Raw          []byte       // published encoding of the table, sent to peers that cannot reach the store
	KnownSince   tick.Instant // when an instance first read it from the store
}

// NewTable returns a table with the contents of s, which must not be modified afterwards.
func NewTable(s Spec) *Table {
	t := &Table{
		version:      s.Version,
		revision:     s.Revision,
		routes:       make(map[string][]*Route),
		services:     make(map[string]*Service, len(s.Services)),
		keys:         make(map[Key]*Customer),
		keysRequired: s.KeysRequired,
		limits:       s.Limits,
		raw:          s.Raw,
		knownSince:   s.KnownSince,
	}
	for _, r := range s.Routes {
		h := strings.ToLower(r.Host)
		t.routes[h] = append(t.routes[h], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, v := range s.Services {
		t.services[v.Name] = v
	}
	for _, c := range s.Customers {
		for _, k := range c.Keys {
			t.keys[k] = c
		}
	}
	return t
}

// Version returns the version of the operator's configuration.
func (t *Table) Version() int64 { return t.version }

// Revision returns the position at which the store published the table.
func (t *Table) Revision() int64 { return t.revision }

// Stamp returns what decides which of two tables is newer. The stamp of a nil table is zero.
func (t *Table) Stamp() Stamp {
	if t == nil {
		return Stamp{}
	}
	return Stamp{Version: t.version, Position: t.revision}
}

// Raw returns the published encoding of the table. It is sent to peers that cannot reach the store.
func (t *Table) Raw() []byte { return t.raw }

// KnownSince returns when an instance first read the table from the store, as far as this process knows.
func (t *Table) KnownSince() tick.Instant { return t.knownSince }

// KeysRequired reports whether requests need an API key unless their route is public.
func (t *Table) KeysRequired() bool { return t.keysRequired }

// Limits returns the bounds on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a request: the one with the longest matching prefix. The host may
// include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.routes[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = t.routes[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the holder of an API key, given the key's hash.
func (t *Table) Customer(k Key) (*Customer, bool) {
	c, ok := t.keys[k]
	return c, ok
}
