package share

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

// arrival is a request that comes to an instance.
type arrival struct {
	at       time.Duration
	tokens   int
	patience time.Duration
}

// outcome is what became of it.
type outcome struct {
	verdict verdict
	after   time.Duration
}

// playLine has requests of one customer come to one of two instances that hear
// each other, whose bucket is full at the start, or to one that has just started
// and knows nobody.
func playLine(c *route.Customer, fresh bool, list []arrival, each func(l *Limiter, now time.Duration)) []outcome {
	const step = 5 * ms
	clock := tick.NewFake(0)
	l := NewLimiter(clock)
	if !fresh {
		l.Charge(c, 0)
		clock.Advance(time.Minute)
	}
	out := make([]outcome, len(list))
	tickets := make([]*ticket, len(list))
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
			if tickets[i] == nil {
				tickets[i] = &ticket{customer: c, tokens: a.tokens, end: clock.Now() + a.patience}
			}
			_, v := l.ask(tickets[i])
			if v != waiting {
				out[i] = outcome{v, now - a.at + 1}
				l.quit(tickets[i])
			}
		}
		clock.Advance(step)
	}
	return out
}

func count(out []outcome, v verdict) int {
	n := 0
	for _, o := range out {
		if o.verdict == v {
			n++
		}
	}
	return n
}

// TestMomentOverTheLimit has a customer send one and a half times its burst at
// once. It is served a little later; without the wait a third is refused.
func TestMomentOverTheLimit(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 40_000}
	load := func(patience time.Duration) []arrival {
		var list []arrival
		for range 15 {
			list = append(list, arrival{100 * ms, 4_000, patience})
		}
		return list
	}
	is.Equal(count(playLine(c, false, load(0), nil), denied), 3)
	served := playLine(c, false, load(300*ms), nil)
	is.Equal(count(served, denied), 0)
	for _, o := range served {
		is.True(o.after <= 300*ms)
	}
}

// TestFloodIsRefusedAtOnce has a customer send ten times its rate: who cannot be
// served in time is told at once, and the rate is used.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 4_000}
	var list []arrival
	for i := range 200 {
		list = append(list, arrival{time.Duration(i) * 10 * ms, 4_000, 200 * ms})
	}
	used := 0
	for i, o := range playLine(c, false, list, nil) {
		switch {
		case o.verdict == granted && list[i].at+o.after <= 2*time.Second:
			used += list[i].tokens
		case o.verdict == denied && o.after > 1:
			t.Errorf("request %d was refused after %v", i, o.after)
		}
	}
	is.True(used > 70_000 && used <= 40_000*2+4_000+10_000)
}

// TestWhoCanWaitLeastGoesFirst has small requests with little time come behind
// large ones.
func TestWhoCanWaitLeastGoesFirst(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Rate: 40_000, Burst: 40_000}
	out := playLine(c, false, []arrival{
		{0, 50_000, 0}, // takes all that is there
		{100 * ms, 8_000, 400 * ms}, {100 * ms, 8_000, 600 * ms}, {110 * ms, 200, 100 * ms},
	}, nil)
	is.Equal(count(out, granted), 4)
	is.True(out[3].after < out[1].after)
	is.True(out[1].after < out[2].after)
}

// TestFreshProcessWaitsForTheOthers has a process start in a fleet: until it has
// found the others it may use little, and who comes meanwhile is not refused.
func TestFreshProcessWaitsForTheOthers(t *testing.T) {
	const peers = 8
	c := &route.Customer{Name: "sur", Rate: 47_000, Burst: 47_000}
	find := func(l *Limiter, now time.Duration) {
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
		patience time.Duration
		denied   int
	}{
		{"without a wait", 0, 2},
		{"with one", 225 * ms, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for i := range list {
				list[i].patience = tt.patience
			}
			is.Equal(count(playLine(c, true, list, find), denied), tt.denied)
		})
	}
}

func TestLeaversFreeTheLine(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	l := NewLimiter(clock)
	c := &route.Customer{Name: "sur", Rate: 1_000, Burst: 1_000}
	clock.Advance(time.Minute)
	l.Charge(c, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	wait, ok := l.Admit(ctx, c, 100_000, 24*time.Hour)
	is.True(!ok)
	is.Equal(wait, time.Duration(0))
	is.Equal(len(l.buckets["sur"].line), 0)
}
