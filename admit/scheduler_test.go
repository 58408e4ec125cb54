package admit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// fixed is a Source that does not change.
type fixed []*route.Server

func (f fixed) Servers(string) ([]*route.Server, *route.Engine) { return f, engine }

// result is what Place has returned.
type result struct {
	id  uint64
	p   *Placement
	err error
}

// ask places a request and sends the result when there is one.
func ask(ctx context.Context, d *Scheduler, w Request, out chan<- result) {
	go func() {
		p, err := d.Place(ctx, w)
		out <- result{w.ID, p, err}
	}()
}

func waiting(t *testing.T, d *Scheduler, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); d.Queued() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests wait, want %d", d.Queued(), n)
		}
	}
}

func TestOrderOfTheQueue(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(time.Second)
	d := NewScheduler(Config{Centre: "a", Region: "r"}, fixed{server("d1", "a", "r", route.StageDecode)}, clock)
	mk := func(id uint64, by time.Duration, priority int) Request {
		return Request{ID: id, Prompt: 9_000, Priority: priority, Due: by, Deadline: time.Minute}
	}
	out := make(chan result, 10)
	ask(t.Context(), d, mk(0, time.Minute, 0), out)
	held := <-out
	for i, w := range []Request{
		mk(1, 900*time.Millisecond, 1), // late already
		mk(2, 9*time.Second, 1),
		mk(3, 8*time.Second, 1),
		mk(4, 7*time.Second, 2), // less urgent
		mk(5, 9*time.Second, 0), // most urgent
	} {
		ask(t.Context(), d, w, out)
		waiting(t, d, i+1)
	}
	for _, want := range []uint64{5, 3, 2, 4, 1} {
		d.Release(held.p)
		held = <-out
		is.NoErr(held.err)
		is.Equal(held.id, want) // on time first, then by urgency, then by when it is due
	}
}

func TestWaitsInVain(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(0)
	d := NewScheduler(Config{Centre: "a", Region: "r"}, fixed{server("d1", "a", "r", route.StageDecode)}, clock)
	out := make(chan result, 10)
	w := Request{Prompt: 9_000, Due: time.Second, Deadline: 3 * time.Second}
	ask(t.Context(), d, w, out)
	<-out
	ask(t.Context(), d, w, out)
	waiting(t, d, 1)
	ctx, leave := context.WithCancel(t.Context())
	ask(ctx, d, w, out)
	waiting(t, d, 2)
	leave()
	is.Equal((<-out).err, context.Canceled) // who leaves makes room at once
	waiting(t, d, 1)
	clock.Advance(3 * time.Second)
	d.Dispatch()
	r, ok := fail.AsRefusal((<-out).err)
	is.True(ok)
	is.True(r.RetryAfter() >= 3*time.Second) // the load has lasted that long
}

func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := NewScheduler(Config{Centre: "a", Region: "r"}, fixed{server("p1", "a", "r", route.StagePrefill)}, tick.NewFake(0))
	_, err := d.Place(t.Context(), Request{Prompt: 10, Deadline: time.Hour})
	_, ok := fail.AsRefusal(err)
	is.True(ok) // nobody could ever run it
}

// TestTurnThatComesTooLate has a queue that moves once a second.
func TestTurnThatComesTooLate(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(time.Second)
	d := NewScheduler(Config{Centre: "a", Region: "r"}, fixed{server("d1", "a", "r", route.StageDecode)}, clock)
	out := make(chan result, 64)
	w := func(id uint64) Request { return Request{ID: id, Prompt: 9_000, Due: time.Hour, Deadline: time.Hour} }
	ask(t.Context(), d, w(0), out)
	held := <-out
	for i := range 20 {
		ask(t.Context(), d, w(uint64(i+1)), out)
		waiting(t, d, i+1)
	}
	for range 10 {
		clock.Advance(time.Second)
		d.Release(held.p)
		held = <-out
	}
	last := Request{ID: 99, Prompt: 9_000, Due: clock.Now() + time.Second, Deadline: clock.Now() + time.Second, Priority: 9}
	_, err := d.Place(t.Context(), last)
	r, ok := fail.AsRefusal(err)
	is.True(ok)
	is.True(r.RetryAfter() > time.Second) // the queue before it takes longer
}

// TestServersThatWantNothing has a request wait at a server that then wants
// nothing for a time: its caller is told at once when it may come back.
func TestServersThatWantNothing(t *testing.T) {
	is := is.New(t)
	clock := tick.NewFake(time.Second)
	var until tick.Instant
	closed := func(string, tick.Instant) tick.Instant { return until }
	d := NewScheduler(Config{Centre: "a", Region: "r", ClosedUntil: closed}, fixed{server("d1", "a", "r", route.StageDecode)}, clock)
	out := make(chan result, 2)
	w := Request{Prompt: 9_000, Due: time.Hour, Deadline: time.Hour}
	ask(t.Context(), d, w, out)
	<-out
	ask(t.Context(), d, w, out)
	waiting(t, d, 1)
	until = 3 * time.Second
	d.Dispatch()
	r, ok := fail.AsRefusal((<-out).err)
	is.True(ok)
	is.Equal(r.RetryAfter(), 2*time.Second)
	_, err := d.Place(t.Context(), w) // as is who comes now
	r, ok = fail.AsRefusal(err)
	is.True(ok)
	is.Equal(r.RetryAfter(), 2*time.Second)
}
