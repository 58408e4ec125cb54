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

// advance moves the clock in small steps until done is closed or holds.
func (w *wire) advance(done func() bool) bool {
	for range 100_000 {
		if done() {
			return true
		}
		w.clock.Advance(10 * time.Millisecond)
		runtime.Gosched()
	}
	return false
}

func TestRunRenewsUntilTheEnd(t *testing.T) {
	is := is.New(t)
	w := newWire(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.services[0].Run(ctx) }()
	is.True(w.advance(w.full))
	cancel()
	is.NoErr(<-ended)
}

// TestReleaseFreesSeats shuts the home of a group down: the next home gets all
// leases at its next renewal instead of after their life, and meanwhile the one
// that leaves lends from its own seat.
func TestReleaseFreesSeats(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newWire(t, 3)
	for range 40 {
		w.renew(ctx)
	}
	group := limit.GroupOf("sur")
	ranked := limit.RankHolders(group, w.seats)
	leaver, next := w.service(ranked[0]), w.service(ranked[1])
	is.Equal(leaver.Status().LeasedShare(group), 3*w.Share(""))

	share := w.Share("")
	w.seats = ranked[1:]
	w.leaving = ranked[:1]
	clock := &announced{Fake: w.clock, asked: make(chan time.Duration)}
	leaver.time = clock
	released := make(chan error, 1)
	go func() { released <- leaver.Release(ctx) }()
	var err error
	for ended := false; !ended; {
		select {
		case d := <-clock.asked:
			lent := leaver.Status().LeasedShare(group)
			is.True(lent+next.Status().LeasedShare(group) >= share) // somebody grants at every step
			w.clock.Advance(d)
			next.renew(ctx)
		case err = <-released:
			ended = true
		}
	}
	is.NoErr(err)
	is.Equal(leaver.Status().LeasedShare(group), int64(0))
	is.Equal(next.Status().LeasedShare(group), 2*share)

	w.clock.Advance(100 * time.Millisecond)
	leaver.time = w.clock
	c, err := leaver.Admit(ctx, "r", "sur", 1)
	is.NoErr(err) // through the next home
	c.Settle(1)
}

// announced tells of each tick that is subscribed to how long it takes, and
// waits until that was read.
type announced struct {
	*tick.Fake
	asked chan time.Duration
}

func (a *announced) After(d time.Duration) tick.Timer {
	t := a.Fake.After(d)
	a.asked <- d
	return t
}

func (w *wire) service(n ident.Instance) *Service {
	for _, s := range w.services {
		if s.node.Instance == n {
			return s
		}
	}
	return nil
}
