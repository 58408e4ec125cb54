package fair_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const never = tick.Instant(1 << 60)

// serve pops up to n items and returns the cost served by customer.
func serve(q *fair.Queue, n int, now tick.Instant) map[ident.Customer]int64 {
	out := make(map[ident.Customer]int64)
	for range n {
		it, ok := q.Peek(true)
		if !ok {
			break
		}
		q.Pop(it, now)
		out[it.Customer] += it.Cost
	}
	return out
}

// TestShareFollowsWeights guards against shares that deviate from the weights, also when one
// customer floods the queue.
func TestShareFollowsWeights(t *testing.T) {
	tests := []struct {
		name    string
		weights map[ident.Customer]float64
		pushed  map[ident.Customer]int
	}{
		{"equal", map[ident.Customer]float64{"a": 1, "b": 1}, map[ident.Customer]int{"a": 400, "b": 400}},
		{"one to three", map[ident.Customer]float64{"a": 1, "b": 3}, map[ident.Customer]int{"a": 400, "b": 400}},
		{"flood", map[ident.Customer]float64{"a": 1, "b": 1}, map[ident.Customer]int{"a": 1000, "b": 210}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := fair.New(fair.Config{ExpectedRate: 1000})
			var id uint64
			var sum float64
			for c, n := range tt.pushed {
				q.SetWeight(c, tt.weights[c])
				sum += tt.weights[c]
				for range n {
					id++
					_, ok := q.Push(fair.Item{ID: id, Customer: c, Cost: 10, StartBy: never}, 0)
					is.True(ok)
				}
			}
			got := serve(q, 400, 0)
			for c, w := range tt.weights {
				want := 4000 * w / sum
				is.True(float64(got[c]) >= want-20) // within two items of its share
				is.True(float64(got[c]) <= want+20)
			}
		})
	}
}

// TestBackloggedCustomerGetsShare guards against a customer that falls behind under random arrivals:
// one that always has a backlog gets its share less a constant.
func TestBackloggedCustomerGetsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New(fair.Config{ExpectedRate: 1000})
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		var sum float64
		weights := make([]float64, n)
		name := func(i int) ident.Customer { return ident.Customer(fmt.Sprintf("c%d", i)) }
		for i := range n {
			weights[i] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			sum += weights[i]
			q.SetWeight(name(i), weights[i])
		}
		var id uint64
		var total int64
		got := make(map[ident.Customer]int64)
		const maxCost = 500
		for range 1500 {
			for i := range n {
				// The first customer always has a backlog.
				for i == 0 && q.CustomerBacklog(name(0)) < 3*maxCost {
					id++
					q.Push(fair.Item{ID: id, Customer: name(0), Cost: rapid.Int64Range(1, maxCost).Draw(t, "cost"), StartBy: never}, 0)
				}
			}
			c := name(rapid.IntRange(1, n-1).Draw(t, "customer"))
			id++
			q.Push(fair.Item{ID: id, Customer: c, Cost: rapid.Int64Range(1, maxCost).Draw(t, "cost"), StartBy: never}, 0)
			it, _ := q.Peek(true)
			q.Pop(it, 0)
			got[it.Customer] += it.Cost
			total += it.Cost
		}
		// Idle customers may spend a credit of two seconds of service once.
		want := float64(total)*weights[0]/sum - 2*1000*float64(n) - 2*maxCost*float64(n)
		if float64(got["c0"]) < want {
			t.Fatalf("customer with a backlog was served %d of %d, want at least %.0f", got["c0"], total, want)
		}
	})
}

// TestInteractiveGoesFirstWithoutStarvation guards against interactive items that starve deferrable
// items, whether of another customer or of the same customer.
func TestInteractiveGoesFirstWithoutStarvation(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000, MaxLead: time.Second})
	var id uint64
	push := func(c ident.Customer, r fair.Priority) {
		id++
		_, ok := q.Push(fair.Item{ID: id, Customer: c, Priority: r, Cost: 100, StartBy: never}, 0)
		is.True(ok)
	}
	for range 40 {
		push("a", fair.Deferrable)
		push("b", fair.Interactive)
	}
	it, _ := q.Peek(true)
	is.Equal(it.Customer, ident.Customer("b")) // interactive items go first
	got := serve(q, 40, 0)
	is.True(got["a"] >= 1500) // b is ahead by at most the lead, so a gets about half
	is.True(got["a"] <= 2000)

	// Within one customer one part in four goes to the deferrable class.
	q = fair.New(fair.Config{ExpectedRate: 1000})
	for range 40 {
		push("a", fair.Deferrable)
		push("a", fair.Interactive)
	}
	deferrable := 0
	for range 40 {
		it, _ := q.Peek(true)
		q.Pop(it, 0)
		if it.Priority == fair.Deferrable {
			deferrable++
		}
	}
	is.Equal(deferrable, 10)
}

// TestFloodDelaysOnlyItsOwnCustomer guards against a flood of one customer that fills the queue for
// the others.
func TestFloodDelaysOnlyItsOwnCustomer(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000, MaxItemsPerCustomer: 50})
	rejected := 0
	for i := range 500 {
		if retryAfter, ok := q.Push(fair.Item{ID: uint64(i + 1), Customer: "flood", Cost: 100, StartBy: 10 * time.Second}, 0); !ok {
			is.True(retryAfter > 0)
			rejected++
		}
	}
	is.True(rejected >= 450)
	wait, ok := q.Push(fair.Item{ID: 1000, Customer: "small", Cost: 100, StartBy: time.Second}, 0)
	is.True(ok)
	is.Equal(wait, time.Duration(0))
	q.Pop(fair.Item{ID: 1, Customer: "flood", Cost: 100}, 0)
	it, _ := q.Peek(true)
	is.Equal(it.Customer, ident.Customer("small"))
}

// TestRejectLateRejectsAtOnce guards against items that are predicted to start late but stay queued:
// each customer alone could be served in time, all together not.
func TestRejectLateRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000})
	for i := range 30 {
		_, ok := q.Push(fair.Item{ID: uint64(i + 1), Customer: ident.Customer(fmt.Sprint(i)), Cost: 100, StartBy: time.Second}, 0)
		is.True(ok) // each customer alone could start at once
	}
	out := q.RejectLate(0, nil)
	is.Equal(len(out), 19) // at 1000 per second ten start within the second and one at its end
	for i, r := range out {
		// The next item would start when the eleven ahead of it have been served.
		is.Equal(r.RetryAfter, 100*time.Millisecond)
		is.True(i < 30)
	}
	is.Equal(q.Len(), 11)
	is.Equal(len(q.RejectLate(0, nil)), 0)
}

// TestAdjustCostChangesShare guards against customers that gain by outputs longer than estimated.
func TestAdjustCostChangesShare(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000})
	for i := range 20 {
		q.Push(fair.Item{ID: uint64(2*i + 1), Customer: "a", Cost: 100, StartBy: never}, 0)
		q.Push(fair.Item{ID: uint64(2*i + 2), Customer: "b", Cost: 100, StartBy: never}, 0)
	}
	it, _ := q.Peek(true)
	is.Equal(it.Customer, ident.Customer("a"))
	q.Pop(it, 0)
	q.AdjustCost("a", 500) // the output was longer than estimated
	got := serve(q, 6, 0)
	is.Equal(got["b"], int64(600))
}

// TestRemoveUpdatesLengthAndBacklog guards against a length, a backlog or an item that is wrong
// after random pushes, pops and removals.
func TestRemoveUpdatesLengthAndBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New(fair.Config{ExpectedRate: 1000})
		live := make(map[uint64]fair.Item)
		var id uint64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				id++
				it := fair.Item{ID: id, Customer: ident.Customer(fmt.Sprint(id % 5)), Priority: fair.Priority(id % 2), Cost: int64(id%7 + 1), StartBy: never}
				if _, ok := q.Push(it, 0); ok {
					live[id] = it
				}
			case 1:
				for n := range live {
					q.Remove(n)
					delete(live, n)
					break
				}
			default:
				it, ok := q.Peek(true)
				if ok != (len(live) > 0) {
					t.Fatalf("Peek returned %v with %d queued items", ok, len(live))
				}
				if ok {
					if _, known := live[it.ID]; !known {
						t.Fatalf("Peek returned item %d, which is not queued", it.ID)
					}
					q.Pop(it, 0)
					delete(live, it.ID)
				}
			}
			var cost int64
			for _, it := range live {
				cost += it.Cost
			}
			if q.Len() != len(live) || q.Backlog() != cost {
				t.Fatalf("length %d and backlog %d, want %d and %d", q.Len(), q.Backlog(), len(live), cost)
			}
		}
	})
}

// TestEstimateFollowsCustomer guards against estimates that ignore the customer's completed
// requests or mix customers.
func TestEstimateFollowsCustomer(t *testing.T) {
	is := is.New(t)
	o := fair.NewOutputEstimator()
	is.Equal(o.Estimate("a", 50), int64(50))
	for range 100 {
		o.Record("a", 400)
	}
	is.True(o.Estimate("a", 0) > 390)
	is.True(o.Estimate("b", 0) < 390)
}

// TestIdleCreditIsBounded guards against a customer that was idle and then takes over the pool.
func TestIdleCreditIsBounded(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000, MaxIdleCredit: time.Second})
	push := func(c ident.Customer, from, n int) {
		for i := range n {
			_, ok := q.Push(fair.Item{ID: uint64(from + i), Customer: c, Cost: 100, StartBy: never}, 0)
			is.True(ok)
		}
	}
	q.SetWeight("idle", 1)
	push("busy", 1, 200)
	serve(q, 100, 0) // serves a cost of 10,000 while the other customer is idle
	push("idle", 1000, 100)
	got := serve(q, 40, 0)
	is.True(got["idle"] >= 2000) // half of the cost
	is.True(got["idle"] <= 3100) // and one second of credit
}

// TestSlowServiceShortensQueue guards against a queue that admits items at the expected rate
// although the pool serves half of it.
func TestSlowServiceShortensQueue(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000})
	var id uint64
	fill := func(now tick.Instant) int {
		n := 0
		for {
			id++
			if _, ok := q.Push(fair.Item{ID: id, Customer: "a", Cost: 100, StartBy: now + 10*time.Second}, now); !ok {
				return n
			}
			n++
		}
	}
	is.Equal(fill(0), 101)
	// The pool serves half of the expected rate for ten seconds.
	now := tick.Instant(0)
	for range 50 {
		now += 200 * time.Millisecond
		it, _ := q.Peek(true)
		q.Pop(it, now)
	}
	is.True(q.Rate() < 600)
	left := q.Len()
	is.Equal(left, 51)
	is.True(fill(now) <= 10) // about half as many may be queued now
}

// TestRetryTimesAreStaggered guards against callers that all retry at once: rejected items of one
// customer get increasing Retry-After times.
func TestRetryTimesAreStaggered(t *testing.T) {
	is := is.New(t)
	q := fair.New(fair.Config{ExpectedRate: 1000})
	reject := func(id uint64, now tick.Instant) time.Duration {
		retryAfter, ok := q.Push(fair.Item{ID: id, Customer: "a", Cost: 500, StartBy: now + time.Second}, now)
		is.True(!ok)
		return retryAfter
	}
	for i := range 3 {
		_, ok := q.Push(fair.Item{ID: uint64(i + 1), Customer: "a", Cost: 500, StartBy: time.Second}, 0)
		is.True(ok)
	}
	is.Equal(reject(10, 0), 500*time.Millisecond)
	is.Equal(reject(11, 0), time.Second)
	is.Equal(reject(12, 0), 1500*time.Millisecond)
	// A second later the customer could have been served two of the rejected items.
	is.Equal(reject(13, time.Second), time.Second)
	for i := range 1000 {
		is.True(reject(uint64(100+i), time.Second) <= 30*time.Second)
	}
}
