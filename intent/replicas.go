package intent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// maxKnown is the number of incarnations that are remembered of one instance.
const maxKnown = 256

// ProcessState is the state of one process of an instance, as recorded by a backup.
type ProcessState uint8

// The states of a process.
const (
	Unregistered ProcessState = iota // has not registered here, or must register again
	Current                          // the process that owns the instance's journal
	Superseded                       // a later process of the instance has registered
)

// Replicas holds replicas of the journals of other instances. It rejects changes from processes
// that a later process of the same instance has superseded. It is safe for concurrent use.
type Replicas struct {
	cfg Config

	mu     sync.Mutex // guards owners
	owners map[ident.Instance]*replica
}

// replica is the replica of one instance's journal.
type replica struct {
	mu           sync.Mutex
	current      uint64
	known        map[uint64]bool
	mustRegister bool // current must register again before it may add entries
	complete     bool
	since        tick.Instant // if complete, every call that began at or after it is held
	bytes        int64
	entries      map[ID]*Entry
}

// NewReplicas returns an empty store. The bounds of cfg apply to each instance.
func NewReplicas(cfg Config) *Replicas {
	return &Replicas{cfg: cfg, owners: make(map[ident.Instance]*replica)}
}

func (c *Replicas) replica(owner ident.Instance) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.owners[owner]
	if !ok {
		r = &replica{known: make(map[uint64]bool), entries: make(map[ID]*Entry)}
		c.owners[owner] = r
	}
	return r
}

// Register records that n is running as its instance. A process that registers for the first time
// becomes the current one and supersedes all earlier ones. The result wasCurrent reports whether n
// was the current process before.
func (c *Replicas) Register(n ident.Node) (s ProcessState, wasCurrent bool) {
	r := c.replica(n.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.current == n.Incarnation && r.known[n.Incarnation]:
		r.mustRegister = false
		return Current, true
	case r.known[n.Incarnation]:
		return Superseded, false
	}
	if len(r.known) >= maxKnown {
		r.known = map[uint64]bool{r.current: true}
	}
	r.known[n.Incarnation] = true
	r.current = n.Incarnation
	r.mustRegister = false
	for _, e := range r.entries {
		e.Serial = 0
	}
	return Current, false
}

// State returns the state of n without registering it.
func (c *Replicas) State(n ident.Node) ProcessState {
	r := c.replica(n.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(n)
}

func (r *replica) state(n ident.Node) ProcessState {
	switch {
	case !r.known[n.Incarnation]:
		return Unregistered
	case r.current != n.Incarnation:
		return Superseded
	case r.mustRegister:
		return Unregistered
	default:
		return Current
	}
}

// Apply stores entries of n's journal and reports whether there was room for all of them. Nothing
// is stored unless n is the current process of its instance.
func (c *Replicas) Apply(now tick.Instant, n ident.Node, entries []Entry) (s ProcessState, room bool) {
	r := c.replica(n.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.state(n); s != Current {
		return s, false
	}
	room = true
	for i := range entries {
		room = r.apply(now, c.cfg, entries[i]) && room
	}
	return Current, room
}

func (r *replica) apply(now tick.Instant, cfg Config, e Entry) bool {
	old, ok := r.entries[e.ID]
	if ok && old.Serial >= e.Serial {
		return true
	}
	if e.Dropped {
		r.remove(e.ID)
		return true
	}
	if !ok && (int64(len(r.entries)) >= cfg.MaxEntries || r.bytes+e.size() > cfg.MaxBytes) {
		r.expire(now)
	}
	if !ok && (int64(len(r.entries)) >= cfg.MaxEntries || r.bytes+e.size() > cfg.MaxBytes) {
		return false
	}
	r.remove(e.ID)
	e.InFlight = false
	r.entries[e.ID] = &e
	r.bytes += e.size()
	return true
}

func (r *replica) remove(id ID) {
	if e, ok := r.entries[id]; ok {
		r.bytes -= e.size()
		delete(r.entries, id)
	}
}

func (r *replica) expire(now tick.Instant) {
	for id, e := range r.entries {
		if e.expired(now) {
			r.remove(id)
		}
	}
}

// MarkComplete records that the replica holds every call that n's instance accepted since the given
// instant. It does nothing unless n is the current process of its instance.
func (c *Replicas) MarkComplete(n ident.Node, since tick.Instant) {
	r := c.replica(n.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state(n) != Current {
		return
	}
	r.complete, r.since = true, since
}

// Invalidate records that calls of the instance may have been replicated to other backups only. The
// replica is no longer complete, and the current process must register again. Earlier processes
// stay superseded.
func (c *Replicas) Invalidate(owner ident.Instance) {
	r := c.replica(owner)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustRegister, r.complete = true, false
}

// Owners returns the instances of which anything is recorded, in no particular order.
func (c *Replicas) Owners() []ident.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.owners))
}

// CompleteFor returns for how long the replica has held every call of the instance. It returns false
// if the replica may lack calls.
func (c *Replicas) CompleteFor(now tick.Instant, owner ident.Instance) (time.Duration, bool) {
	r := c.replica(owner)
	r.mu.Lock()
	defer r.mu.Unlock()
	return now - r.since, r.complete
}

// ShardEntries returns copies of the owner's entries in journal shard n that have not expired.
func (c *Replicas) ShardEntries(now tick.Instant, owner ident.Instance, n int) []Entry {
	r := c.replica(owner)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var out []Entry
	for id, e := range r.entries {
		if int(id[0]%Shards) == n {
			out = append(out, *e)
		}
	}
	return out
}

// Expire removes expired entries. The states of the processes are kept.
func (c *Replicas) Expire(now tick.Instant) {
	c.mu.Lock()
	all := make([]*replica, 0, len(c.owners))
	for _, r := range c.owners {
		all = append(all, r)
	}
	c.mu.Unlock()
	for _, r := range all {
		r.mu.Lock()
		r.expire(now)
		r.mu.Unlock()
	}
}
