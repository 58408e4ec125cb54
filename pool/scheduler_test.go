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
	{Name: "patient", FirstTokenTarget: 20 * time.Second, GapTarget: 150 * time.Millisecond, Deferrable: true},
}

// newScheduler returns a scheduler with decode servers of two slots each.
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

func request(c ident.Customer) *place.Request {
	return &place.Request{Customer: c, PromptTokens: 500, MaxOutputTokens: 100}
}

// submit submits a request and returns its ticket and the decisions that are made at once.
func submit(s *pool.Scheduler, req *place.Request, now tick.Instant) (pool.Ticket, []pool.Decision) {
	t := s.Submit(req, "e1", now)
	return t, s.Dispatch(now, nil)
}

func TestDecisionCarriesTicket(t *testing.T) {
	tests := []struct {
		name  string
		s     *pool.Scheduler
		req   *place.Request
		code  fail.Code
		never bool
	}{
		{"placed", newScheduler(1, 1), request("a"), "", false},
		{"no server", newScheduler(0, 0), request("a"), fail.CodeNoServer, false},
		{"target can never be met", newScheduler(1, 1), &place.Request{Customer: "a", PromptTokens: 50000, MaxOutputTokens: 1}, fail.CodeDeadline, true},
		{"waited too long", newScheduler(1, 1), &place.Request{Customer: "a", PromptTokens: 10, Waited: 2 * time.Second}, fail.CodeDeadline, false},
		{"KV cache without a decode server", newScheduler(1, 0), &place.Request{Customer: "a", PromptTokens: 10, KVSource: "p1"}, fail.CodeNoServer, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ticket, out := submit(tt.s, tt.req, 0)
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

// TestRejectsAsSoonAsTargetIsLost guards against holding back a rejection: a request must be
// rejected when it is first known that it cannot be placed in time. A queued request must be placed
// or rejected before its target passes.
func TestRejectsAsSoonAsTargetIsLost(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, request("a"), 0)
	submit(s, request("a"), 0)
	rejected := 0
	for i := range 30 {
		_, out := submit(s, request("a"), tick.Instant(i)*time.Millisecond)
		rejected += len(out)
	}
	// The two placements run for seconds, so most requests can be rejected at once.
	is.True(rejected >= 20)
	for now := tick.Instant(0); now <= 1200*time.Millisecond; now += 10 * time.Millisecond {
		for _, d := range s.Dispatch(now, nil) {
			is.True(!d.Placed())
			is.True(now < 1200*time.Millisecond)
			rejected++
		}
	}
	is.Equal(rejected, 30)
}

func TestCancelledRequestIsNeverPlaced(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 1)
	submit(s, request("a"), 0)
	_, out := submit(s, request("a"), 0)
	is.Equal(len(out), 1)
	first := out[0].Placement.ID
	waiting, out := submit(s, request("b"), 0)
	is.Equal(len(out), 0)
	s.Cancel(waiting)
	s.RecordProgress("e1", &pool.Progress{ID: first, Stage: place.StageDone}, time.Millisecond)
	is.Equal(len(s.Dispatch(10*time.Millisecond, nil)), 0)
}

func TestInteractiveBeforeDeferrable(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 1)
	_, a := submit(s, request("a"), 0)
	submit(s, request("a"), 0)
	p := request("a")
	p.Class = "patient"
	_, out := submit(s, p, 10*time.Millisecond)
	is.Equal(len(out), 0)
	i, out := submit(s, request("b"), 20*time.Millisecond)
	is.Equal(len(out), 0)
	s.RecordProgress("e1", &pool.Progress{ID: a[0].Placement.ID, Stage: place.StageDone, OutputTokens: 10}, 100*time.Millisecond)
	out = s.Dispatch(110*time.Millisecond, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, i)
}

// TestReconcileRestoresPlacements guards against overbooking after a restart: a new scheduler must
// not assign slots that are in use.
func TestReconcileRestoresPlacements(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	var all []pool.Progress
	for range 2 {
		_, out := submit(s, request("a"), 0)
		p := out[0].Placement
		all = append(all, pool.Progress{ID: p.ID, Stage: place.StageDecode, Prefill: p.Prefill, Decode: p.Decode, Customer: "a", PromptTokens: 500})
	}
	next := newScheduler(4, 1)
	next.Reconcile("e1", 1, all, time.Second)
	is.Equal(next.LivePlacements(), 2)
	_, out := submit(next, request("b"), time.Second)
	is.Equal(len(out), 0) // no slot is free

	next.Reconcile("e1", 1, all[:1], 2*time.Second) // one placement has ended
	is.Equal(next.LivePlacements(), 1)
	is.Equal(len(next.Dispatch(2*time.Second, nil)), 1)
}

func TestExpireReleasesSilentOwner(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, request("a"), 0)
	s.Expire(5 * time.Second)
	is.Equal(s.LivePlacements(), 1)
	s.Expire(5*time.Second + 1)
	is.Equal(s.LivePlacements(), 0)
}

func TestNewIncarnationReleasesOldPlacements(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	p := pool.Progress{ID: "x", Stage: place.StageDecode, Decode: "d1", Customer: "a"}
	s.Reconcile("e1", 1, []pool.Progress{p}, 0)
	is.Equal(s.LivePlacements(), 1)
	s.Reconcile("e1", 2, nil, time.Second)
	is.Equal(s.LivePlacements(), 0)
}

// TestNeedsResync guards against needless full reports: a single mismatch may be a change in
// transit. An unknown owner that has placements, and an owner that has restarted, need a full
// report at once.
func TestNeedsResync(t *testing.T) {
	p := pool.Progress{ID: "x", Stage: place.StageDecode, Decode: "d1", Customer: "a"}
	var none, one, other pool.Checksum
	one.Add("x", place.StageDecode)
	other.Add("x", place.StageTransfer)
	tests := []struct {
		name string
		all  []pool.Progress // reported by incarnation 1; nil if the owner is unknown
		inc  uint64
		sums []pool.Checksum
		want []bool
	}{
		{"unknown owner without placements", nil, 1, []pool.Checksum{none, none}, []bool{false, false}},
		{"unknown", nil, 1, []pool.Checksum{one, one}, []bool{true, true}},
		{"equal checksums", []pool.Progress{p}, 1, []pool.Checksum{one, one}, []bool{false, false}},
		{"one mismatch", []pool.Progress{p}, 1, []pool.Checksum{none, one, none}, []bool{false, false, false}},
		{"two mismatches", []pool.Progress{p}, 1, []pool.Checksum{none, none}, []bool{false, true}},
		{"two mismatches of the stage", []pool.Progress{p}, 1, []pool.Checksum{other, other}, []bool{false, true}},
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

func TestChecksumKeepsOwnerAlive(t *testing.T) {
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

// TestReconcileKeepsPlacementInTransit guards against releasing a placement whose response has not
// reached its owner yet.
func TestReconcileKeepsPlacementInTransit(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	submit(s, request("a"), 0)
	s.Reconcile("e1", 1, nil, 0)
	is.Equal(s.LivePlacements(), 1)
	s.Reconcile("e1", 1, nil, time.Second)
	is.Equal(s.LivePlacements(), 0)
}

func TestKVCacheSkipsQueueAndPrefill(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 2)
	req := request("a")
	req.KVSource, req.Avoid = "p1", []ident.Server{"d1"}
	_, out := submit(s, req, 0)
	is.Equal(len(out), 1)
	is.Equal(out[0].Placement.Prefill, ident.Server("p1"))
	is.Equal(out[0].Placement.Decode, ident.Server("d2"))
	is.Equal(out[0].Choice.PrefillTime, time.Duration(0))
	_, next := submit(s, request("b"), 0)
	is.Equal(next[0].Choice.PrefillWait, time.Duration(0)) // no prefill was queued
}

// TestSlotsNeverExceeded submits and ends requests at random. It checks that the live placements
// fit into the slots and that each ticket is decided once.
func TestSlotsNeverExceeded(t *testing.T) {
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
				req := request(ident.Customer(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))))
				if rapid.Bool().Draw(t, "patient") {
					req.Class = "patient"
				}
				s.Submit(req, "e1", now)
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
				t.Fatalf("%d live placements and %d in the scheduler, want the same number and at most 6", len(live), s.LivePlacements())
			}
		}
	})
}

// TestRejectsExcessOfManyCustomers submits one request for each of many customers. Each request
// alone would start in time, but not all of them together; the next sweep must reject the excess.
func TestRejectsExcessOfManyCustomers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	decided := 0
	for i := range 50 {
		_, out := submit(s, request(ident.Customer(fmt.Sprint(i))), 0)
		decided += len(out)
	}
	is.Equal(decided, 2) // the number of slots
	rejected := s.Dispatch(60*time.Millisecond, nil)
	is.True(len(rejected) >= 40)
	for _, d := range rejected {
		is.Equal(d.Code, fail.CodeOverloaded)
		is.True(d.RetryAfter > 0)
	}
}

func TestOutputEstimateIsCorrected(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, 4)
	req := request("a")
	req.MaxOutputTokens = 1000
	var last int64
	for i := range 40 {
		now := tick.Instant(i) * time.Second
		_, out := submit(s, req, now)
		is.Equal(len(out), 1)
		last = out[0].OutputEstimate
		s.RecordProgress("e1", &pool.Progress{ID: out[0].Placement.ID, Stage: place.StageDone, OutputTokens: 600}, now)
	}
	is.True(last > 550)
	is.True(last <= 600)
}

// TestExpiredKVWaitPrefillsAgain has no decode slot become free while a KV cache is held. A
// deferrable request must then be queued for another prefill.
func TestExpiredKVWaitPrefillsAgain(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, 1)
	_, first := submit(s, request("a"), 0)
	_, second := submit(s, request("a"), 0)
	s.RecordProgress("e1", &pool.Progress{ID: second[0].Placement.ID, Stage: place.StageDecode}, 100*time.Millisecond)
	req := request("a")
	req.Class, req.KVSource = "patient", "p1"
	_, out := submit(s, req, 100*time.Millisecond)
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
	retry := request("a")
	retry.Resumed = true
	placed := func(n int, req *place.Request) int {
		ok := 0
		for range n {
			_, out := submit(s, req, 0)
			if out[0].Placed() {
				ok++
				continue
			}
			is.Equal(out[0].Reason, pool.ReasonRetryBudget)
			is.Equal(out[0].Code, fail.CodeOverloaded)
		}
		return ok
	}
	is.Equal(placed(50, retry), 32)
	is.Equal(placed(50, request("b")), 50)
	is.Equal(placed(10, retry), 5) // one retry for ten new requests
}

// TestLongOutputIsCharged guards against free output: a customer whose output exceeds its estimate
// must yield to another customer.
func TestLongOutputIsCharged(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, 1)
	deferrable := func(c ident.Customer) *place.Request {
		a := request(c)
		a.Class = "patient"
		return a
	}
	_, a := submit(s, deferrable("a"), 0)
	_, b := submit(s, deferrable("b"), 0)
	submit(s, deferrable("a"), 0)
	next, _ := submit(s, deferrable("b"), 0)
	s.RecordProgress("e1", &pool.Progress{ID: a[0].Placement.ID, Stage: place.StageDecode, OutputTokens: 3000}, time.Millisecond)
	s.RecordProgress("e1", &pool.Progress{ID: b[0].Placement.ID, Stage: place.StageDone, OutputTokens: 100}, time.Millisecond)
	out := s.Dispatch(2*time.Millisecond, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, next)
}
