package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/tick"
)

// TestStages guards against a process that ends while a request is active, or takes one after that or goes back.
func TestStages(t *testing.T) {
	begin := func(d *drain.Tracker) { d.Drain(2*time.Second, 5*time.Second) }
	closeIfIdle := func(d *drain.Tracker) { d.CloseIfIdle() }
	tests := []struct {
		name   string
		steps  []func(*drain.Tracker)
		stage  drain.Stage
		taken  bool // a request that comes now is taken
		ending bool // requests in progress must be answered
		end    bool
	}{
		{name: "serving", taken: true},
		{name: "draining", steps: []func(*drain.Tracker){begin}, stage: drain.Draining, taken: true},
		{name: "idle", steps: []func(*drain.Tracker){begin, closeIfIdle}, stage: drain.Closing},
		{name: "active", steps: []func(*drain.Tracker){begin, enter, closeIfIdle}, stage: drain.Draining, taken: true},
		{name: "active, left", steps: []func(*drain.Tracker){begin, enter, (*drain.Tracker).Leave, closeIfIdle}, stage: drain.Closing},
		{name: "active, time is up", steps: []func(*drain.Tracker){begin, enter, (*drain.Tracker).Close}, stage: drain.Closing, ending: true},
		{name: "idle, then time is up", steps: []func(*drain.Tracker){begin, closeIfIdle, (*drain.Tracker).Close}, stage: drain.Closing, ending: true},
		{name: "drained twice", steps: []func(*drain.Tracker){begin, closeIfIdle, begin}, stage: drain.Closing},
		{name: "cut", steps: []func(*drain.Tracker){begin, closeIfIdle, (*drain.Tracker).Cut, begin}, stage: drain.Closed, ending: true, end: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := drain.New(tick.NewFake(time.Second))
			for _, step := range tt.steps {
				step(d)
			}
			is.Equal(d.Stage(), tt.stage)
			active := d.Active()
			is.Equal(d.Enter(), tt.taken)
			is.Equal(d.Active(), active+1) // one that is not taken counts until it leaves
			is.Equal(d.Refused() == 0, tt.taken)
			is.Equal(d.Ending().Err() != nil, tt.ending)
			is.Equal(d.End().Err() != nil, tt.end)
		})
	}
}

func enter(d *drain.Tracker) { d.Enter() }

// TestWeigh guards against a process that takes requests which it may have to cut, or refuses what is certain to end in time.
func TestWeigh(t *testing.T) {
	const (
		noticed = 3 * time.Second
		end     = 8 * time.Second
		before  = 2 * time.Second // a moment at which the load balancer has not noticed yet
		after   = 4 * time.Second
	)
	tests := []struct {
		name       string
		now        tick.Instant
		received   tick.Instant
		deadline   tick.Instant
		usual      time.Duration
		repeatable bool
		taken      bool
	}{
		{name: "certain to end", now: after, deadline: end, usual: time.Hour, taken: true},
		{name: "certain to end, before the notice", now: before, deadline: end, usual: time.Hour, taken: true},
		{name: "uncertain, usually short", now: after, deadline: end + 1, usual: time.Millisecond},
		{name: "uncertain, nothing known", now: after, deadline: end + 1},
		{name: "uncertain, usually long", now: after, deadline: end + 1, usual: time.Minute},
		{name: "uncertain at the notice", now: noticed, deadline: end + 1, usual: time.Millisecond},
		{name: "uncertain right before the notice", now: noticed - 1, deadline: end + 1, usual: time.Millisecond, taken: true},
		{name: "received before the notice, usually short", now: after, received: before, deadline: time.Hour, usual: 4 * time.Second, taken: true},
		{name: "received before the notice, usually long", now: after, received: before, deadline: time.Hour, usual: 4*time.Second + 1},
		{name: "received at the notice, usually short", now: after, received: noticed, deadline: time.Hour, usual: time.Millisecond},
		{name: "usually short, before the notice", now: before, deadline: time.Hour, usual: 6 * time.Second, taken: true},
		{name: "usually long, before the notice", now: before, deadline: time.Hour, usual: 6*time.Second + 1},
		{name: "repeatable, usually short", now: after, deadline: time.Hour, usual: 4 * time.Second, repeatable: true, taken: true},
		{name: "repeatable, usually long", now: after, deadline: time.Hour, usual: 4*time.Second + 1, repeatable: true},
		{name: "late", now: end + 1, deadline: time.Hour, repeatable: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := tick.NewFake(time.Second)
			d := drain.New(clock)
			r := drain.Request{Received: tt.received, Deadline: tt.deadline, Usual: tt.usual, Repeatable: tt.repeatable}
			v := d.Weigh(r)
			is.True(v.Taken && !v.Draining) // the process serves
			d.Drain(noticed, end)
			clock.Advance(tt.now - time.Second)
			whole := tt.received
			if whole == 0 {
				whole = tt.now
			}
			is.Equal(d.Weigh(r), drain.View{Draining: true, Noticed: whole >= noticed, Left: end - tt.now, Taken: tt.taken})
			since, draining := d.Since(0)
			is.True(draining)
			is.Equal(since, -time.Second) // of a request that came before
			d.Close()
			is.True(!d.Weigh(r).Taken)
		})
	}
}
