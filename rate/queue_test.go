package rate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const ms = time.Millisecond

// arrival is a request that arrives at an instance.
type arrival struct {
	at      time.Duration
	tokens  int
	maxWait time.Duration
}

// outcome is the decision on a request.
type outcome struct {
	decision decision
	after    time.Duration
}

// simulateQueue sends requests of one customer to an instance and returns their outcomes.
// If fresh is false, the instance has one reachable peer and starts with a full bucket.
// Otherwise it has just started and knows of no peer.
func simulateQueue(c *route.Customer, fresh bool, list []arrival, each func(l *Limiter, now time.Duration)) []outcome {
	const step = 5 * ms
	clock := tick.NewFake(0)
	l := NewLimiter(clock)
	if !fresh {
		l.TryAdmit(c, 0)
		clock.Advance(time.Minute)
	}
	out := make([]outcome, len(list))
	waiters := make([]*waiter, len(list))
	for now := time.Duration(0); now < 3*time.Second; now += step {
		if !fresh {
			l.SetPeerUsage("peer", nil, clock.Now())
		}
		if each != nil {
			each(l, now)
		}
		for i, a := range list {
			if now < a.at || out[i].after > 0 {
				continue
			}
			if waiters[i] == nil {
				waiters[i] = &waiter{customer: c, tokens: a.tokens, deadline: clock.Now() + a.maxWait}
			}
			_, v := l.tryAdmit(waiters[i])
			if v != queued {
				out[i] = outcome{v, now - a.at + 1}
				l.dequeue(waiters[i])
			}
		}
		clock.Advance(step)
	}
	return out
}

func count(out []outcome, v decision) int {
	n := 0
	for _, o := range out {
		if o.decision == v {
			n++
		}
	}
	return n
}

// TestQueueAbsorbsShortOverload sends one and a half times a customer's burst at once. No
// request is rejected if it may wait for a moment; without the wait 3 of the 15 are.
func TestQueueAbsorbsShortOverload(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 40_000}
	load := func(maxWait time.Duration) []arrival {
		var list []arrival
		for range 15 {
			list = append(list, arrival{100 * ms, 4_000, maxWait})
		}
		return list
	}
	is.Equal(count(simulateQueue(c, false, load(0), nil), rejected), 3)
	served := simulateQueue(c, false, load(300*ms), nil)
	is.Equal(count(served, rejected), 0)
	for _, o := range served {
		is.True(o.after <= 300*ms)
	}
}

// TestOverloadIsRejectedAtOnce sends ten times a customer's rate. A request whose tokens
// come too late must be rejected at once, and the rate must still be used in full.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 4_000}
	var list []arrival
	for i := range 200 {
		list = append(list, arrival{time.Duration(i) * 10 * ms, 4_000, 200 * ms})
	}
	used := 0
	for i, o := range simulateQueue(c, false, list, nil) {
		switch {
		case o.decision == admitted && list[i].at+o.after <= 2*time.Second:
			used += list[i].tokens
		case o.decision == rejected && o.after > 1:
			t.Errorf("request %d was rejected after %v, want at once", i, o.after)
		}
	}
	is.True(used > 70_000 && used <= 40_000*2+4_000+10_000)
}

// TestEarliestDeadlineGoesFirst queues a small request with a short deadline behind large
// ones with later deadlines.
func TestEarliestDeadlineGoesFirst(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 40_000}
	out := simulateQueue(c, false, []arrival{
		{0, 50_000, 0}, // takes all tokens
		{100 * ms, 8_000, 400 * ms}, {100 * ms, 8_000, 600 * ms}, {110 * ms, 200, 100 * ms},
	}, nil)
	is.Equal(count(out, admitted), 4)
	is.True(out[3].after < out[1].after)
	is.True(out[1].after < out[2].after)
}

// TestRequestsWaitForPeerDiscovery starts a process in a running fleet. Until it has
// discovered its peers it may use only a small fraction of each limit. Requests that
// arrive in that time must be queued instead of rejected.
func TestRequestsWaitForPeerDiscovery(t *testing.T) {
	const peers = 8
	c := &route.Customer{Name: "sur", Rate: 47_000, Burst: 47_000}
	discover := func(l *Limiter, now time.Duration) {
		if now == 100*ms {
			l.SetPeerCount(peers)
			for i := range peers {
				l.SetPeerUsage(fmt.Sprint(i), map[string]int64{}, now)
			}
		}
	}
	list := []arrival{{5 * ms, 4_000, 225 * ms}, {50 * ms, 4_000, 225 * ms}}
	tests := []struct {
		name     string
		maxWait  time.Duration
		rejected int
	}{
		{"no wait allowed", 0, 2},
		{"wait allowed", 225 * ms, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for i := range list {
				list[i].maxWait = tt.maxWait
			}
			is.Equal(count(simulateQueue(c, true, list, discover), rejected), tt.rejected)
		})
	}
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := NewLimiter(clock)
	c := &route.Customer{Name: "sur", Rate: 1_000, Burst: 1_000}
	clock.Advance(time.Minute)
	l.TryAdmit(c, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	wait, ok := l.Admit(ctx, c, 100_000, 24*time.Hour)
	is.True(!ok)
	is.Equal(wait, time.Duration(0))
	is.Equal(len(l.buckets["sur"].queue), 0)
}
