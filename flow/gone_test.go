package flow_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

// deadHolds are those of a process that dies: nothing is renewed or released.
type deadHolds struct{}

func (deadHolds) Keep(ident.Server, ident.Attempt)    {}
func (deadHolds) Release(ident.Server, ident.Attempt) {}

func (deadHolds) SetStreaming(ident.Server, ident.Attempt, bool) {}

// TestRouterGone lets a router die at each moment. Its holds end by their
// life, or, where engines give them a longer one, by the sweep of another
// instance, which spares a living request.
func TestRouterGone(t *testing.T) {
	const longLife = time.Minute
	for _, at := range []moment{afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream} {
		for _, life := range []time.Duration{testHold, longLife} {
			name := string(at) + "/engines keep the asked life"
			if life == longLife {
				name = string(at) + "/engines keep holds longer"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newWorldOf(t, func(cfg *stand.EngineConfig) {
					cfg.HoldLife = life
					cfg.IgnoreHold = life == longLife
					cfg.TouchOnly = life == longLife
				})
				dieAt(w, at)
				is.True(w.holds() > 0) // something was left behind
				living := newLiving(t, w)
				sweeper := newSweeper(w)
				ctx, stop := context.WithCancel(context.Background())
				sweeper.Start(ctx)
				defer func() { stop(); <-sweeper.Done() }()

				is.Equal(w.awaitHolds(living.node, 5*time.Second), 0)
				is.NoErr(living.finish())
			})
		}
	}
}

// dieAt runs a request in a process that dies at a moment.
func dieAt(w *world, at moment) {
	ctx, die := context.WithCancel(context.Background())
	h := &hooks{EngineClient: w.client, timer: w.timer, at: at, do: die, counter: w.engines["p1"].Counts}
	sink := &textSink{t: w.t, after: func(n int64) error {
		if n == 5 {
			h.fire(midStream)
		}
		return nil
	}}
	r := flow.New(flow.Config{
		Node:    ident.Node{Instance: "dead", Incarnation: 1},
		Engines: h,
		Placer:  w.placer,
		Holds:   deadHolds{},
		Timer:   w.timer,
		HoldTTL: testHold,
	})
	if _, err := r.Run(ctx, request(strings.Repeat("letter ", 400)), sink); err == nil {
		w.t.Error("the request of a dead process ended whole")
	}
}

func newSweeper(w *world) *sweep.Sweeper {
	return sweep.NewSweeper(sweep.SweeperConfig{
		Self:    ident.Node{Instance: "sweeper", Incarnation: 1},
		Engines: w.client,
		View:    w,
		Timer:   w.timer,
		Every:   100 * time.Millisecond,
		Idle:    testHold,
	})
}

// Servers implements sweep.View.
func (w *world) Servers() []ident.Server { return []ident.Server{"p1", "p2", "d1", "d2"} }

// Instances implements sweep.View.
func (w *world) Instances() []ident.Instance { return []ident.Instance{"sweeper"} }

// living is a request of another instance that outlasts the sweeps.
type living struct {
	node ident.Node
	req  flow.Request
	sink *textSink
	end  chan error
	w    *world
}

// newLiving starts a request that goes on until finish.
func newLiving(t *testing.T, w *world) *living {
	l := &living{
		node: ident.Node{Instance: "living", Incarnation: 1},
		req:  request("[output=3000] a very long summary"),
		sink: &textSink{t: t},
		end:  make(chan error, 1),
		w:    w,
	}
	l.req.MaxOutput = 3000
	r := flow.New(flow.Config{
		Node:    l.node,
		Engines: w.client,
		Placer:  w.placer,
		Holds:   w.keeper,
		Timer:   w.timer,
		HoldTTL: testHold,
	})
	go func() {
		_, err := r.Run(context.Background(), l.req, l.sink)
		l.end <- err
	}()
	return l
}

// finish waits for the whole answer.
func (l *living) finish() error {
	err := <-l.end
	if err == nil && l.sink.text.String() != wanted(l.req) {
		l.w.t.Error("the answer of the living request is not whole")
	}
	return err
}

// awaitHolds waits until only the holds of one process are left, and returns
// the number of the others.
func (w *world) awaitHolds(except ident.Node, slack time.Duration) int {
	ctx, stop := tick.WithTimeout(context.Background(), w.timer, testHold+slack, context.DeadlineExceeded)
	defer stop()
	for {
		n := 0
		for s := range w.engines {
			holds, err := w.client.Holds(ctx, s, 0)
			for _, h := range holds {
				if h.Attempt.Node != except {
					n++
				}
			}
			if err != nil {
				n++
			}
		}
		if n == 0 || tick.Sleep(ctx, w.timer, 10*time.Millisecond) != nil {
			return n
		}
	}
}

var _ sweep.View = (*world)(nil)

var _ engine.Directory = (*world)(nil)
