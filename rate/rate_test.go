package rate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/rate"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// The published tolerance: in each window a customer may use
// (rate x window + burst) x (1 + excess) + slack tokens.
const (
	window = 8 * time.Second
	excess = 0.25
	slack  = 140_000
)

func customer() *route.Customer { return &route.Customer{Name: "sur", Rate: 72_000, Burst: 72_000} }

// instance is an instance with its limiter and clock.
type instance struct {
	name        string
	clock       *tick.Fake
	limiter     *rate.Limiter
	partition   int // instances with the same number can reach each other
	incarnation int // increases with each start
	start       time.Duration
}

// fleet is a set of instances that exchange their usage.
type fleet struct {
	instances       []*instance
	used            []charge
	discovery       time.Duration // longest time after a start until two instances discover each other
	countKnownAfter time.Duration // time after a start at which instances receive the instance count, 0 for never
}

// charge is an admitted request.
type charge struct {
	at     time.Duration
	tokens int
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		in := &instance{name: fmt.Sprint("i", i), clock: tick.NewFake(0)}
		in.limiter = rate.NewLimiter(in.clock)
		f.instances = append(f.instances, in)
	}
	return f
}

// advance moves the clocks to now. If exchange is true, the instances exchange their usage.
func (f *fleet) advance(now time.Duration, exchange bool) {
	for _, in := range f.instances {
		in.clock.Advance(now - in.clock.Now())
	}
	if !exchange {
		return
	}
	for _, in := range f.instances {
		if f.countKnownAfter > 0 && now >= in.start+f.countKnownAfter {
			in.limiter.SetPeerCount(len(f.instances) - 1)
		}
	}
	for _, from := range f.instances {
		used, retryTokens := from.limiter.Used(), from.limiter.RetryTokens()
		for _, to := range f.instances {
			if from != to && from.partition == to.partition && now >= max(from.start, to.start)+f.discoveryDelay(from, to) {
				name := fmt.Sprint(from.name, "/", from.incarnation)
				to.limiter.SetPeerUsage(name, used, now)
				to.limiter.SetPeerRetryTokens(name, retryTokens)
			}
		}
	}
}

// discoveryDelay returns how long two instances take to discover each other after a start.
func (f *fleet) discoveryDelay(a, b *instance) time.Duration {
	return f.discovery * time.Duration(route.Hash(a.name+b.name)%100) / 100
}

// restart restarts all instances.
func (f *fleet) restart(now time.Duration) {
	for _, in := range f.instances {
		in.incarnation++
		in.start = now
		in.limiter = rate.NewLimiter(in.clock)
	}
}

// maxInWindow returns the largest number of tokens used in any window.
func (f *fleet) maxInWindow() int {
	maxSum, sum, first := 0, 0, 0
	for _, u := range f.used {
		sum += u.tokens
		for f.used[first].at <= u.at-window {
			sum -= f.used[first].tokens
			first++
		}
		maxSum = max(maxSum, sum)
	}
	return maxSum
}

// TestLimitHoldsUnderPartitions sends seven times a customer's rate to random instances
// while network partitions form and heal. Each partition must use only its fraction.
func TestLimitHoldsUnderPartitions(t *testing.T) {
	const bound = int((72_000*8+72_000)*(1+excess)) + slack
	tests := []struct {
		name        string
		n           int
		repartition func(f *fleet, now time.Duration, rnd *rand.Rand)
	}{
		{name: "all reachable", n: 9, repartition: func(*fleet, time.Duration, *rand.Rand) {}},
		{name: "each isolated", n: 9, repartition: func(f *fleet, now time.Duration, _ *rand.Rand) {
			for i, in := range f.instances {
				in.partition = i * int(min(now/(3*time.Second), 1))
			}
		}},
		{name: "two partitions that merge again", n: 9, repartition: func(f *fleet, now time.Duration, _ *rand.Rand) {
			for i, in := range f.instances {
				in.partition = i % 2 * int(now/(4*time.Second)%2)
			}
		}},
		{name: "each isolated from the start", n: 9, repartition: func(f *fleet, _ time.Duration, _ *rand.Rand) {
			for i, in := range f.instances {
				in.partition = i
			}
		}},
		{name: "random partitions", n: 9, repartition: func(f *fleet, now time.Duration, rnd *rand.Rand) {
			if now%(2*time.Second) == 0 && now > 0 {
				for _, in := range f.instances {
					in.partition = rnd.IntN(3)
				}
			}
		}},
		{name: "many instances", n: 45, repartition: func(f *fleet, now time.Duration, _ *rand.Rand) {
			for i, in := range f.instances {
				in.partition = i % 3 * int(now/(5*time.Second)%2)
			}
		}},
	}
	for _, tt := range tests {
		for seed := range uint64(45 / tt.n) { // the running time grows with about the square of n
			t.Run(fmt.Sprint(tt.name, " ", seed), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				f := newFleet(tt.n)
				c := customer()
				for now := time.Duration(0); now < 40*time.Second; now += 20 * time.Millisecond {
					tt.repartition(f, now, rnd)
					f.advance(now, now%(100*time.Millisecond) == 0)
					// Sends seven times the rate to random instances.
					for range 2 {
						in := f.instances[rnd.IntN(len(f.instances))]
						if _, ok := in.limiter.TryAdmit(c, 5_400); ok {
							f.used = append(f.used, charge{now, 5_400})
						}
					}
				}
				if got := f.maxInWindow(); got > bound {
					t.Errorf("%d tokens used within %v, want at most %d", got, window, bound)
				}
			})
		}
	}
}

// TestLimitHoldsWhenAllRestart restarts many instances at once under ten times a
// customer's rate. The new processes discover each other one by one and must not use more
// than the limit meanwhile.
func TestLimitHoldsWhenAllRestart(t *testing.T) {
	const bound = int((36_000*8+36_000)*(1+excess)) + slack
	for _, n := range []int{30, 95, 364} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 8))
			f := newFleet(n)
			f.discovery, f.countKnownAfter = 3*time.Second, 400*time.Millisecond
			c := &route.Customer{Name: "sur", Rate: 36_000, Burst: 36_000}
			for now := time.Duration(0); now < 22*time.Second; now += 20 * time.Millisecond {
				if now == 12*time.Second {
					f.restart(now)
				}
				f.advance(now, now%(200*time.Millisecond) == 0)
				for range 2 { // ten times the rate
					in := f.instances[rnd.IntN(n)]
					if _, ok := in.limiter.TryAdmit(c, 3_600); ok {
						f.used = append(f.used, charge{now, 3_600})
					}
				}
			}
			if got := f.maxInWindow(); got > bound {
				t.Errorf("%d tokens used within %v, want at most %d", got, window, bound)
			}
			if got := f.maxInWindow(); got < 36_000*8 {
				t.Errorf("%d tokens used within %v, want at least the rate", got, window)
			}
		})
	}
}

// TestNoRejectionWithinRate sends eight tenths of the rate, spread unevenly over the
// instances. A request that a single central bucket would admit must not be rejected.
// The first second is left out, as processes start with a fraction of each burst only.
func TestNoRejectionWithinRate(t *testing.T) {
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(9)
		c := customer()
		rejected, level := 0, c.Burst
		for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
			f.advance(now, true)
			level = min(level+c.Rate/10, c.Burst)
			for range 107 { // 57,600 tokens a second
				if rnd.IntN(100) > 0 {
					continue
				}
				in := f.instances[min(rnd.IntN(9), rnd.IntN(9))]
				_, ok := in.limiter.TryAdmit(c, 5_400)
				if level < 5_400 {
					continue // beyond the limit
				}
				level -= 5_400
				if !ok && now > time.Second {
					rejected++
				}
			}
		}
		if rejected > 0 {
			t.Errorf("seed %d: %d requests within the rate were rejected", seed, rejected)
		}
	}
}

func TestRetryAfterSuffices(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := rate.NewLimiter(clock)
	c := customer()
	var wait time.Duration
	for ok := true; ok; {
		wait, ok = l.TryAdmit(c, 5_400)
	}
	is.True(wait > 0)
	clock.Advance(wait + time.Millisecond)
	_, ok := l.TryAdmit(c, 5_400)
	is.True(ok) // a retry after Retry-After is admitted
}

// TestRetryAfterSpreadsRetries overloads a customer for a second. The rejected requests
// are retried once, after their Retry-After, without other requests meanwhile. Few may be
// rejected a second time: a Retry-After counts the retries that peers expect, too.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	c := customer()
	retries := make(map[time.Duration][]*instance)
	served, rejected, rejectedAgain := 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		f.advance(now, now%(100*time.Millisecond) == 0)
		for _, in := range retries[now] {
			if _, ok := in.limiter.TryAdmit(c, 5_400); ok {
				served++
			} else {
				rejectedAgain++
			}
		}
		if now < 2*time.Second || now >= 3*time.Second {
			continue
		}
		in := f.instances[int(now/(10*time.Millisecond))%3]
		if wait, ok := in.limiter.TryAdmit(c, 5_400); !ok {
			rejected++
			at := (now + wait).Truncate(10*time.Millisecond) + 20*time.Millisecond
			retries[at] = append(retries[at], in)
		}
	}
	is.True(rejected > 30)
	is.Equal(served+rejectedAgain, rejected)
	if rejectedAgain > rejected/4 { // instances receive each other's rejections late
		t.Errorf("%d of %d requests were rejected again when retried after Retry-After", rejectedAgain, rejected)
	}
}

func TestLimitChanges(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := rate.NewLimiter(clock)
	c := customer()
	clock.Advance(time.Second) // peer discovery has ended
	_, ok := l.TryAdmit(c, 1_000)
	is.True(ok)
	lower := &route.Customer{Name: "sur", Rate: 100, Burst: 100}
	_, ok = l.TryAdmit(lower, 1_000)
	is.True(ok) // larger than the burst: admitted when the bucket is full
	wait, ok := l.TryAdmit(lower, 1_000)
	is.True(!ok)
	is.True(wait > 5*time.Second)
	_, ok = l.TryAdmit(&route.Customer{Name: "sur"}, 1_000_000)
	is.True(ok) // no limit
}

func TestRefund(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := rate.NewLimiter(clock)
	c := customer()
	l.TryAdmit(c, 1)
	clock.Advance(10 * time.Second) // the bucket is full
	for range 100 {
		_, ok := l.TryAdmit(c, 72_000)
		is.True(ok)
		l.Refund(c, 72_000)
	}
	is.Equal(l.Used()["sur"], int64(1))
}

func TestRemovedPeersAreNotCounted(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := rate.NewLimiter(clock)
	for i := range 3 {
		l.SetPeerUsage(fmt.Sprint("p", i), nil, 0)
	}
	is.Equal(l.InstanceCount(), 4)
	l.RemovePeer("p0")
	is.Equal(l.InstanceCount(), 3)
	l.Sweep(time.Minute)
	is.Equal(l.InstanceCount(), 1)
}

// TestRetriesStayWithinBudget lets every instance retry as often as its budget allows. The sum
// over all instances must stay within the budget in every sliding window.
func TestRetriesStayWithinBudget(t *testing.T) {
	const (
		ratio        = 0.2
		extra        = 58.0
		budgetWindow = 10 * time.Second
	)
	for _, n := range []int{1, 8, 9, 32, 75} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			clock := tick.NewFake(0)
			rnd := rand.New(rand.NewPCG(uint64(n), 3))
			var all []*rate.FleetRetryBudget
			for range n {
				all = append(all, rate.NewFleetRetryBudget(rate.FleetRetryBudgetConfig{Ratio: ratio, Extra: extra, Window: budgetWindow}, clock,
					func() int { return n }))
			}
			var requests, retries []time.Duration
			for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
				clock.Advance(now - clock.Now())
				for range 2 {
					r := all[rnd.IntN(n)]
					r.RecordRequest("s")
					requests = append(requests, now)
					for r.Allow("s") {
						retries = append(retries, now)
					}
				}
				in := func(times []time.Duration) int {
					k := 0
					for i := len(times) - 1; i >= 0 && times[i] > now-budgetWindow; i-- {
						k++
					}
					return k
				}
				if limit := ratio*float64(in(requests)) + extra; float64(in(retries)) > limit {
					t.Fatalf("%d retries in the window before %v, want at most %.0f", in(retries), now, limit)
				}
			}
			if len(retries) == 0 {
				t.Error("no retry was allowed")
			}
		})
	}
}

func TestRetryBudgetWithoutKnownPeers(t *testing.T) {
	is := is.New(t)
	r := rate.NewFleetRetryBudget(rate.FleetRetryBudgetConfig{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, tick.NewFake(0),
		func() int { return 1 })
	n := 0
	for r.Allow("s") {
		n++
	}
	is.True(n*9 <= 58) // nine instances that know of no peer stay within the budget together
}
