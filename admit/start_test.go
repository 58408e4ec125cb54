package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// The load of these tests: for four seconds in ten, more requests come than
// twelve places hold, so that they queue for longer than they may, at one
// instance or at several that tell each other. A request that has a place takes
// some hundred milliseconds more to its first event than its prompt alone would.
const (
	startTell   = 40 * time.Millisecond
	startPlaces = 12
	startFor    = 60 * time.Second
	startMean   = 3.2 // requests per second
	startBurst  = 3.0 // times that in a burst
	startRun    = 2800 * time.Millisecond
	startMore   = 300 * time.Millisecond
	startPrompt = 3_200
)

// startPolicy is what desks know.
type startPolicy struct {
	name   string
	desks  int
	learn  bool // they are told of first events
	queues bool // they hear what waits at the others
}

// startWorld is instances before one pair of servers.
type startWorld struct {
	policy  startPolicy
	desks   []*Scheduler
	clock   *tick.Fake
	rnd     *rand.Rand
	waiting []startWaiter
	queue   simQueue
	running int

	asked, good, served int
}

// startWaiter is a request that waits at a desk.
type startWaiter struct {
	d  *Scheduler
	wt *waiter
}

// Servers implements Source.
func (w *startWorld) Servers(string) ([]*route.Server, *route.Engine) {
	return []*route.Server{
		server("p", "c", "r", route.StagePrefill), server("d", "c", "r", route.StageDecode),
	}, &route.Engine{Slots: startPlaces, KVTokens: 1 << 20}
}

func newStartWorld(seed uint64, p startPolicy) *startWorld {
	w := &startWorld{clock: tick.NewFake(0), rnd: rand.New(rand.NewPCG(seed, 6)), policy: p}
	for range p.desks {
		w.desks = append(w.desks, NewScheduler(Config{Centre: "c", Region: "r"}, w, w.clock))
	}
	return w
}

// run starts a request that got a place, or asks again if the server has none.
func (w *startWorld) run(d *Scheduler, p *Placement, now time.Duration) {
	if w.running >= startPlaces {
		d.book.ServerFull(p.Decode, now)
		d.book.Release(p)
		w.wait(d, p.want, now)
		return
	}
	w.running++
	first := now + reading(&p.want) + startMore + time.Duration(w.rnd.IntN(200)-100)*time.Millisecond
	at := func(t time.Duration, do func()) { w.queue = append(w.queue, simEvent{t, do}) }
	at(first, func() {
		w.served++
		if first <= p.want.Due {
			w.good++
		}
		if w.policy.learn {
			d.FirstEvent(p)
		}
	})
	at(first+startRun, func() {
		w.running--
		d.Release(p)
	})
}

// wait puts a request into a desk's queue. The caller holds d.mu.
func (w *startWorld) wait(d *Scheduler, want Request, now time.Duration) {
	wt := &waiter{want: want, got: make(chan *Placement, 1)}
	if d.push(wt, now) == nil {
		w.waiting = append(w.waiting, startWaiter{d, wt})
	}
}

func (w *startWorld) come(now time.Duration) {
	want := Request{Service: "m", Prompt: startPrompt, Output: 100, Due: now + simObjective, Deadline: now + simPatience}
	w.asked++
	d := w.desks[w.rnd.IntN(len(w.desks))]
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ahead(&want, now) {
		if p, ok := d.try(&want, now); ok {
			w.run(d, p, now)
			return
		}
	}
	w.wait(d, want, now)
}

// tell has each desk hear the others.
func (w *startWorld) tell() {
	for i, d := range w.desks {
		sums := make(map[uint64]Load)
		for j, o := range w.desks {
			if i == j {
				continue
			}
			for h, l := range o.OwnLoad() {
				sum := sums[h]
				sum.Running += l.Running
				if w.policy.queues {
					sum.Queued += l.Queued
				}
				sums[h] = sum
			}
		}
		d.UpdatePeerLoad(changes(d.book, sums))
	}
}

func (w *startWorld) play() {
	due := time.Duration(0)
	for now := 5 * time.Millisecond; now < startFor; now += 5 * time.Millisecond {
		w.clock.Advance(now - w.clock.Now())
		for now >= due {
			rate := startMean
			if now%(10*time.Second) > 6*time.Second {
				rate *= startBurst
			}
			due += time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
			w.come(now)
		}
		list := w.queue
		w.queue = nil
		for _, e := range list {
			if now >= e.at {
				e.do()
				continue
			}
			w.queue = append(w.queue, e)
		}
		if now%startTell == 0 {
			w.tell()
		}
		for _, d := range w.desks {
			d.Dispatch()
		}
		w.collect(now)
	}
}

// collect starts the requests that waited and got a place.
func (w *startWorld) collect(now time.Duration) {
	list := w.waiting
	w.waiting = nil
	for _, o := range list {
		select {
		case p := <-o.wt.got:
			if p != nil {
				o.d.mu.Lock()
				w.run(o.d, p, now)
				o.d.mu.Unlock()
			}
		default:
			w.waiting = append(w.waiting, o)
		}
	}
}

// TestQueueServesWhoCanBeOnTime plays the load with desks that learn how long a
// start takes and hear what waits elsewhere, and without each of these.
func TestQueueServesWhoCanBeOnTime(t *testing.T) {
	const seeds = 8
	policies := []startPolicy{
		{name: "one", desks: 1},
		{name: "one, learning", desks: 1, learn: true},
		{name: "eight", desks: 8},
		{name: "eight, learning", desks: 8, learn: true},
		{name: "eight, learning and hearing", desks: 8, learn: true, queues: true},
	}
	good := make(map[string]float64)
	served := make(map[string]float64)
	for _, p := range policies {
		for seed := range uint64(seeds) {
			w := newStartWorld(seed, p)
			w.play()
			good[p.name] += float64(w.good) / float64(w.asked) / seeds
			served[p.name] += float64(w.served) / float64(w.asked) / seeds
		}
		t.Logf("%-28s on time %.3f, served %.3f", p.name, good[p.name], served[p.name])
	}
	for _, tt := range []struct{ than, better string }{
		{"one", "one, learning"},
		{"eight", "eight, learning"},
		{"eight, learning", "eight, learning and hearing"},
	} {
		if good[tt.better] <= good[tt.than] {
			t.Errorf("%s: %.3f are on time, not above the %.3f of %s", tt.better, good[tt.better], good[tt.than], tt.than)
		}
		if served[tt.better] < served[tt.than]-0.02 {
			t.Errorf("%s: %.3f are served, %s serves %.3f", tt.better, served[tt.better], tt.than, served[tt.than])
		}
	}
}
