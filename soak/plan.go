package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// act is what a step of a plan does.
type act string

// The acts. Those that end undo themselves after the step's time.
const (
	stopOne    act = "stop"     // SIGTERM to a daemon, and a fresh one after its end
	killOne    act = "kill"     // SIGKILL, and a fresh one
	pauseOne   act = "pause"    // SIGSTOP, ends
	hangup     act = "hangup"   // SIGHUP
	storeMute  act = "mute"     // the store answers nothing, ends
	storeShed  act = "shed"     // the store refuses all calls, ends
	storePrune act = "prune"    // the store drops its history
	cutOne     act = "cut"      // a daemon does not reach the store, ends
	resetOne   act = "reset"    // a daemon's connections to the store are reset
	slowOne    act = "slow"     // a daemon's bytes from the store come late, ends
	harm       act = "harm"     // a backend server fails in some way, ends
	darken     act = "darken"   // a backend server is not reached, ends
	lag        act = "lag"      // a backend server's bytes come late, ends
	breakConns act = "break"    // the connections to a backend server are reset
	depart     act = "depart"   // a backend server leaves and comes back, ends
	announce   act = "announce" // a backend server says in its answers that it leaves, and starts anew, ends
	rest       act = "rest"     // a backend server wants no request for a time, ends
	nameLimit  act = "limit"    // a backend server names a limit in its responses, ends
	withdraw   act = "withdraw" // a key is withdrawn
	publish    act = "publish"  // a configuration that changes nothing is published
)

// acts are drawn with equal chance.
var acts = []act{
	stopOne, killOne, pauseOne, hangup, storeMute, storeShed, storePrune, cutOne, resetOne, slowOne,
	harm, darken, lag, breakConns, depart, announce, rest, nameLimit, withdraw, publish,
}

// faults of backend servers that harm draws.
var faults = []fake.Fault{
	fake.Shed, fake.InternalError, fake.Hang, fake.Reset, fake.Unsealed, fake.Encoded, fake.StrayResponse, fake.ExtraResponse,
	fake.TruncatedEvent, fake.Stall, fake.ExpiredKV, fake.NoMemory, fake.NoLength, fake.TruncatedBody,
}

// serverLimits are the limits that nameLimit draws, as a server writes them.
var serverLimits = []string{"0.5", "2.5", "10"}

// step is one entry of a plan.
type step struct {
	at     time.Duration // from the start of the load
	act    act
	target int        // index of a daemon or a backend server
	fault  fake.Fault // of harm
	limit  string     // of nameLimit
	lasts  time.Duration
}

// shape is what a plan is made for.
type shape struct {
	daemons, servers int
	trouble          time.Duration // time in which steps fall and end
	gap              time.Duration // mean time between steps
}

const (
	// shortest and longest bound the time of a step that ends.
	shortest = 200 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// departTime is longer than others may take to leave a server alone.
	departTime = 7 * time.Second
	// limitTime leaves several windows after the time that daemons have to keep to a limit.
	limitTime = contactTime + 2*serverLimitWindow
	// seriesChance is how often a step is repeated at once, in percent.
	seriesChance = 15
	// maxWithdrawn bounds the withdrawn keys, so that some stay.
	maxWithdrawn = spareKeys - 1
)

// newPlan returns the steps for a seed, by time. The same seed and shape give
// the same steps.
func newPlan(seed uint64, sh shape) []step {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var plan []step
	withdrawn := 0
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() * float64(sh.gap))
		if at >= sh.trouble {
			return plan
		}
		s := step{
			at: at, act: acts[rnd.IntN(len(acts))], fault: faults[rnd.IntN(len(faults))],
			lasts: min(shortest+time.Duration(rnd.Int64N(int64(longest-shortest))), sh.trouble-at),
		}
		s.target = rnd.IntN(sh.targets(s.act))
		switch s.act {
		case depart, announce:
			s.lasts = departTime
		case nameLimit:
			s.limit, s.lasts = serverLimits[rnd.IntN(len(serverLimits))], limitTime
		}
		again := 1
		if rnd.IntN(100) < seriesChance {
			again += 1 + rnd.IntN(3)
		}
		for range again {
			if s.act == withdraw && withdrawn == maxWithdrawn {
				break
			}
			if s.act == withdraw {
				withdrawn++
			}
			plan = append(plan, s)
			s.at += shortest
		}
		plan = slices.DeleteFunc(plan, func(s step) bool { return s.at >= sh.trouble })
		slices.SortStableFunc(plan, func(a, b step) int { return int(a.at - b.at) })
	}
}

// targets returns how many targets an act has.
func (sh shape) targets(a act) int {
	switch a {
	case harm, darken, lag, breakConns, depart, announce, rest, nameLimit:
		return sh.servers
	default:
		return sh.daemons
	}
}
