package permit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// simStep is the step of the simulated clock.
	simStep = 10 * time.Millisecond
	// simReport is the period at which the instances report limits to each other.
	simReport = 200 * time.Millisecond
	// simReporters is the number of instances whose reports arrive in a period.
	simReporters = 4
	// simDelay is the longest time from a permit to the arrival of its request.
	simDelay = 400 * time.Millisecond
	// simNamed is when the server first names its limit, and simSettled when it must be kept.
	simNamed   = 2 * time.Second
	simSettled = simNamed + 4*time.Second
	simEnd     = 40 * time.Second
	// simWindow is the window in which arrivals are counted.
	simWindow = 4 * time.Second
)

var errDown = errors.New("the instance is down")

// simInstance is one instance of the simulation.
type simInstance struct {
	w      *simulation
	index  int
	limits *Limits
	gate   *Gate
	issuer *Issuer
	down   bool
	home   int // index of the instance that it takes for the home
}

// Claim implements Claimer.
func (i *simInstance) Claim(_ context.Context, c Claim, now tick.Instant) (Answer, error) {
	i.w.claims++
	if i.w.decide != nil {
		return i.w.decide(i, c, now)
	}
	h := i.w.instances[i.home]
	if h.down || h.home != h.index {
		return Answer{}, errDown
	}
	return h.issuer.Decide(c, 1, now), nil
}

func (i *simInstance) start() {
	i.limits = NewLimits()
	i.gate = NewGate(i.limits, func() tick.Instant { return i.w.now })
	i.gate.SetClaimer(i)
	i.issuer = NewIssuer(fmt.Sprint(i.index), i.limits)
	i.down = false
}

// arrival is a request on its way to the server.
type arrival struct {
	at, sent tick.Instant
	from     *simInstance
	gate     *Gate // of the process that sent it
}

// simulation is a fleet of instances before one server.
type simulation struct {
	rnd       *rand.Rand
	now       tick.Instant
	server    *route.Server
	instances []*simInstance
	rate      float64 // limit that the server names, 0 for none
	pending   []arrival
	arrivals  []tick.Instant
	claims    int
	// decide replaces the home if it is not nil.
	decide func(i *simInstance, c Claim, now tick.Instant) (Answer, error)
}

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rnd: rand.New(rand.NewPCG(seed, 3)), server: &route.Server{ID: "s", Centre: "a"}}
	for index := range n {
		i := &simInstance{w: w, index: index}
		i.start()
		w.instances = append(w.instances, i)
	}
	return w
}

// run plays a schedule of demand, in requests per second of each instance, and changes.
func (w *simulation) run(demand float64, change func(w *simulation, now tick.Instant)) {
	for ; w.now < simEnd; w.now += simStep {
		change(w, w.now)
		for _, i := range w.instances {
			if !i.down && w.rnd.Float64() < demand*simStep.Seconds() {
				w.send(i)
			}
		}
		w.deliver()
		if w.now%simReport == 0 {
			w.report()
		}
	}
}

// send sends a request of an instance if there is a permit.
func (w *simulation) send(i *simInstance) {
	p, err := i.gate.Acquire(context.Background(), w.server, Caller{Customer: "c"})
	if err != nil {
		return
	}
	written := w.now + time.Duration(w.rnd.Int64N(int64(simDelay)))
	if p.Limited && written >= p.expires {
		return
	}
	w.pending = append(w.pending, arrival{at: written, sent: w.now, from: i, gate: i.gate})
}

// deliver hands the requests that have arrived to the server, whose responses name the limit.
func (w *simulation) deliver() {
	kept := w.pending[:0]
	for _, a := range w.pending {
		if a.at > w.now {
			kept = append(kept, a)
			continue
		}
		w.arrivals = append(w.arrivals, w.now)
		if a.from.gate == a.gate && !a.from.down {
			a.gate.Record(w.server, w.rate, w.rate > 0, w.now-a.sent)
		}
	}
	w.pending = kept
}

// report passes the limits of some instances on to all others. The other reports are lost.
func (w *simulation) report() {
	for range simReporters {
		i := w.instances[w.rnd.IntN(len(w.instances))]
		if i.down {
			continue
		}
		for _, r := range i.limits.Reports() {
			for _, o := range w.instances {
				if o != i && !o.down {
					o.limits.RecordPeer(r)
				}
			}
		}
	}
}

// most returns the largest number of arrivals in a window from an instant on.
func (w *simulation) most(from, until tick.Instant) int {
	most, first := 0, 0
	for n, at := range w.arrivals {
		if at >= until {
			break
		}
		for w.arrivals[first] < from || at-w.arrivals[first] >= simWindow {
			if first == n {
				break
			}
			first++
		}
		if w.arrivals[first] >= from {
			most = max(most, n-first+1)
		}
	}
	return most
}

// between returns the number of arrivals in a time.
func (w *simulation) between(from, until tick.Instant) int {
	n := 0
	for _, at := range w.arrivals {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

// moveHome makes the instances take another one for the home, each after its own delay of up to
// spread from an instant.
func moveHome(w *simulation, from tick.Instant, now tick.Instant, to int, spread time.Duration) {
	for n, i := range w.instances {
		delay := spread * time.Duration(n) / time.Duration(len(w.instances))
		if now >= from+delay && now < from+delay+simStep {
			i.home = to
		}
	}
}

// TestSumOfAllInstances guards against instances that together exceed the limit of a server, or
// leave it unused, at the sizes of today, of the large site and of the plan.
func TestSumOfAllInstances(t *testing.T) {
	const failAt = 12 * time.Second
	disturbances := []struct {
		name string
		used float64 // share of the limit that is used at least, over the whole time
		play func(w *simulation, now tick.Instant)
	}{
		{"calm", 0.9, func(*simulation, tick.Instant) {}},
		{"home crashes and starts again", 0.7, func(w *simulation, now tick.Instant) {
			if now == failAt {
				w.instances[0].down = true
			}
			moveHome(w, failAt+time.Second, now, 1, 1500*time.Millisecond)
			if now == failAt+4*time.Second {
				w.instances[0].start()
				w.instances[0].home = 1
			}
		}},
		{"two homes for a time", 0.9, func(w *simulation, now tick.Instant) {
			if now >= failAt && now < failAt+1500*time.Millisecond {
				for n, i := range w.instances {
					i.home = n % 2
				}
			}
			if now == failAt+1500*time.Millisecond {
				for _, i := range w.instances {
					i.home = 1
				}
			}
		}},
		{"home moves again and again", 0.6, func(w *simulation, now tick.Instant) {
			for k := range 5 {
				moveHome(w, failAt+tick.Instant(k)*4*time.Second, now, (k+1)%3, 500*time.Millisecond)
			}
		}},
		{"instances restart in turn", 0.7, func(w *simulation, now tick.Instant) {
			if now%(500*time.Millisecond) == 0 && now > failAt && now < failAt+4*time.Second {
				n := 2 + int(now/(500*time.Millisecond))%(len(w.instances)-2)
				w.instances[n].start()
			}
		}},
	}
	for _, size := range []int{9, 95, 360} {
		for _, limit := range []float64{0.25, 2.5, 40, 400} {
			for _, d := range disturbances {
				for _, seed := range []uint64{1, 77} {
					t.Run(fmt.Sprintf("%d instances, limit %g, %s, seed %d", size, limit, d.name, seed), func(t *testing.T) {
						w := newSimulation(seed, size)
						w.run(max(4*limit, 8)/float64(size), func(w *simulation, now tick.Instant) {
							if now == simNamed {
								w.rate = limit
							}
							d.play(w, now)
						})
						bound := 1.5*limit*simWindow.Seconds() + 5
						if got := w.most(simSettled, simEnd); float64(got) > bound {
							t.Errorf("%d requests in a window, %.0f are allowed", got, bound)
						}
						got, full := float64(w.between(simSettled, simEnd)), limit*(simEnd-simSettled).Seconds()
						if got < d.used*full-1 || got > 1.1*full+5 {
							t.Errorf("%.0f requests under a limit that allows %.0f, want at least %.2f of it", got, full, d.used)
						}
					})
				}
			}
		}
	}
}

// TestLiftedLimitIsFound guards against a server that stays limited because it is never tried.
func TestLiftedLimitIsFound(t *testing.T) {
	is := is.New(t)
	const lifted = 15 * time.Second
	w := newSimulation(1, 9)
	w.run(4, func(w *simulation, now tick.Instant) {
		switch now {
		case simNamed:
			w.rate = 0.5
		case lifted:
			w.rate = 0
		}
	})
	is.True(w.between(simSettled, lifted) <= 8)
	demand := 9 * 4.0
	is.True(float64(w.between(lifted+10*time.Second, simEnd)) > 0.9*demand*(simEnd-lifted-10*time.Second).Seconds())
}

// TestRaisedAndLoweredLimit checks that a changed limit is in force at all instances.
func TestRaisedAndLoweredLimit(t *testing.T) {
	is := is.New(t)
	const raised, lowered = 12 * time.Second, 25 * time.Second
	w := newSimulation(1, 95)
	w.run(2, func(w *simulation, now tick.Instant) {
		switch now {
		case simNamed:
			w.rate = 2
		case raised:
			w.rate = 20
		case lowered:
			w.rate = 1
		}
	})
	is.True(w.between(raised+4*time.Second, lowered) > int(0.85*20*9)) // the raised limit is used
	is.True(w.most(lowered+4*time.Second, simEnd) <= 11)               // the lowered one is kept
}

// TestAlternatives prints what other ways to keep a limit do to the sum and to its use. Demand comes
// in bursts of four seconds in ten, unevenly over the instances.
func TestAlternatives(t *testing.T) {
	const limit = 2.5
	share := func(f float64) func(*simInstance, Claim, tick.Instant) (Answer, error) {
		return func(i *simInstance, c Claim, now tick.Instant) (Answer, error) {
			return i.issuer.Decide(c, f, now), nil
		}
	}
	for _, size := range []int{9, 95, 360} {
		n := float64(size)
		subset := func(i *simInstance, c Claim, now tick.Instant) (Answer, error) {
			if i.index >= 3 {
				return Answer{Wait: maxWait}, nil
			}
			return i.issuer.Decide(c, 1.0/3, now), nil
		}
		for _, a := range []struct {
			name   string
			decide func(*simInstance, Claim, tick.Instant) (Answer, error)
		}{{"each instance alone", share(1)}, {"equal shares", share(1 / n)}, {"subset of three", subset}, {"home", nil}} {
			w := newSimulation(1, size)
			w.decide = a.decide
			w.run(0, func(w *simulation, now tick.Instant) {
				if now == simNamed {
					w.rate = limit
				}
				if now%(10*time.Second) >= 4*time.Second {
					return
				}
				for k, i := range w.instances {
					if w.rnd.Float64() < 60/n*float64(k+1)/n*2*simStep.Seconds() {
						w.send(i)
					}
				}
			})
			most := w.most(simSettled, simEnd)
			t.Logf("%3d instances, %-19s: %3d requests in the worst window, 20 are allowed; %3d in all; %d claims", size, a.name, most,
				w.between(simSettled, simEnd), w.claims)
			if a.decide == nil && most > 20 {
				t.Errorf("the home issues %d", most)
			}
		}
	}
}
