package sweep_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

var errDown = errors.New("engine is down")

// call is one call that a fakeEngines received.
type call struct {
	name     string
	server   ident.Server
	attempts []ident.Attempt
	idleOver time.Duration
}

// fakeEngines passes each call to the test, which answers it.
type fakeEngines struct {
	calls chan call
	fail  chan error

	mu    sync.Mutex
	holds map[ident.Server][]sweep.Hold
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{calls: make(chan call), fail: make(chan error)}
}

func (f *fakeEngines) answer(ctx context.Context, c call) error {
	select {
	case f.calls <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-f.fail:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeEngines) Cancel(ctx context.Context, s ident.Server, a ident.Attempt, idleOver time.Duration) (int, error) {
	return 1, f.answer(ctx, call{name: "cancel", server: s, attempts: []ident.Attempt{a}, idleOver: idleOver})
}

func (f *fakeEngines) Touch(ctx context.Context, s ident.Server, as []ident.Attempt) ([]ident.Attempt, error) {
	return nil, f.answer(ctx, call{name: "touch", server: s, attempts: as})
}

func (f *fakeEngines) Holds(_ context.Context, s ident.Server, _ time.Duration) ([]sweep.Hold, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds[s], nil
}

func attempt(instance ident.Instance, incarnation, serial uint64) ident.Attempt {
	return ident.Attempt{Node: ident.Node{Instance: instance, Incarnation: incarnation}, Serial: serial}
}

const (
	testLife  = 10 * time.Second
	testTouch = 2 * time.Second
	testRetry = 100 * time.Millisecond
)

func startKeeper(t *testing.T, queue int, streams bool) (*sweep.Keeper, *fakeEngines, *tick.Fake) {
	t.Helper()
	engines, timer := newFakeEngines(), tick.NewFake(0)
	k := sweep.NewKeeper(sweep.KeeperConfig{
		Engines: engines,
		Timer:   timer,
		Life:    testLife,
		Touch:   testTouch,
		Retry:   testRetry,
		Workers: 2,
		Queue:   queue,
		Streams: streams,
	})
	ctx, cancel := context.WithCancel(context.Background())
	k.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-k.Done()
	})
	return k, engines, timer
}

// await waits until the goroutines of the Keeper have made cond true.
func await(t *testing.T, cond func() bool) {
	t.Helper()
	real := tick.NewReal()
	for !cond() {
		if real.Now() > 10*time.Second {
			t.Fatal("condition was not met within 10 s")
		}
		_ = tick.Sleep(context.Background(), real, time.Millisecond)
	}
}

func TestKeeperRepeatsCancelUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	k, engines, timer := startKeeper(t, 0, false)
	a := attempt("a", 1, 1)
	k.Keep("d1", a)
	k.Release("d1", a)
	for n := range int64(3) {
		is.Equal(<-engines.calls, call{name: "cancel", server: "d1", attempts: []ident.Attempt{a}})
		engines.fail <- errDown
		await(t, func() bool { return k.Counts().Failed == n+1 })
		is.Equal(k.Counts().Pending, 1)
		timer.Advance(testRetry)
	}
	<-engines.calls
	engines.fail <- nil
	is.NoErr(k.Drain(context.Background()))
	is.Equal(k.Counts().Released, int64(1))
	is.Equal(k.Counts().Live, 0)
}

func TestKeeperAbandonsReleaseWhenHoldExpires(t *testing.T) {
	is := is.New(t)
	k, engines, timer := startKeeper(t, 0, false)
	k.Release("d1", attempt("a", 1, 1))
	<-engines.calls
	engines.fail <- errDown
	await(t, func() bool { return k.Counts().Failed == 1 })
	timer.Advance(testLife)
	await(t, func() bool { return k.Counts().Pending == 0 })
	is.Equal(k.Counts().Abandoned, int64(1))
	is.Equal(k.Counts().Released, int64(0))
}

func TestKeeperTouchesLiveHolds(t *testing.T) {
	is := is.New(t)
	k, engines, timer := startKeeper(t, 0, false)
	live, gone := attempt("a", 1, 1), attempt("a", 1, 2)
	k.Keep("d1", live)
	k.Keep("d1", gone)
	k.Release("d1", gone)
	is.Equal((<-engines.calls).name, "cancel")
	engines.fail <- nil
	is.NoErr(k.Drain(context.Background()))
	for n := range int64(2) {
		timer.Advance(testTouch)
		is.Equal(<-engines.calls, call{name: "touch", server: "d1", attempts: []ident.Attempt{live}})
		engines.fail <- nil
		await(t, func() bool { return k.Counts().Touched == n+1 })
	}
}

func TestKeeperRenewsBetweenSlowReleases(t *testing.T) {
	is := is.New(t)
	k, engines, timer := startKeeper(t, 0, false)
	live := attempt("a", 1, 1)
	k.Keep("d1", live)
	for n := range uint64(20) {
		k.Release("d1", attempt("a", 1, 2+n))
	}
	for c := range engines.calls {
		if c.name == "touch" {
			is.Equal(c.attempts, []ident.Attempt{live})
			engines.fail <- nil
			break
		}
		if timer.Now() >= testLife {
			t.Fatalf("no renewal for %v, want one before holds expire after %v", timer.Now(), testLife)
		}
		timer.Advance(time.Second) // duration of each cancel
		engines.fail <- nil
	}
	is.True(timer.Now() < testLife)
}

func TestKeeperDoesNotRenewStreams(t *testing.T) {
	for _, streams := range []bool{false, true} {
		name := "streams are contact"
		if streams {
			name = "streams are no contact"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, engines, timer := startKeeper(t, 0, streams)
			quiet, streaming := attempt("a", 1, 1), attempt("a", 1, 2)
			k.Keep("d1", quiet)
			k.Keep("d1", streaming)
			k.SetStreaming("d1", streaming, true)
			timer.Advance(testTouch)
			is.Equal(len((<-engines.calls).attempts) == 2, streams)
			engines.fail <- nil
			await(t, func() bool { return k.Counts().Touched > 0 })
			k.Release("d1", quiet)
			<-engines.calls
			engines.fail <- nil
			k.SetStreaming("d1", streaming, false)
			is.NoErr(k.Drain(context.Background()))
			timer.Advance(testTouch)
			is.Equal(<-engines.calls, call{name: "touch", server: "d1", attempts: []ident.Attempt{streaming}})
			engines.fail <- nil
		})
	}
}

func TestKeeperHangingEngineDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	k, engines, _ := startKeeper(t, 0, false)
	k.Release("d1", attempt("a", 1, 1))
	is.Equal((<-engines.calls).server, ident.Server("d1")) // is not answered
	for n := range uint64(10) {
		k.Release("d1", attempt("a", 1, 2+n))
	}
	k.Release("d2", attempt("a", 1, 20))
	is.Equal((<-engines.calls).server, ident.Server("d2"))
	engines.fail <- nil
	engines.fail <- nil
}

func TestKeeperQueueIsBounded(t *testing.T) {
	is := is.New(t)
	k, engines, _ := startKeeper(t, 2, false)
	for n := range uint64(5) {
		k.Release("d1", attempt("a", 1, 1+n))
	}
	is.Equal(k.Counts().Pending, 2)
	is.Equal(k.Counts().Overflow, int64(3))
	for range 2 {
		<-engines.calls
		engines.fail <- nil
	}
	is.NoErr(k.Drain(context.Background()))
}
