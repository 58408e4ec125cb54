package tick_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

func TestRepeatCallsAtEachTickUntilCancelled(t *testing.T) {
	is := is.New(t)
	f := tick.NewFake(0)
	ctx, cancel := context.WithCancel(context.Background())
	called, done := make(chan tick.Instant), make(chan struct{})
	timer := f.Every(time.Second)
	go func() {
		defer close(done)
		tick.Repeat(ctx, timer, func(context.Context) { called <- f.Now() })
	}()
	for n := range 3 {
		f.Advance(time.Second)
		is.Equal(<-called, time.Duration(n+1)*time.Second)
	}
	cancel()
	<-done
	f.Advance(time.Second)
	is.Equal(len(timer.C()), 0) // the timer has been stopped
}
