package quota

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

// advance advances the clock in steps of 10 ms until done returns true. It reports false after
// 100,000 steps.
func (w *testCluster) advance(done func() bool) bool {
	for range 100_000 {
		if done() {
			return true
		}
		w.clock.Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
	return false
}

// TestRunRenewsUntilCanceled guards against a Run that does not renew leases or does not return
// when its context is canceled.
func TestRunRenewsUntilCanceled(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.services[0].Run(ctx) }()
	is.True(w.advance(w.allLeased))
	cancel()
	is.NoErr(<-ended)
}

// TestReleaseHandsOverLeases guards against a time without grants while the home of a group shuts
// down. The next home must receive all leases at its next renewal instead of after their expiry.
// Meanwhile the draining home lends from its own share.
func TestReleaseHandsOverLeases(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newCluster(t, 3)
	for range 40 {
		w.renew(ctx)
	}
	group := limit.GroupOf("sur")
	ranked := limit.RankHolders(group, w.instances)
	releasing, next := w.service(ranked[0]), w.service(ranked[1])
	is.Equal(releasing.Status().LeasedShare(group), 3*w.Share(""))

	share := w.Share("")
	w.instances = ranked[1:]
	w.draining = ranked[:1]
	clock := &announcingClock{Fake: w.clock, waits: make(chan time.Duration)}
	releasing.clock = clock
	released := make(chan error, 1)
	go func() { released <- releasing.Release(ctx) }()
	var err error
	for ended := false; !ended; {
		select {
		case d := <-clock.waits:
			lent := releasing.Status().LeasedShare(group)
			is.True(lent+next.Status().LeasedShare(group) >= share) // at every step some instance can grant
			w.clock.Advance(d)
			next.renew(ctx)
		case err = <-released:
			ended = true
		}
	}
	is.NoErr(err)
	is.Equal(releasing.Status().LeasedShare(group), int64(0))
	is.Equal(next.Status().LeasedShare(group), 2*share)

	w.clock.Advance(100 * time.Millisecond)
	releasing.clock = w.clock
	c, err := releasing.Admit(ctx, "r", "sur", 1)
	is.NoErr(err) // admitted through the next home
	c.Settle(1)
}

// announcingClock sends the duration of each timer to waits and blocks until it is received.
type announcingClock struct {
	*tick.Fake
	waits chan time.Duration
}

func (a *announcingClock) After(d time.Duration) tick.Timer {
	t := a.Fake.After(d)
	a.waits <- d
	return t
}

func (w *testCluster) service(n ident.Instance) *Service {
	for _, s := range w.services {
		if s.node.Instance == n {
			return s
		}
	}
	return nil
}
