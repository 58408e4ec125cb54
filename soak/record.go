package main

import (
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// outcome is the result of a call as its client observed it.
type outcome struct {
	call     fake.Call
	customer string
	daemon   int // index
	started  int // number of starts of the daemon up to the call
	sent     time.Time
	left     time.Time // when the client closed its connection, zero if it did not
	ended    time.Time
	first    time.Time     // when the first bytes of the body came, zero for none
	last     time.Time     // when the last bytes of the body came, zero for none
	slow     time.Duration // time over which the body was sent, 0 for at once
	status   int           // 0 if no response header was received
	sealed   bool          // the response has the seal header of a server
	echo     string        // attempt ID in the response header
	body     string
	complete bool   // the response body ended regularly
	leaver   string // ID of the server that reports in the response that it is draining, empty for none
}

// served reports whether the client received a complete 200 response.
func (o *outcome) served() bool { return o.status == 200 && o.complete }

// span is an interval in which a component was disturbed.
type span struct {
	from, to time.Time
	planned  bool // a graceful stop
}

// overlaps reports whether the span, extended by after, overlaps [from, to].
func (s span) overlaps(from, to time.Time, after time.Duration) bool {
	return s.from.Before(to) && from.Before(s.to.Add(after))
}

// fatalPart is a part of prompts that crashed servers in a span.
type fatalPart struct {
	id string
	span
}

// event is a change made by the operators.
type event struct {
	at   time.Time
	what string // the withdrawn key or the ID of the draining server
}

// record holds the observations of a run.
type record struct {
	mu        sync.Mutex // guards the fields below during the run
	calls     []*outcome
	daemons   map[int][]span    // disturbances, by index of the daemon
	paused    map[int][]span    // those in which its process was paused
	halted    map[int][]span    // those in which its process was stopped, killed or paused
	store     []span            // disturbances of the store
	servers   map[string][]span // disturbances, by ID of the backend server
	frozen    map[string][]span // silences in which it read nothing, by ID of the backend server
	crowds    []span            // times in which long streams took most places of the model servers
	timeouts  []timeout         // timeouts of the routes that were published, by time
	withdrawn []event
	departed  []event
	returned  []event
	exits     []string // unexpected exits of daemons
	customers map[string]fake.Customer

	runs        map[string][]fake.Run     // by server
	arrivals    map[string][]fake.Arrival // by server
	rested      map[string][]fake.Backoff // by server
	called      map[string][]time.Time    // calls of any kind, by server
	limits      map[string][]fake.LimitSpan
	crashes     []fake.Crash               // of all servers, by time
	fatal       []fatalPart                // parts that crashed servers
	misuses     []fake.Misuse              // of KV handles and reservations
	pauses      map[string][]fake.Pause    // by server
	faults      map[string][]misbehaviour  // by server
	centres     map[string]string          // data centres of the servers
	cold        map[string][]fake.ColdSpan // by server
	changes     []change                   // published configurations, by time
	evacuations []evacuation
	moves       []span    // times in which regions were restricted, data centres evacuated or servers cold
	calm        time.Time // end of the last disturbance
	end         time.Time
}

func newRecord() *record {
	return &record{
		daemons: make(map[int][]span), servers: make(map[string][]span), halted: make(map[int][]span), frozen: make(map[string][]span),
		customers: make(map[string]fake.Customer),
		runs:      make(map[string][]fake.Run), arrivals: make(map[string][]fake.Arrival),
		rested: make(map[string][]fake.Backoff), called: make(map[string][]time.Time),
		limits: make(map[string][]fake.LimitSpan), pauses: make(map[string][]fake.Pause),
		faults: make(map[string][]misbehaviour), paused: make(map[int][]span), centres: make(map[string]string), cold: make(map[string][]fake.ColdSpan),
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

func (r *record) halt(daemon int, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.halted[daemon] = append(r.halted[daemon], s)
}

func (r *record) pause(daemon int, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused[daemon] = append(r.paused[daemon], s)
}

// changed notes a configuration that was published.
func (r *record) changed(a allowed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{time.Now(), a})
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

// sound reports whether a daemon was not disturbed from contactTime before from until to.
// Graceful stops count as disturbances only if planned is set.
func (r *record) sound(daemon int, from, to time.Time, planned bool) bool {
	for _, s := range r.daemons[daemon] {
		if (planned || !s.planned) && s.overlaps(from, to, contactTime) {
			return false
		}
	}
	return true
}

// undisturbed is sound from an instant until now, while the run goes on.
func (r *record) undisturbed(daemon int, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sound(daemon, from, time.Now(), false)
}

// untouched reports whether no span, extended by after, overlaps [from, to].
func untouched(spans []span, from, to time.Time, after time.Duration) bool {
	for _, s := range spans {
		if s.overlaps(from, to, after) {
			return false
		}
	}
	return true
}

// call returns the call with the given ID, or nil if no client sent it.
func (r *record) call(id string) *outcome {
	i := slices.IndexFunc(r.calls, func(o *outcome) bool { return o.call.ID == id })
	if i < 0 {
		return nil
	}
	return r.calls[i]
}

// process identifies one process of a daemon.
type process struct{ daemon, started int }

func (o *outcome) process() process { return process{o.daemon, o.started} }
