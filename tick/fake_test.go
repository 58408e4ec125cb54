package tick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

func TestFakeDeliversDueTicks(t *testing.T) {
	is := is.New(t)
	f := tick.NewFake(0)
	every := f.Every(time.Second)
	after := f.After(1500 * time.Millisecond)

	f.Advance(999 * time.Millisecond)
	is.Equal(len(every.C()), 0)
	f.Advance(time.Millisecond)
	is.Equal(<-every.C(), time.Second)
	f.Advance(time.Second)
	is.Equal(<-after.C(), 1500*time.Millisecond)
	is.Equal(<-every.C(), 2*time.Second)
}

func TestFakeDropsTicksOfSlowReader(t *testing.T) {
	is := is.New(t)
	f := tick.NewFake(0)
	every := f.Every(time.Second)
	f.Advance(10 * time.Second)
	is.Equal(<-every.C(), time.Second)
	is.Equal(len(every.C()), 0)
}

func TestFakeStopEndsTicks(t *testing.T) {
	is := is.New(t)
	f := tick.NewFake(0)
	every := f.Every(time.Second)
	every.Stop()
	f.Advance(10 * time.Second)
	is.Equal(len(every.C()), 0)
}
