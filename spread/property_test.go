package spread

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/table"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20")
	}
	os.Exit(m.Run())
}

// spreadLimit is the time within which a table is in force wherever news of
// it can arrive.
const spreadLimit = 13 * time.Second

// withdrawnKey is the key of customer 0, which every other revision lacks.
var withdrawnKey = table.KeySum("wk_TEST-ONLY-0")

func keyTable(t testing.TB, revision uint64, withdrawn bool) *table.Table {
	const customers = 3
	if withdrawn {
		return simTableFrom(t, revision, customers, int(revision), 1)
	}
	return simTable(t, revision, customers, int(revision))
}

// TestSchedules runs random schedules of publications, outages, stale
// replicas, cuts, pauses, crashes and joins. In each step no process steps
// back or serves half a table (simNode.check). After each publication it is in
// force wherever news of it can arrive, and a withdrawn key is dead there.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(rt, "seed"), 9, 3)
		revision := uint64(1)
		s.publish(keyTable(t, revision, false))
		s.startAll()
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			s.disturb(rt)
			s.run(time.Duration(rapid.IntRange(0, 80).Draw(rt, "steps"))*simStep, nil)
			if !rapid.Bool().Draw(rt, "publish") {
				continue
			}
			revision++
			v := s.publish(keyTable(t, revision, revision%2 == 0))
			if rapid.Bool().Draw(rt, "hold") {
				s.run(spreadLimit, nil)
				s.checkReached(rt, v, revision%2 == 0)
			}
		}
		s.heal()
		revision++
		v := s.publish(keyTable(t, revision, true))
		s.run(spreadLimit, nil)
		s.checkReached(rt, v, true)
		if !s.allJoined() {
			rt.Fatal("a process has not joined after all was healed")
		}
		if took := s.run(time.Minute, func() bool { return s.agreed(nil) }); !s.agreed(nil) {
			rt.Fatalf("no agreement on who is there %v after all was healed", took)
		}
		for _, n := range s.nodes {
			select {
			case <-n.f.Superseded():
				rt.Fatalf("%s was told that another process has its seat", n.name)
			default:
			}
		}
	})
}

// disturb changes one thing that can go wrong.
func (s *simFleet) disturb(rt *rapid.T) {
	n := s.byName[ident.Instance(fmt.Sprintf("c%d-%d", rapid.IntRange(0, 2).Draw(rt, "centre"), rapid.IntRange(0, 2).Draw(rt, "seat")))]
	switch rapid.IntRange(0, 7).Draw(rt, "event") {
	case 0:
		n.dead = true
	case 1:
		n.start()
	case 2:
		n.paused = !n.paused
	case 3:
		n.cutOff = !n.cutOff
	case 4:
		n.stale = rapid.IntRange(0, 3).Draw(rt, "stale")
	case 5:
		s.plat.down = !s.plat.down
	case 6:
		other := ident.Centre(fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(rt, "other")))
		pair := [2]ident.Centre{n.centre, other}
		s.cut[pair] = other != n.centre && !s.cut[pair]
	case 7:
		for _, n := range s.nodes {
			n.start()
		}
	}
}

func (s *simFleet) heal() {
	clear(s.cut)
	s.plat.down = false
	for _, n := range s.nodes {
		n.cutOff, n.stale, n.paused = false, 0, false
		if n.dead {
			n.start()
		}
	}
}

// checkReached checks all processes that news can reach.
func (s *simFleet) checkReached(rt *rapid.T, v Version, withdrawn bool) {
	reached := s.reached()
	for _, n := range s.nodes {
		if n.dead || n.paused || !reached[n.centre] {
			continue
		}
		if n.floor != v {
			rt.Fatalf("%s has %v in force after %v, want %v", n.name, n.floor, spreadLimit, v)
		}
		if _, ok := n.f.Current().KeyOwner(withdrawnKey); ok == withdrawn {
			rt.Fatalf("%s: key known: %v, withdrawn: %v", n.name, ok, withdrawn)
		}
	}
}

// reached returns the data centres with a process that reads the newest head,
// and those that are connected to them.
func (s *simFleet) reached() map[ident.Centre]bool {
	out := make(map[ident.Centre]bool)
	members := make(map[ident.Centre]bool)
	for _, n := range s.nodes {
		alive := !n.dead && !n.paused
		members[n.centre] = members[n.centre] || alive
		if alive && !s.plat.down && !n.cutOff && n.stale == 0 {
			out[n.centre] = true
		}
	}
	for range members {
		for a := range members {
			for b := range members {
				open := !s.cut[[2]ident.Centre{a, b}] && !s.cut[[2]ident.Centre{b, a}]
				if out[a] && open && members[b] {
					out[b] = true
				}
			}
		}
	}
	return out
}
