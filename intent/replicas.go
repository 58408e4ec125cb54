package intent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// maxMet bounds the incarnations that are remembered of one seat.
const maxMet = 256

// ProcessState is what a buddy thinks of a process in a seat.
type ProcessState uint8

// The standings of a process.
const (
	Unregistered ProcessState = iota // not known here
	Current                          // holds the seat
	Superseded                       // a later process holds the seat
)

// Replicas holds the copies of other seats' journals at a buddy and keeps the
// earlier processes of those seats from adding to them.
type Replicas struct {
	cfg Config

	mu    sync.Mutex // guards seats
	seats map[ident.Instance]*held
}

// held is the copy of one seat's journal.
type held struct {
	mu       sync.Mutex
	current  uint64
	met      map[uint64]bool
	lapsed   bool // current must meet this buddy again before it may add copies
	complete bool
	since    tick.Instant // every call from then on is held, if complete
	bytes    int64
	entries  map[ID]*Entry
}

// NewReplicas returns an empty store. The bounds hold for each seat.
func NewReplicas(cfg Config) *Replicas {
	return &Replicas{cfg: cfg, seats: make(map[ident.Instance]*held)}
}

func (c *Replicas) held(seat ident.Instance) *held {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.seats[seat]
	if !ok {
		h = &held{met: make(map[uint64]bool), entries: make(map[ID]*Entry)}
		c.seats[seat] = h
	}
	return h
}

// Register notes that the process n takes its seat. The process that was met last
// for the first time holds the seat; known tells whether it held it before.
func (c *Replicas) Register(n ident.Node) (s ProcessState, known bool) {
	h := c.held(n.Instance)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.current == n.Incarnation && h.met[n.Incarnation]:
		h.lapsed = false
		return Current, true
	case h.met[n.Incarnation]:
		return Superseded, false
	}
	if len(h.met) >= maxMet {
		h.met = map[uint64]bool{h.current: true}
	}
	h.met[n.Incarnation] = true
	h.current = n.Incarnation
	h.lapsed = false
	for _, e := range h.entries {
		e.Serial = 0
	}
	return Current, false
}

// State returns the standing of n without taking note of it.
func (c *Replicas) State(n ident.Node) ProcessState {
	h := c.held(n.Instance)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standing(n)
}

func (h *held) standing(n ident.Node) ProcessState {
	switch {
	case !h.met[n.Incarnation]:
		return Unregistered
	case h.current != n.Incarnation:
		return Superseded
	case h.lapsed:
		return Unregistered
	default:
		return Current
	}
}

// Apply stores the entries of n's journal. It reports whether there was room
// for all of them; nothing is stored unless n holds its seat.
func (c *Replicas) Apply(now tick.Instant, n ident.Node, entries []Entry) (s ProcessState, room bool) {
	h := c.held(n.Instance)
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.standing(n); s != Current {
		return s, false
	}
	room = true
	for i := range entries {
		room = h.apply(now, c.cfg, entries[i]) && room
	}
	return Current, room
}

func (h *held) apply(now tick.Instant, cfg Config, e Entry) bool {
	old, ok := h.entries[e.ID]
	if ok && old.Serial >= e.Serial {
		return true
	}
	if e.Dropped {
		h.remove(e.ID)
		return true
	}
	if !ok && (int64(len(h.entries)) >= cfg.MaxEntries || h.bytes+e.size() > cfg.MaxBytes) {
		h.expire(now)
	}
	if !ok && (int64(len(h.entries)) >= cfg.MaxEntries || h.bytes+e.size() > cfg.MaxBytes) {
		return false
	}
	h.remove(e.ID)
	e.InFlight = false
	h.entries[e.ID] = &e
	h.bytes += e.size()
	return true
}

func (h *held) remove(id ID) {
	if e, ok := h.entries[id]; ok {
		h.bytes -= e.size()
		delete(h.entries, id)
	}
}

func (h *held) expire(now tick.Instant) {
	for id, e := range h.entries {
		if e.over(now) {
			h.remove(id)
		}
	}
}

// MarkComplete notes that the copy holds every call that n's seat took from since
// on. It does nothing unless n holds its seat.
func (c *Replicas) MarkComplete(n ident.Node, since tick.Instant) {
	h := c.held(n.Instance)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.standing(n) != Current {
		return
	}
	h.complete, h.since = true, since
}

// Invalidate notes that the seat's calls may have been copied elsewhere: the copy is
// complete no longer, and the process in the seat must meet this buddy again.
// Earlier processes stay superseded.
func (c *Replicas) Invalidate(seat ident.Instance) {
	h := c.held(seat)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lapsed, h.complete = true, false
}

// Owners returns the seats of which anything is held, in no order.
func (c *Replicas) Owners() []ident.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.seats))
}

// CompleteFor returns for how long the copy holds every call of the seat, and false
// if nothing is known for sure.
func (c *Replicas) CompleteFor(now tick.Instant, seat ident.Instance) (time.Duration, bool) {
	h := c.held(seat)
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.since, h.complete
}

// ShardEntries returns copies of the entries of a seat that lie in journal shard n.
func (c *Replicas) ShardEntries(now tick.Instant, seat ident.Instance, n int) []Entry {
	h := c.held(seat)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var out []Entry
	for id, e := range h.entries {
		if int(id[0]%Shards) == n {
			out = append(out, *e)
		}
	}
	return out
}

// Expire forgets the entries whose age is over. What is known of the processes
// in the seats stays.
func (c *Replicas) Expire(now tick.Instant) {
	c.mu.Lock()
	all := make([]*held, 0, len(c.seats))
	for _, h := range c.seats {
		all = append(all, h)
	}
	c.mu.Unlock()
	for _, h := range all {
		h.mu.Lock()
		h.expire(now)
		h.mu.Unlock()
	}
}
