package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

const (
	// hop is the time of a message within a data centre.
	hop = time.Millisecond
	// stepEvery is the time between two steps of a policy that has received
	// nothing in between.
	stepEvery = 10 * time.Millisecond
	beatEvery = time.Second
	// drainTime is the time after the end of the trace in which requests may
	// complete.
	drainTime = 90 * time.Second
	// lostEvents is the number of cache events of which one is lost on average.
	lostEvents = 50
	// eventLag is the delay of cache events.
	eventLag = 300 * time.Millisecond
)

// Options are the parameters of a run. Zero fields take their defaults.
type Options struct {
	Load        float64 // multiple of the recorded load, 1 by default
	Policy      Policy  // Home by default
	Seed        uint64
	Entries     int           // entry instances, 8 by default
	ReportLag   time.Duration // age of the load reports, 250 ms by default
	ReportEvery time.Duration // 250 ms by default
	NoCancels   bool          // callers never cancel
	NoEvents    bool          // nothing fails
	Return      bool          // callers retry once after the Retry-After of a refusal
	Pool        pool.Config   // parameters of the decisions
}

func (o Options) withDefaults() Options {
	if o.Load == 0 {
		o.Load = 1
	}
	if o.Policy == "" {
		o.Policy = Home
	}
	if o.Entries == 0 {
		o.Entries = 8
	}
	if o.ReportLag == 0 {
		o.ReportLag = 250 * time.Millisecond
	}
	if o.ReportEvery == 0 {
		o.ReportEvery = 250 * time.Millisecond
	}
	return o
}

// world is one run: the clock, the fake servers, the policy and the requests.
type world struct {
	opt     Options
	trace   *Trace
	now     tick.Instant
	agenda  agenda
	serial  int
	rnd     *rand.Rand
	engines []*engine
	byName  map[ident.Server]*engine
	policy  policy
	calls   []*call
	alive   []map[*call]bool // by entry instance
	asked   bool             // the policy has received something since its last step
	resends int              // requests of the policy for all placements of an instance
}

// action is a function that is called at an instant.
type action struct {
	at  tick.Instant
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	n := len(*a) - 1
	x := (*a)[n]
	(*a)[n] = action{}
	*a = (*a)[:n]
	return x
}

func newWorld(t *Trace, opt Options) *world {
	w := &world{opt: opt, trace: t, rnd: rand.New(rand.NewPCG(opt.Seed, 7))}
	w.engines, w.byName = engines(w, t)
	w.policy = newPolicy(w)
	for range opt.Entries {
		w.alive = append(w.alive, make(map[*call]bool))
	}
	return w
}

// Run replays the trace and returns the measurements.
func Run(t *Trace, opt Options) Result {
	w := newWorld(t, opt.withDefaults())
	return w.run()
}

func (w *world) run() Result {
	t := w.trace
	w.load()
	if !w.opt.NoEvents {
		for _, e := range t.Events {
			w.at(e.At, func() { w.happen(e) })
		}
	}
	w.every(stepEvery, w.step)
	w.every(w.opt.ReportEvery, w.report)
	w.every(beatEvery, w.beat)
	end := t.Length + drainTime
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		a := heap.Pop(&w.agenda).(action)
		w.now = a.at
		a.do()
		if w.asked {
			w.asked = false
			w.step()
		}
	}
	return w.measure()
}

func (w *world) at(at tick.Instant, do func()) {
	w.serial++
	heap.Push(&w.agenda, action{at: at, seq: w.serial, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// load schedules the arrivals of the requests at the load.
func (w *world) load() {
	t := w.trace
	for round := 0; ; round++ {
		for i := range t.Requests {
			r := &t.Requests[i]
			at := time.Duration(float64(r.At+time.Duration(round)*t.Length) / w.opt.Load)
			if at >= t.Length {
				return
			}
			c := w.newCall(r, i, round, at)
			w.calls = append(w.calls, c)
			w.at(at, c.arrive)
		}
	}
}

func (w *world) happen(e Event) {
	if e.Kind == EventLoss {
		w.policy.lose()
		return
	}
	s, ok := w.byName[e.Server]
	if !ok {
		return
	}
	switch e.Kind {
	case EventDepart:
		w.policy.depart(e.Server, true)
		if e.For > 0 {
			w.after(e.For, func() { w.policy.depart(e.Server, false) })
		}
	case EventSilent:
		for _, j := range append(s.queue, s.running) {
			if j != nil {
				j.silent = true
			}
		}
	case EventStall:
		s.stalled = w.now + e.For
	}
}

func (w *world) step() {
	for _, v := range w.policy.step(w.now) {
		c := v.call
		epoch := c.epoch
		w.after(w.policy.distance(), func() {
			if c.epoch == epoch {
				c.decided(&v)
			}
		})
	}
}

func (w *world) report() {
	for _, e := range w.engines {
		r := e.report()
		w.after(w.opt.ReportLag, func() {
			r.Age = w.opt.ReportLag
			w.policy.report(r, w.now)
		})
	}
}

func (w *world) publish(e place.CacheEvent) {
	if w.rnd.IntN(lostEvents) == 0 {
		return
	}
	w.after(eventLag, func() { w.policy.events(e) })
}

// beat sends the checksum of the reported placements of each entry instance, and
// all present placements if the scheduler requests them.
func (w *world) beat() {
	hop := w.policy.distance()
	for entry, set := range w.alive {
		var sum pool.Checksum
		for c := range set {
			if c.placement.ID != "" && c.stage > place.StagePlaced {
				sum.Add(c.placement.ID, c.stage)
			}
		}
		w.after(hop, func() {
			if w.policy.beat(entry, sum, w.now) {
				w.resends++
				w.after(hop, func() { w.resend(entry) })
			}
		})
	}
}

func (w *world) resend(entry int) {
	var items []pool.Progress
	for _, c := range w.calls {
		if w.alive[entry][c] && c.placement.ID != "" {
			items = append(items, c.progress())
		}
	}
	w.after(w.policy.distance(), func() { w.policy.heartbeat(entry, items, w.now) })
}
