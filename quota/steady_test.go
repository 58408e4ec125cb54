package quota

import (
	"cmp"
	"context"
	"os"
	"testing"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

const (
	steadyRate = 10_000
	asksFor    = 1000 // tokens that a request is charged
	uses       = 600  // tokens that it uses in the end
	lasts      = 2 * time.Second
	warm       = time.Minute
)

// load is a customer that uses a fraction of its rate without a pause.
type load struct {
	customer ident.Customer
	fraction float64
	at       func(f *fleet) ident.Instance
	from     tick.Instant
	sent     int
	admitted int
	refused  []tick.Instant
}

func (l *load) send(f *fleet) {
	for n := 0; n < 20 && f.now >= l.from && float64(l.sent*uses) < l.fraction*steadyRate*(f.now-l.from).Seconds(); n++ {
		l.sent++
		l.sendOne(f)
	}
}

func (l *load) sendOne(f *fleet) {
	p := f.procs[l.at(f)]
	for !f.up(p) {
		p = f.procs[f.seats[f.rnd.IntN(len(f.seats))]]
	}
	ch, err := p.svc.Admit(context.Background(), "r", l.customer, asksFor)
	if err != nil {
		l.refused = append(l.refused, f.now)
		return
	}
	l.admitted++
	f.ledger.use(f.now, l.customer, uses)
	f.after(lasts, func() {
		if !p.dead {
			ch.Settle(uses)
		}
	})
}

// outside returns the refusals before from or after to.
func (l *load) outside(from, to tick.Instant) []tick.Instant {
	var all []tick.Instant
	for _, at := range l.refused {
		if at < from || at > to {
			all = append(all, at)
		}
	}
	return all
}

func onOne(f *fleet) ident.Instance { return f.seats[0] }

func hopping(f *fleet) ident.Instance {
	return f.seats[int(f.now/(2*time.Second))%len(f.seats)]
}

func spread(f *fleet) ident.Instance { return f.seats[f.rnd.IntN(len(f.seats))] }

// home returns the home of the customer in the first data centre.
func home(f *fleet, c ident.Customer) ident.Instance {
	return limit.RankHolders(limit.GroupOf(c), f.procs[f.seats[0]].Live("a"))[0]
}

// disturbance is a load and what happens to the fleet under it.
type disturbance struct {
	name     string
	send     func(*fleet) ident.Instance
	disturb  func(*fleet)
	until    time.Duration
	refusals time.Duration // time after the disturbance in which refusals may fall
	fraction float64       // of the rate that is used, 0.9 if zero
}

var undisturbed = []disturbance{
	{"all on one instance", onOne, nil, warm + 60*time.Second, 0, 0},
	{"hopping", hopping, nil, warm + 60*time.Second, 0, 0},
	{"spread", spread, nil, warm + 60*time.Second, 0, 0},
}

var disturbed = []disturbance{
	{"crash of a home, all on another", onOther, crashHome, warm + 60*time.Second, 3 * time.Second, 0},
	{"crash of a home, spread", spread, crashHome, warm + 60*time.Second, 3 * time.Second, 0},
	{"crash of the entry instance, all on it", onOne, func(f *fleet) { f.crash(f.seats[0]) }, warm + 60*time.Second, 3 * time.Second, 0},
	{"pause of a home", onOther, func(f *fleet) { f.procs[home(f, "sur")].paused = f.now + 10*time.Second }, warm + 60*time.Second, 3 * time.Second, 0},
	{"restart of a home without notice", spread, func(f *fleet) { f.start(home(f, "sur")) }, warm + 60*time.Second, 3 * time.Second, 0},
	{"data centre cut off, load on the others", onOne, cutLast, warm + 60*time.Second, 3 * time.Second, 0.6},
	{"data centre cut off, load in it", onLast, cutLast, warm + 60*time.Second, 3 * time.Second, 0.3},
	{"rolling restart", spread, rollingRestart, warm + 400*time.Second, 0, 0},
}

// TestWithinRateIsAdmitted uses 0.9 of a rate whose burst is ten seconds of it.
func TestWithinRateIsAdmitted(t *testing.T) {
	withinRate(t, undisturbed, 10)
	withinRate(t, disturbed, 10)
}

// TestSteadyWithSmallBurst does the same with four seconds, undisturbed.
func TestSteadyWithSmallBurst(t *testing.T) {
	withinRate(t, undisturbed, 4)
}

// TestDisturbedWithSmallBurst does the same with four seconds, disturbed.
func TestDisturbedWithSmallBurst(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	withinRate(t, disturbed, 4)
}

// withinRate runs the disturbances with a burst of so many seconds of the rate.
func withinRate(t *testing.T, tests []disturbance, seconds int64) {
	const at = warm + 20*time.Second // of the disturbance
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(7, 3, 3, steady(seconds))
			l := &load{customer: "sur", fraction: cmp.Or(tt.fraction, 0.9), at: tt.send, from: warm}
			f.traffic = l.send
			f.net.quick = true
			if tt.disturb != nil {
				f.after(at, func() { tt.disturb(f) })
			}
			f.run(tt.until)
			bad := l.outside(at, at+tt.refusals)
			t.Logf("%d admitted, %d refused", l.admitted, len(l.refused))
			if l.admitted == 0 {
				t.Error("nothing admitted")
			}
			if len(bad) > 0 {
				t.Errorf("%d of %d requests refused outside the allowed time, from %v to %v after the disturbance", len(bad), l.sent, bad[0]-at, bad[len(bad)-1]-at)
			}
			if v := f.ledger.violation(); v != "" {
				t.Error(v)
			}
		})
	}
}

func steady(seconds int64) revision {
	terms := limit.Limits{Rate: steadyRate, Burst: seconds * steadyRate}
	return revision{customers: []limit.Customer{{Name: "sur", Limits: terms}}}
}

// onOther sends to an instance that is not home of the customer.
func onOther(f *fleet) ident.Instance {
	for _, s := range f.seats {
		if s != limit.RankHolders(limit.GroupOf("sur"), []ident.Instance{"a-1", "a-2", "a-3"})[0] {
			return s
		}
	}
	return f.seats[0]
}

func onLast(f *fleet) ident.Instance { return f.seats[len(f.seats)-1] }

func cutLast(f *fleet) { f.net.cut[f.centres[len(f.centres)-1]] = true }

func crashHome(f *fleet) { f.crash(home(f, "sur")) }

// crash ends a process, and a fresh one takes the seat some time later.
func (f *fleet) crash(seat ident.Instance) {
	f.procs[seat].dead = true
	f.after(8*time.Second, func() { f.start(seat) })
}

// rollingRestart shuts down and replaces one instance after another.
func rollingRestart(f *fleet) {
	for i, s := range f.seats {
		f.after(time.Duration(i)*40*time.Second, func() {
			_ = f.procs[s].svc.Release(context.Background())
			f.crash(s)
		})
	}
}

// TestFullRestart tells how long a fleet whose processes all start at once
// refuses a customer that uses a tenth of its rate.
func TestFullRestart(t *testing.T) {
	f := newFleet(7, 3, 3, steady(4))
	l := &load{customer: "sur", fraction: 0.1, at: spread, from: 0}
	f.traffic = l.send
	f.net.quick = true
	f.run(60 * time.Second)
	last := l.refused[len(l.refused)-1]
	t.Logf("refusals until %v after the start", last)
	if last > 3*time.Second {
		t.Errorf("refused %v after the start", last)
	}
}
