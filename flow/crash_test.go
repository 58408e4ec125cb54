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

// crashedHolds is the HoldKeeper of a process that crashes: it renews and releases nothing.
type crashedHolds struct{}

func (crashedHolds) Keep(ident.Server, ident.Attempt)    {}
func (crashedHolds) Release(ident.Server, ident.Attempt) {}

func (crashedHolds) SetStreaming(ident.Server, ident.Attempt, bool) {}

// TestHoldsReleasedAfterRouterCrash guards against engine holds that leak when a router crashes,
// whatever the phase of its request. They must expire by their TTL. If the engines use a longer TTL,
// the sweeper of another instance must release them, without touching the holds of a live request.
func TestHoldsReleasedAfterRouterCrash(t *testing.T) {
	const longLife = time.Minute
	for _, at := range []phase{afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream} {
		for _, life := range []time.Duration{testHoldTTL, longLife} {
			name := string(at) + "/engines use the requested hold TTL"
			if life == longLife {
				name = string(at) + "/engines use a longer hold TTL"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newClusterWith(t, func(cfg *stand.EngineConfig) {
					cfg.HoldLife = life
					cfg.IgnoreHold = life == longLife
					cfg.TouchOnly = life == longLife
				})
				crashAt(w, at)
				is.True(w.holds() > 0) // the holds of the crashed router still exist
				live := startLiveRequest(t, w)
				sweeper := newSweeper(w)
				ctx, stop := context.WithCancel(context.Background())
				sweeper.Start(ctx)
				defer func() { stop(); <-sweeper.Done() }()

				is.Equal(w.awaitHoldsExcept(live.node, 5*time.Second), leftHolds{})
				is.NoErr(live.finish())
			})
		}
	}
}

// crashAt runs a request in a process that crashes in the given phase.
func crashAt(w *cluster, at phase) {
	ctx, die := context.WithCancel(context.Background())
	h := &faultInjector{EngineClient: w.client, timer: w.timer, at: at, do: die, counter: w.engines["p1"].Counts}
	sink := &textSink{t: w.t, after: func(n int64) error {
		if n == 5 {
			h.fire(midStream)
		}
		return ctx.Err() // a crashed process passes nothing on, also of what it has received
	}}
	r := flow.New(flow.Config{
		Node:    ident.Node{Instance: "dead", Incarnation: 1},
		Engines: h,
		Placer:  w.placer,
		Holds:   crashedHolds{},
		Timer:   w.timer,
		HoldTTL: testHoldTTL,
	})
	if _, err := r.Run(ctx, request(strings.Repeat("letter ", 400)), sink); err == nil {
		w.t.Error("the request of a crashed process completed")
	}
}

func newSweeper(w *cluster) *sweep.Sweeper {
	return sweep.NewSweeper(sweep.SweeperConfig{
		Self:    ident.Node{Instance: "sweeper", Incarnation: 1},
		Engines: w.client,
		View:    w,
		Timer:   w.timer,
		Every:   100 * time.Millisecond,
		Idle:    testHoldTTL,
	})
}

// Servers implements sweep.View.
func (w *cluster) Servers() []ident.Server { return []ident.Server{"p1", "p2", "d1", "d2"} }

// Instances implements sweep.View.
func (w *cluster) Instances() []ident.Instance { return []ident.Instance{"sweeper"} }

// liveRequest is a request of another instance that runs while the sweeper works.
type liveRequest struct {
	node ident.Node
	req  flow.Request
	sink *textSink
	end  chan error
	w    *cluster
}

// startLiveRequest starts a request with a long output. Call finish to wait for its end.
func startLiveRequest(t *testing.T, w *cluster) *liveRequest {
	l := &liveRequest{
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
		HoldTTL: testHoldTTL,
	})
	go func() {
		_, err := r.Run(context.Background(), l.req, l.sink)
		l.end <- err
	}()
	return l
}

// finish waits for the end of the request and checks that the answer is complete.
func (l *liveRequest) finish() error {
	err := <-l.end
	if err == nil && l.sink.text.String() != wantAnswer(l.req) {
		l.w.t.Error("the answer of the live request is incomplete")
	}
	return err
}

// leftHolds is what a look at all engines has found.
type leftHolds struct {
	holds      int // holds of other processes
	unanswered int // engines that did not answer
}

// awaitHoldsExcept waits until only the holds of one process are left, at most for the TTL of a hold
// and some slack. It returns what the last whole look at the engines has found.
func (w *cluster) awaitHoldsExcept(except ident.Node, slack time.Duration) leftHolds {
	ctx, stop := tick.WithTimeout(context.Background(), w.timer, testHoldTTL+slack, context.DeadlineExceeded)
	defer stop()
	last := leftHolds{unanswered: len(w.engines)}
	for {
		left := w.holdsExcept(ctx, except)
		if left == (leftHolds{}) {
			return left
		}
		if ctx.Err() == nil {
			last = left
		}
		if tick.Sleep(ctx, w.timer, 10*time.Millisecond) != nil {
			return last
		}
	}
}

// holdsExcept looks at all engines once.
func (w *cluster) holdsExcept(ctx context.Context, except ident.Node) leftHolds {
	var left leftHolds
	for s := range w.engines {
		holds, err := w.client.Holds(ctx, s, 0)
		if err != nil {
			left.unanswered++
		}
		for _, h := range holds {
			if h.Attempt.Node != except {
				left.holds++
			}
		}
	}
	return left
}

var _ sweep.View = (*cluster)(nil)

var _ engine.Directory = (*cluster)(nil)
