package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

var classes = []pool.Class{
	pool.DefaultClass,
	{Name: "patient", FirstTokenTarget: 20 * time.Second, GapTarget: 150 * time.Millisecond, LowPriority: true},
}

// newScheduler returns a scheduler over decode servers with two places each.
func newScheduler(prefill, decode int) *pool.Scheduler {
	s := pool.New(pool.Config{Instance: "i", Incarnation: 1, Rand: rand.NewPCG(1, 2)})
	spec := place.Spec{KVBytes: 1 << 10, Revision: 7}
	for i := range prefill {
		spec.Servers = append(spec.Servers, place.Server{
			Name: ident.Server(fmt.Sprintf("p%d", i+1)), Role: place.RolePrefill, PrefillRate: 10000, LinkBandwidth: 1 << 30,
		})
	}
	for i := range decode {
		spec.Servers = append(spec.Servers, place.Server{
			Name: ident.Server(fmt.Sprintf("d%d", i+1)), Role: place.RoleDecode, Slots: 2,
			TokenInterval: 50 * time.Millisecond, LinkBandwidth: 1 << 30,
		})
	}
	s.Configure(spec, classes)
	return s
}

func ask(c ident.Customer) *place.Request {
	return &place.Request{Customer: c, PromptTokens: 500, MaxOutputTokens: 100}
}

// submit submits an ask and returns its decision, if there is one at once.
func submit(s *pool.Scheduler, a *place.Request, now tick.Instant) (pool.Ticket, []pool.Decision) {
	t := s.Submit(a, "e1", now)
	return t, s.Dispatch(now, nil)
}

func TestDecisionNamesItsTicket(t *testing.T) {
	tests := []struct {
		name  string
		s     *pool.Scheduler
		a     *place.Request
		code  fail.Code
		never bool
	}{
		{"placed", newScheduler(1, 1), ask("a"), "", false},
		{"no server", newScheduler(0, 0), ask("a"), fail.CodeNoServer, false},
		{"target can never be met", newScheduler(1, 1), &place.Request{Customer: "a", PromptTokens: 50000, MaxOutputTokens: 1}, fail.CodeDeadline, true},
		{"waited too long", newScheduler(1, 1), &place.Request{Customer: "a", PromptTokens: 10, Waited: 2 * time.Second}, fail.CodeDeadline, false},
		{"held without a decode server", newScheduler(1, 0), &place.Request{Customer: "a", PromptTokens: 10, KVSource: "p1"}, fail.CodeNoServer, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ticket, out := submit(tt.s, tt.a, 0)
			is.Equal(len(out), 1)
			is.Equal(out[0].Ticket, ticket)
			is.Equal(out[0].Code, tt.code)
			is.Equal(out[0].Placed(), tt.code == "")
			if tt.code == "" {
				is.Equal(out[0].Placement.ID, "i.1.1")
				is.Equal(out[0].Placement.Revision, uint64(7))
				return
			}
			is.Equal(out[0].RetryAfter == fail.NoRetry, tt.never)
			is.True(out[0].RetryAfter > 0 || tt.never)
			is.Equal(out[0].Refusal().RetryAfter(), out[0].RetryAfter)
		})
	}
}

// TestRefusalIsNotHeldBack checks that a request is refused when it is first
// known that it cannot be placed in time, and that what waits is placed or
// refused before its target passes.
func TestRefusalIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, ask("a"), 0)
	submit(s, ask("a"), 0)
	refused := 0
	for i := range 30 {
		_, out := submit(s, ask("a"), tick.Instant(i)*time.Millisecond)
		refused += len(out)
	}
	// The two places end in seconds; most can be told at once.
	is.True(refused >= 20)
	for now := tick.Instant(0); now <= 1200*time.Millisecond; now += 10 * time.Millisecond {
		for _, d := range s.Dispatch(now, nil) {
			is.True(!d.Placed())
			is.True(now < 1200*time.Millisecond)
			refused++
		}
	}
	is.Equal(refused, 30)
}

func TestCancelledRequestIsNeverPlaced(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 1)
	submit(s, ask("a"), 0)
	_, out := submit(s, ask("a"), 0)
	is.Equal(len(out), 1)
	first := out[0].Placement.ID
	waiting, out := submit(s, ask("b"), 0)
	is.Equal(len(out), 0)
	s.Cancel(waiting)
	s.RecordProgress("e1", &pool.Progress{ID: first, Stage: place.StageDone}, time.Millisecond)
	is.Equal(len(s.Dispatch(10*time.Millisecond, nil)), 0)
}

func TestInteractiveBeforePatient(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 1)
	_, a := submit(s, ask("a"), 0)
	submit(s, ask("a"), 0)
	p := ask("a")
	p.Class = "patient"
	_, out := submit(s, p, 10*time.Millisecond)
	is.Equal(len(out), 0)
	i, out := submit(s, ask("b"), 20*time.Millisecond)
	is.Equal(len(out), 0)
	s.RecordProgress("e1", &pool.Progress{ID: a[0].Placement.ID, Stage: place.StageDone, OutputTokens: 10}, 100*time.Millisecond)
	out = s.Dispatch(110*time.Millisecond, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, i)
}

// TestSuccessorLearnsFromHeartbeats starts a scheduler over and checks that it
// gives away no place that is taken.
func TestSuccessorLearnsFromHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	var all []pool.Progress
	for range 2 {
		_, out := submit(s, ask("a"), 0)
		p := out[0].Placement
		all = append(all, pool.Progress{ID: p.ID, Stage: place.StageDecode, Prefill: p.Prefill, Decode: p.Decode, Customer: "a", PromptTokens: 500})
	}
	next := newScheduler(4, 1)
	next.Reconcile("e1", 1, all, time.Second)
	is.Equal(next.LivePlacements(), 2)
	_, out := submit(next, ask("b"), time.Second)
	is.Equal(len(out), 0) // no place is free

	next.Reconcile("e1", 1, all[:1], 2*time.Second) // one has ended
	is.Equal(next.LivePlacements(), 1)
	is.Equal(len(next.Dispatch(2*time.Second, nil)), 1)
}

func TestSilentEntryInstanceLosesItsPlacements(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, ask("a"), 0)
	s.Expire(5 * time.Second)
	is.Equal(s.LivePlacements(), 1)
	s.Expire(5*time.Second + 1)
	is.Equal(s.LivePlacements(), 0)
}

func TestNewIncarnationDropsTheOldOnes(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	p := pool.Progress{ID: "x", Stage: place.StageDecode, Decode: "d1", Customer: "a"}
	s.Reconcile("e1", 1, []pool.Progress{p}, 0)
	is.Equal(s.LivePlacements(), 1)
	s.Reconcile("e1", 2, nil, time.Second)
	is.Equal(s.LivePlacements(), 0)
}

func TestBeatAsksForWhatDiffers(t *testing.T) {
	p := pool.Progress{ID: "x", Stage: place.StageDecode, Decode: "d1", Customer: "a"}
	var none, one, other pool.Checksum
	one.Add("x", place.StageDecode)
	other.Add("x", place.StageTransfer)
	tests := []struct {
		name string
		all  []pool.Progress // sent by incarnation 1, nil if it is unknown
		inc  uint64
		sums []pool.Checksum
		want []bool
	}{
		{"unknown and empty", nil, 1, []pool.Checksum{none, none}, []bool{false, false}},
		{"unknown", nil, 1, []pool.Checksum{one, one}, []bool{true, true}},
		{"the same", []pool.Progress{p}, 1, []pool.Checksum{one, one}, []bool{false, false}},
		{"differs once", []pool.Progress{p}, 1, []pool.Checksum{none, one, none}, []bool{false, false, false}},
		{"differs twice", []pool.Progress{p}, 1, []pool.Checksum{none, none}, []bool{false, true}},
		{"stage differs twice", []pool.Progress{p}, 1, []pool.Checksum{other, other}, []bool{false, true}},
		{"other incarnation", []pool.Progress{p}, 2, []pool.Checksum{one}, []bool{true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(4, 1)
			if tt.all != nil {
				s.Reconcile("e1", 1, tt.all, 0)
			}
			for i, sum := range tt.sums {
				is.Equal(s.NeedsResync("e1", tt.inc, sum, tick.Instant(i)*time.Second), tt.want[i])
			}
		})
	}
}

func TestSilenceAfterBeatsDropsPlacements(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	var one pool.Checksum
	one.Add("x", place.StageDecode)
	s.Reconcile("e1", 1, []pool.Progress{{ID: "x", Stage: place.StageDecode, Decode: "d1"}}, 0)
	s.NeedsResync("e1", 1, one, 4*time.Second)
	s.Expire(9 * time.Second)
	is.Equal(s.LivePlacements(), 1)
	s.Expire(9*time.Second + 1)
	is.Equal(s.LivePlacements(), 0)
}

func TestPlacementOnItsWaySurvivesOneHeartbeat(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, ask("a"), 0)
	s.Reconcile("e1", 1, nil, 0)
	is.Equal(s.LivePlacements(), 1)
	s.Reconcile("e1", 1, nil, time.Second)
	is.Equal(s.LivePlacements(), 0)
}

func TestHeldCacheGoesFirstWithoutAnotherPrefill(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 2)
	a := ask("a")
	a.KVSource, a.Avoid = "p1", []ident.Server{"d1"}
	_, out := submit(s, a, 0)
	is.Equal(len(out), 1)
	is.Equal(out[0].Placement.Prefill, ident.Server("p1"))
	is.Equal(out[0].Placement.Decode, ident.Server("d2"))
	is.Equal(out[0].Choice.PrefillTime, time.Duration(0))
	_, next := submit(s, ask("b"), 0)
	is.Equal(next[0].Choice.PrefillWait, time.Duration(0)) // no prefill was queued
}

// TestPlacesNeverExceeded runs random submissions and ends and checks that
// the live placements fit the places and that each ticket is decided once.
func TestPlacesNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(3, 3)
		now := tick.Instant(0)
		decided := make(map[pool.Ticket]bool)
		var live []string
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			if len(live) > 0 && rapid.Bool().Draw(t, "end") {
				stage := place.Stage(rapid.IntRange(int(place.StageDone), int(place.StageFailedDecode)).Draw(t, "stage"))
				s.RecordProgress("e1", &pool.Progress{ID: live[0], Stage: stage, OutputTokens: 9}, now)
				live = live[1:]
			} else {
				a := ask(ident.Customer(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))))
				if rapid.Bool().Draw(t, "patient") {
					a.Class = "patient"
				}
				s.Submit(a, "e1", now)
			}
			for _, d := range s.Dispatch(now, nil) {
				if decided[d.Ticket] {
					t.Fatalf("ticket %d was decided twice", d.Ticket)
				}
				decided[d.Ticket] = true
				if d.Placed() {
					live = append(live, d.Placement.ID)
				}
			}
			if len(live) > 6 || s.LivePlacements() != len(live) {
				t.Fatalf("%d live placements, scheduler holds %d, 6 places", len(live), s.LivePlacements())
			}
		}
	})
}

// TestManyCustomersAtOnce submits one request of each of many customers. Each
// alone would start in time; together they cannot, which the next sweep finds.
func TestManyCustomersAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	decided := 0
	for i := range 50 {
		_, out := submit(s, ask(ident.Customer(fmt.Sprint(i))), 0)
		decided += len(out)
	}
	is.Equal(decided, 2) // the places
	refused := s.Dispatch(60*time.Millisecond, nil)
	is.True(len(refused) >= 40)
	for _, d := range refused {
		is.Equal(d.Code, fail.CodeOverloaded)
		is.True(d.RetryAfter > 0)
	}
}

func TestOutputEstimateIsCorrected(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 4)
	a := ask("a")
	a.MaxOutputTokens = 1000
	var last int64
	for i := range 40 {
		now := tick.Instant(i) * time.Second
		_, out := submit(s, a, now)
		is.Equal(len(out), 1)
		last = out[0].OutputEstimate
		s.RecordProgress("e1", &pool.Progress{ID: out[0].Placement.ID, Stage: place.StageDone, OutputTokens: 600}, now)
	}
	is.True(last > 550)
	is.True(last <= 600)
}

// TestHeldCacheThatMustWaitIsPrefilledAgain lets no decode place come free
// while a held cache lives and checks that a patient request is queued.
func TestHeldCacheThatMustWaitIsPrefilledAgain(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 1)
	_, first := submit(s, ask("a"), 0)
	_, second := submit(s, ask("a"), 0)
	s.RecordProgress("e1", &pool.Progress{ID: second[0].Placement.ID, Stage: place.StageDecode}, 100*time.Millisecond)
	a := ask("a")
	a.Class, a.KVSource = "patient", "p1"
	_, out := submit(s, a, 100*time.Millisecond)
	is.Equal(len(out), 0)
	is.Equal(len(s.Dispatch(600*time.Millisecond, nil)), 0)
	s.RecordProgress("e1", &pool.Progress{ID: first[0].Placement.ID, Stage: place.StageDone}, 700*time.Millisecond)
	out = s.Dispatch(800*time.Millisecond, nil)
	is.Equal(len(out), 1)
	is.True(out[0].Placed())
	is.True(!out[0].Placement.ReusesKV)
	is.True(out[0].Choice.PrefillTime > 0)
}

func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newScheduler(40, 100)
	again := ask("a")
	again.Resumed = true
	placed := func(n int, a *place.Request) int {
		ok := 0
		for range n {
			_, out := submit(s, a, 0)
			if out[0].Placed() {
				ok++
				continue
			}
			is.Equal(out[0].Reason, pool.ReasonRetryBudget)
			is.Equal(out[0].Code, fail.CodeOverloaded)
		}
		return ok
	}
	is.Equal(placed(50, again), 32)
	is.Equal(placed(50, ask("b")), 50)
	is.Equal(placed(10, again), 5) // one for ten new requests
}

// TestLongOutputIsCharged checks that a customer whose output grows beyond the
// estimate gives way to another one.
func TestLongOutputIsCharged(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	patient := func(c ident.Customer) *place.Request {
		a := ask(c)
		a.Class = "patient"
		return a
	}
	_, a := submit(s, patient("a"), 0)
	_, b := submit(s, patient("b"), 0)
	submit(s, patient("a"), 0)
	next, _ := submit(s, patient("b"), 0)
	s.RecordProgress("e1", &pool.Progress{ID: a[0].Placement.ID, Stage: place.StageDecode, OutputTokens: 3000}, time.Millisecond)
	s.RecordProgress("e1", &pool.Progress{ID: b[0].Placement.ID, Stage: place.StageDone, OutputTokens: 100}, time.Millisecond)
	out := s.Dispatch(2*time.Millisecond, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, next)
}
