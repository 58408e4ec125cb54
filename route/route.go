// Package route holds what operators publish for a deployment: routes,
// services, customers, limits, and the backend servers that stand behind the
// services.
//
// # Usage
//
//	live := route.NewLive()
//	live.SetTable(table) // false if a newer one is in force
//	r, ok := live.Table().Match("ask.example", "/notes/7")
//	c, ok := live.Table().Customer(route.HashKey(key))
//	for _, s := range live.Fleet().Of(r.Pick(draw)) { ... }
//
// # Invariants
//
// A Table and a Fleet never change once they are made, so that one request can
// be decided on one version from beginning to end. Live never steps back to an
// older revision.
package route

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Mutating requests run at most once. The zero value, so that a kind that
	// is not known is never repeated.
	Mutating Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events. They run at most once unless the
	// route is resumable.
	Stream
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route tells how the requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Timeout       time.Duration // longest time that a caller is kept waiting
	LatencyTarget time.Duration // time to the answer, or to the first event
	GapTarget     time.Duration // longest pause between events that is on time
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // backend servers on which one request may run
	Public        bool          // needs no key
	Model         bool          // requests name a model and their tokens
	Resumable     bool          // streams may go on at another server
	Targets       []Target
}

// Retryable tells whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service that takes a request, given a draw from [0, 1).
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

// Engine describes the model servers of a service. Zero fields are not known.
type Engine struct {
	Slots          int           // requests in one batch
	KVTokens       int           // tokens that the memory of a server holds
	HandleTTL      time.Duration // life of the KV cache of a prefill that nobody takes
	ReservationTTL time.Duration // longest life of a reservation
}

// Service is a set of backend servers that are alike.
type Service struct {
	Name     string
	Health   string // path of the health check
	MaxConns int    // connections of all callers together that a server takes
	Engine   *Engine
}

// Key is the hash of a customer's API key. Keys themselves are not kept.
type Key [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Customer is a holder of keys.
type Customer struct {
	Name          string
	Keys          []Key
	Priority      int // goes before the route's, if HasPriority
	HasPriority   bool
	Rate          float64 // tokens per second over all instances, 0 for no limit
	Burst         float64 // tokens
	DefaultTokens int     // charge of a request that tells no tokens
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the published configuration.
type Table struct {
	version  int64
	revision int64
	routes   map[string][]*Route // by host, the longest prefix first
	services map[string]*Service
	keys     map[Key]*Customer
	keyed    bool
	limits   Limits
	raw      []byte
}

// Spec is what a Table is made of.
type Spec struct {
	Version      int64 // of the operator's configuration
	Revision     int64 // of the platform's store
	Routes       []*Route
	Services     []*Service
	Customers    []*Customer
	KeysRequired bool // requests need a key unless their route is open
	Limits       Limits
	Raw          []byte // the published form, for peers that cannot read it
}

// NewTable returns the table of s.
func NewTable(s Spec) *Table {
	t := &Table{
		version:  s.Version,
		revision: s.Revision,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(s.Services)),
		keys:     make(map[Key]*Customer),
		keyed:    s.KeysRequired,
		limits:   s.Limits,
		raw:      s.Raw,
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

// Version returns the operator's version.
func (t *Table) Version() int64 { return t.version }

// Revision returns the store's revision at which the table was published.
func (t *Table) Revision() int64 { return t.revision }

// Raw returns the published form.
func (t *Table) Raw() []byte { return t.raw }

// KeysRequired tells whether requests need a key unless their route is open.
func (t *Table) KeysRequired() bool { return t.keyed }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a request. The host may carry a port.
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

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the holder of a key.
func (t *Table) Customer(k Key) (*Customer, bool) {
	c, ok := t.keys[k]
	return c, ok
}
