package once_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/tick"
)

// walk runs a random schedule of faults and calls and records the outcomes for
// the callers.
type walk struct {
	*world
	t       *rapid.T
	n       int
	arrived map[ident.Request]tick.Instant
	result  map[ident.Request]ident.Outcome
	later   sync.WaitGroup
	mu      sync.Mutex
	moved   tick.Instant // time of the last change of the table
}

var (
	walkKeys    = []string{"k0", "k1", "k2"}
	walkSeats   = []ident.Instance{"a1", "a2", "a3", "b1", "b2"}
	walkMoments = []moment{atForward, atReply, atCopy, afterCopy, atGate, atWrite, afterWrite, atFinishCopy}
)

func (k *walk) seat(label string) ident.Instance {
	return rapid.SampledFrom(walkSeats).Draw(k.t, label)
}

// send makes a call and records its outcome.
func (k *walk) send(entry ident.Instance, key string) {
	k.mu.Lock()
	k.n++
	r := ident.Request(fmt.Sprintf("r%d", k.n))
	k.arrived[r] = k.clock.Now()
	k.mu.Unlock()
	_, err := k.call(entry, r, key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.result[r] = fail.Outcome(err)
}

// step is one random change of the world.
func (k *walk) step(name string) {
	switch name {
	case "restart":
		s := k.seat("seat")
		k.kill(k.at(s))
		k.start(s)
		if rapid.Bool().Draw(k.t, "join") {
			_ = k.at(s).svc.Sync(ctx)
		}
	case "twin":
		_ = k.start(k.seat("seat")).svc.Sync(ctx)
	case "kill":
		k.kill(k.at(k.seat("seat")))
	case "cut":
		k.split(k.seat("from"), k.seat("to"), rapid.Bool().Draw(k.t, "cut"))
	case "sync":
		_ = k.at(k.seat("seat")).svc.Sync(ctx)
	case "wait":
		k.clock.Advance(time.Duration(rapid.IntRange(1, 30_000).Draw(k.t, "ms")) * time.Millisecond)
	case "break":
		k.world.mu.Lock()
		k.broken = rapid.Bool().Draw(k.t, "broken")
		k.world.mu.Unlock()
	case "table":
		k.changeTable()
	}
}

// changeTable removes a seat of data centre a from the table or adds it again.
// Some processes keep the old revision for a while.
func (k *walk) changeTable() {
	next := &view{revision: k.view.revision + 1, route: k.view.route}
	names := []ident.Instance{"a1", "a2", "a3"}
	if len(k.view.seats) == len(walkSeats) {
		i := rapid.IntRange(0, 2).Draw(k.t, "without")
		names = append(names[:i:i], names[i+1:]...)
	}
	next.seats = append(seatsOf("a", names...), seatsOf("b", "b1", "b2")...)
	old := k.view
	k.world.mu.Lock()
	for _, p := range k.all {
		p.own = nil
		if rapid.Bool().Draw(k.t, "lags") {
			p.own = old
		}
	}
	k.view = next
	k.world.mu.Unlock()
	k.moved = k.clock.Now()
}

// spread puts the newest table in force at all processes before the lag exceeds
// its limit.
func (k *walk) spread() {
	if k.clock.Now()-k.moved < 13*time.Second {
		return
	}
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	for _, p := range k.all {
		p.own = nil
	}
}

// arm injects a fault at a random moment of the next call.
func (k *walk) arm() {
	m := rapid.SampledFrom(walkMoments).Draw(k.t, "moment")
	what := rapid.SampledFrom([]string{"kill", "restart", "twin", "pause", "call", "cut"}).Draw(k.t, "fault")
	seat, other := k.seat("seat"), k.seat("other")
	key := rapid.SampledFrom(walkKeys).Draw(k.t, "key")
	pause := time.Duration(rapid.IntRange(0, 4000).Draw(k.t, "pause")) * time.Millisecond
	k.on(m, func(p *proc) {
		switch what {
		case "kill":
			k.kill(p)
		case "restart":
			k.kill(p)
			_ = k.start(p.node.Instance).svc.Sync(ctx)
		case "twin":
			k.clock.Advance(pause)
			_ = k.start(p.node.Instance).svc.Sync(ctx)
			k.background(other, key)
		case "pause":
			k.clock.Advance(pause)
		case "call":
			k.background(other, key)
		case "cut":
			k.split(seat, other, true)
		}
	})
}

// background makes a call while another one is stopped at a moment.
func (k *walk) background(entry ident.Instance, key string) {
	k.later.Add(1)
	go func() {
		defer k.later.Done()
		k.send(entry, key)
	}()
}

// quiet waits until no call is in progress.
func (k *walk) quiet() {
	settled(k.world)
	k.later.Wait()
	settled(k.world)
}

// check fails the test if an invariant was violated.
func (k *walk) check() {
	for key, runs := range k.keys {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if d := (k.arrived[a] - k.arrived[b]).Abs(); d < keep {
					k.t.Fatalf("key %s ran for %s and for %s, which came %v apart", key, a, b, d)
				}
			}
		}
	}
	for r, o := range k.result {
		if o == notRun && k.ranAs(r) > 0 {
			k.t.Fatalf("request %s was told that it has not run, but it ran", r)
		}
	}
}

// TestWalk runs random schedules of crashes, pauses, duplicate processes of a
// seat, lost messages, partitions, table changes that arrive at different times
// and retries at any instance, also nested in each other.
func TestWalk(t *testing.T) {
	var unknowns, all int
	rapid.Check(t, func(t *rapid.T) {
		k := &walk{world: newWorld(), t: t,
			arrived: make(map[ident.Request]tick.Instant), result: make(map[ident.Request]ident.Outcome)}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			k.spread()
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				if rapid.Bool().Draw(t, "armed") {
					k.arm()
				}
				k.send(k.seat("entry"), rapid.SampledFrom(walkKeys).Draw(t, "key"))
				k.quiet()
				continue
			}
			k.step(rapid.SampledFrom([]string{"restart", "twin", "kill", "cut", "sync", "wait", "break", "table"}).Draw(t, "step"))
			k.quiet()
		}
		k.quiet()
		k.check()
		for _, o := range k.result {
			all++
			if o == unknown {
				unknowns++
			}
		}
	})
	t.Logf("%d calls, %d of them unknown", all, unknowns)
}

// TestHomeIsStatic checks that homes depend on the table alone, and that only the
// calls of a removed seat move.
func TestHomeIsStatic(t *testing.T) {
	seats := append(seatsOf("a", "a1", "a2", "a3", "a4"), seatsOf("b", "b1")...)
	moved := 0
	const calls = 1000
	for i := range calls {
		id := intent.NewID("sur", "confirm", fmt.Sprint(i))
		before, _ := intent.Home(seats, "a", id)
		after, _ := intent.Home(seats[1:], "a", id)
		if before != after {
			moved++
			if before != "a1" {
				t.Fatalf("call %d moved from %s, which stayed", i, before)
			}
		}
	}
	if moved == 0 || moved > calls/2 {
		t.Errorf("%d of %d calls moved when one seat of four left", moved, calls)
	}
}
