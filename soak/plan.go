package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

// act is the disturbance of a step.
type act string

// The acts. An act that "ends" is undone after step.lasts.
const (
	stopOne    act = "stop"     // SIGTERM to a daemon, which is started again after its exit
	killOne    act = "kill"     // SIGKILL to a daemon, which is started again
	pauseOne   act = "pause"    // SIGSTOP, ends
	hangup     act = "hangup"   // SIGHUP
	storeMute  act = "mute"     // the store does not respond, ends
	storeShed  act = "shed"     // the store rejects all calls, ends
	storePrune act = "prune"    // the store compacts its history
	cutOne     act = "cut"      // a daemon cannot reach the store, ends
	resetOne   act = "reset"    // a daemon's connections to the store are reset
	slowOne    act = "slow"     // responses of the store reach a daemon with a delay, ends
	harm       act = "harm"     // a backend server has a fake.Fault, ends
	darken     act = "darken"   // a backend server is unreachable, ends
	lag        act = "lag"      // responses of a backend server are delayed, ends
	breakConns act = "break"    // all connections to a backend server are reset
	depart     act = "depart"   // a backend server is listed as draining, ends
	announce   act = "announce" // a backend server reports in its responses that it is draining, and restarts, ends
	rest       act = "rest"     // a backend server answers 503 with a Retry-After, ends
	nameLimit  act = "limit"    // a backend server names a limit in its responses, ends
	second     act = "second"   // a backend server answers a second time, ends
	fatal      act = "fatal"    // a part of prompts crashes the model servers that begin to answer on it, ends
	withdraw   act = "withdraw" // a key is withdrawn
	publish    act = "publish"  // an unchanged configuration is published
	tune       act = "tune"     // a configuration with other timeouts and limits is published
	silence    act = "silence"  // a sound backend server is silent for a time and goes on, ends
	restrict   act = "regions"  // a configuration with other allowed regions is published, ends
	chill      act = "chill"    // a backend server or all of its data centre goes down and returns cold
	evacuate   act = "evacuate" // a data centre is evacuated, ends, and is evacuated again
	restore    act = "restore"  // the store is restored from a backup after writes, which are written again
	crowd      act = "crowd"    // long streams take most places of the model servers, ends
)

// acts are drawn with equal probability.
var acts = []act{
	stopOne, killOne, pauseOne, hangup, storeMute, storeShed, storePrune, cutOne, resetOne, slowOne,
	harm, darken, lag, breakConns, depart, announce, rest, nameLimit, second, fatal, withdraw, publish,
	tune, silence, crowd, restrict, chill, evacuate, restore,
}

// faults are the faults of backend servers from which harm draws.
var faults = []fake.Fault{
	fake.Shed, fake.InternalError, fake.Hang, fake.Reset, fake.Unsealed, fake.Encoded, fake.StrayResponse, fake.ExtraResponse,
	fake.TruncatedEvent, fake.Stall, fake.ExpiredKV, fake.NoMemory, fake.NoLength, fake.TruncatedBody,
	fake.EarlyReset, fake.EarlyEnd, fake.Slow, fake.Endless, fake.EndlessHead, fake.EndlessLine, fake.EndlessJunk, fake.EndlessEvent,
}

// serverLimits are the limits from which nameLimit draws, in requests per second, as sent by a server.
var serverLimits = []string{"0.5", "2.5", "10"}

// secondCalls are the calls from which second draws, by the role of the server.
var secondCalls = map[fake.Role][]fake.CallKind{
	fake.Plain:   {fake.AnyCall},
	fake.Prefill: {fake.AnyCall, fake.PrefillCall, fake.FreeCall},
	fake.Decode:  {fake.AnyCall, fake.RunCall, fake.ReservationCall, fake.ReleaseCall},
}

// crashPoints are the points at which fatal lets servers crash.
var crashPoints = []fake.CrashPoint{fake.BeforeHead, fake.InsideHead, fake.AfterHead, fake.InsideEvent, fake.AfterOpenHead}

// secondParts are the parts of responses from which second draws.
var secondParts = []fake.Part{fake.Whole, fake.Whole, fake.Whole, fake.Head, fake.Body}

// step is one disturbance of a plan.
type step struct {
	at     time.Duration // time from the start of the load
	act    act
	target int        // index of a daemon or a backend server
	fault  fake.Fault // of harm
	limit  string     // of nameLimit
	second fake.Second
	point  fake.CrashPoint // of fatal
	quiet  quiet           // of silence
	tuned  tuned           // of tune
	move   move            // of restrict, chill, evacuate and restore
	lasts  time.Duration
}

// shape is the size of the fleet and the duration for which a plan is drawn.
type shape struct {
	daemons, servers int
	trouble          time.Duration // time in which all steps begin
	gap              time.Duration // mean time between steps
}

const (
	// shortest and longest bound the duration of a step that ends.
	shortest = 200 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// departTime exceeds the time within which daemons stop using a draining server.
	departTime = 7 * time.Second
	// limitTime is contactTime, within which a limit need not be kept, and two windows.
	limitTime = contactTime + 2*serverLimitWindow
	// fatalTime is the time to crash five servers, contactTime, within which the part need not be known, and
	// as long again for sound calls to be served beside it.
	fatalTime = 2*contactTime + 8*time.Second
	// seriesChance is the probability that a step is repeated at once, in percent.
	seriesChance = 15
	// nextChance and noIDChance are the probabilities that a second response comes right before
	// the next one, and that it lacks the ID, in percent.
	nextChance = 50
	noIDChance = 20
	// latest bounds the time after which a second response comes otherwise.
	latest = 1500 * time.Millisecond
	// maxWithdrawn bounds the number of withdrawn keys, so that some remain valid.
	maxWithdrawn = spareKeys - 1
)

// newPlan returns the steps for a seed, ordered by time. It is deterministic.
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
		case second:
			s.second = newSecond(rnd, roles[s.target])
		case fatal:
			s.point, s.lasts = crashPoints[rnd.IntN(len(crashPoints))], fatalTime
		case silence:
			s.quiet = newQuiet(rnd, roles[s.target])
			switch {
			case s.quiet.whole:
				s.lasts = s.quiet.For
			case s.quiet.others != fake.NoFault:
				s.lasts = min(longest, sh.trouble-at)
			}
		case restrict:
			s.move, s.lasts = newMove(rnd), s.lasts+departTime
		case evacuate:
			s.move, s.lasts = newMove(rnd), s.lasts*3
		case chill:
			s.move, s.lasts = newMove(rnd), max(s.lasts, shortestDown)
		case restore:
			s.move = newMove(rnd)
		case tune:
			s.tuned = newTuned(rnd)
		}
		again := 1
		if rnd.IntN(100) < seriesChance {
			again += 1 + rnd.IntN(3)
		}
		for range again {
			if s.act == withdraw && withdrawn == maxWithdrawn {
				break
			}
			if s.act == restore {
				s.move.key = withdrawn < maxWithdrawn
			}
			if s.act == withdraw || s.move.key {
				withdrawn++
			}
			plan = append(plan, s)
			s.at += shortest
		}
		plan = slices.DeleteFunc(plan, func(s step) bool { return s.at >= sh.trouble })
		slices.SortStableFunc(plan, func(a, b step) int { return int(a.at - b.at) })
	}
}

const (
	// freezeTime is how long a daemon stands still at the end of the trouble: it notices pauses of over a second. The daemons do so in
	// freezeTurns turns, each freezeGap after the one before.
	freezeTime  = 1200 * time.Millisecond
	freezeGap   = 1300 * time.Millisecond
	freezeTurns = 3
)

// freezes returns the steps that let each daemon stand still once.
func freezes(daemons int, at time.Duration) []step {
	var all []step
	for n := range daemons {
		all = append(all, step{at: at + time.Duration(n%freezeTurns)*freezeGap, act: pauseOne, target: n, lasts: freezeTime})
	}
	return all
}

// newSecond draws how a server of a role answers a second time.
func newSecond(rnd *rand.Rand, role fake.Role) fake.Second {
	calls := secondCalls[role]
	return fake.Second{
		Call: calls[rnd.IntN(len(calls))], After: time.Duration(rnd.Int64N(int64(latest))), UntilNext: rnd.IntN(100) < nextChance,
		NoID: rnd.IntN(100) < noIDChance, Part: secondParts[rnd.IntN(len(secondParts))], Every: 1 + rnd.IntN(3),
	}
}

// targets returns the number of targets from which an act is drawn.
func (sh shape) targets(a act) int {
	switch a {
	case harm, darken, lag, breakConns, depart, announce, rest, nameLimit, second, silence, chill, evacuate, restore:
		return sh.servers
	default:
		return sh.daemons
	}
}
