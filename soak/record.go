package main

import (
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// outcome is what a client saw of a call.
type outcome struct {
	call     fake.Call
	customer string
	daemon   int // index
	started  int // which start of the daemon
	sent     time.Time
	left     time.Time // the client closed its connection, zero if it did not
	ended    time.Time
	status   int  // 0 if no answer began
	sealed   bool // the answer bears a server's seal
	body     string
	complete bool   // the answer ended as HTTP has it
	leaver   string // the server that says in the answer that it leaves, empty for none
}

// served reports whether the call had its whole answer.
func (o *outcome) served() bool { return o.status == 200 && o.complete }

// span is a time in which something was not sound.
type span struct {
	from, to time.Time
	planned  bool // a stop that the platform announces
}

// overlaps reports whether the span, drawn out at its end, meets [from, to].
func (s span) overlaps(from, to time.Time, after time.Duration) bool {
	return s.from.Before(to) && from.Before(s.to.Add(after))
}

// event is something that the operators did.
type event struct {
	at   time.Time
	what string // key withdrawn or server that departs
}

// record is all that was seen of a run, from outside.
type record struct {
	mu        sync.Mutex // guards the fields below while the run lasts
	calls     []*outcome
	daemons   map[int][]span    // trouble of a daemon
	store     []span            // trouble of the store for all
	servers   map[string][]span // trouble of a backend server
	withdrawn []event
	departed  []event
	returned  []event
	exits     []string // daemons that ended as they should not
	customers map[string]fake.Customer

	runs     map[string][]fake.Run     // by server
	arrivals map[string][]fake.Arrival // by server
	rested   map[string][]fake.Backoff // by server
	called   map[string][]time.Time    // calls of any kind, by server
	limits   map[string][]fake.LimitSpan
	calm     time.Time // all trouble is over
	end      time.Time
}

func newRecord() *record {
	return &record{
		daemons: make(map[int][]span), servers: make(map[string][]span),
		customers: make(map[string]fake.Customer),
		runs:      make(map[string][]fake.Run), arrivals: make(map[string][]fake.Arrival),
		rested: make(map[string][]fake.Backoff), called: make(map[string][]time.Time),
		limits: make(map[string][]fake.LimitSpan),
	}
}

func (r *record) add(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, o)
}

func (r *record) trouble(daemon int, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[daemon] = append(r.daemons[daemon], s)
}

func (r *record) storeTrouble(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store = append(r.store, s)
}

func (r *record) serverTrouble(id string, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[id] = append(r.servers[id], s)
}

func (r *record) note(list *[]event, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, event{time.Now(), what})
}

func (r *record) exited(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exits = append(r.exits, how)
}

// sound reports whether a daemon had no trouble from a while before until to.
// A planned stop is trouble only if planned is set.
func (r *record) sound(daemon int, from, to time.Time, planned bool) bool {
	for _, s := range r.daemons[daemon] {
		if (planned || !s.planned) && s.overlaps(from, to, contactTime) {
			return false
		}
	}
	return true
}

// untouched reports whether no span, drawn out at its end, meets [from, to].
func untouched(spans []span, from, to time.Time, after time.Duration) bool {
	for _, s := range spans {
		if s.overlaps(from, to, after) {
			return false
		}
	}
	return true
}

// call returns the call of an id, nil if no client sent it.
func (r *record) call(id string) *outcome {
	i := slices.IndexFunc(r.calls, func(o *outcome) bool { return o.call.ID == id })
	if i < 0 {
		return nil
	}
	return r.calls[i]
}

// process is one start of a daemon.
type process struct{ daemon, started int }

func (o *outcome) process() process { return process{o.daemon, o.started} }
