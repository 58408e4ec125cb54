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

// TestTimes guards against a process that takes requests which outlast it.
func TestTimes(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(time.Second)
	d := drain.New(clock)
	_, _, draining := d.Left()
	is.True(!draining)
	d.Drain(2*time.Second, 5*time.Second)
	left, noticed, draining := d.Left()
	is.True(draining && !noticed)
	is.Equal(left, 4*time.Second)
	clock.Advance(time.Second)
	left, noticed, _ = d.Left()
	is.True(noticed)
	is.Equal(left, 3*time.Second)
	before, _ := d.Since(0)
	is.Equal(before, -time.Second) // of a request that came before
}
