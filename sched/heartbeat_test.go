package sched_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/tick"
)

// framing is what HTTP/2 adds to a call, both directions together, as
// TestWireOverhead of package spread measures it.
const framing = 70

// wire carries the messages of one entry instance to the schedulers and counts
// them.
type wire struct {
	seen chan *peerpb.ProgressRequest

	mu     sync.Mutex // guards the fields below
	to     map[ident.Instance]*sched.Handler
	lose   func(*peerpb.ProgressRequest) bool // tells the message to lose next
	bytes  int                                // of progress
	wholes int
	asks   int // bytes of asks and answers
}

type wireTo struct {
	*wire
	name ident.Instance
}

func (w *wire) Place(i ident.Instance) (peerpbconnect.PlaceServiceClient, error) {
	return wireTo{w, i}, nil
}

func (w wireTo) Place(ctx context.Context, r *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	w.mu.Lock()
	h := w.to[w.name]
	w.mu.Unlock()
	a, err := h.Place(ctx, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asks += proto.Size(r) + proto.Size(a) + framing
	return a, err
}

func (w wireTo) Progress(ctx context.Context, r *peerpb.ProgressRequest) (*peerpb.ProgressResponse, error) {
	defer func() { w.seen <- r }()
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.to[w.name]
	if w.lose != nil && w.lose(r) {
		w.lose = nil
		return nil, errors.New("lost")
	}
	a, err := h.Progress(ctx, r)
	w.bytes += proto.Size(r) + proto.Size(a) + framing
	if r.GetWhole() {
		w.wholes++
	}
	return a, err
}

// beatWorld is an entry instance whose placements scheduler i1 makes.
type beatWorld struct {
	*testing.T
	clock  *tick.Fake
	fleet  *fleet
	wire   *wire
	client *sched.Client
	live   []place.Placement
	starts uint64 // of schedulers
}

func newBeatWorld(t *testing.T, n int) *beatWorld {
	w := &beatWorld{
		T: t, clock: tick.NewFake(0), fleet: newFleet(),
		wire: &wire{seen: make(chan *peerpb.ProgressRequest, 1024), to: make(map[ident.Instance]*sched.Handler)},
	}
	w.client = sched.NewClient(sched.ClientConfig{
		Self:  ident.Node{Instance: "sierra-a-12", Incarnation: 1<<63 + 12345},
		Fleet: w.fleet, Dialer: w.wire, Clock: w.clock,
	})
	w.client.Configure(sched.Topology{Own: sched.Centre{Name: "x", Region: "r"}})
	ctx, cancel := context.WithCancel(context.Background())
	done := w.client.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	w.scheduler("sierra-a-1")
	for range n {
		w.place()
	}
	return w
}

// scheduler starts a scheduler without memory and makes it the only one.
func (w *beatWorld) scheduler(i ident.Instance) *sched.Service {
	w.starts++
	svc := sched.NewService(sched.ServiceConfig{
		Self: ident.Node{Instance: i, Incarnation: 1<<63 + w.starts}, Clock: w.clock, Log: zerolog.Nop(),
	})
	svc.Configure(3, spec(1000))
	w.wire.mu.Lock()
	w.wire.to[i] = sched.NewHandler(svc)
	w.wire.mu.Unlock()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.fleet.live["x"] = []ident.Instance{i}
	return svc
}

func (w *beatWorld) place() {
	w.Helper()
	a := ask()
	a.PromptTokens = 1
	p, err := w.client.Place(context.Background(), a)
	if err != nil {
		w.Fatal(err)
	}
	w.live = append(w.live, p)
	w.change(p, place.StagePrefill)
	w.change(p, place.StageDecode)
}

// change reports a stage and waits for its message.
func (w *beatWorld) change(p place.Placement, s place.Stage) {
	w.client.ReportProgress(p, s, 0)
	<-w.wire.seen
}

// beat lets a second pass and waits for n sums or sets.
func (w *beatWorld) beat(n int) {
	w.clock.Advance(time.Second)
	for n > 0 {
		if r := <-w.wire.seen; r.GetBeat() || r.GetWhole() {
			n--
		}
	}
}

func all(*peerpb.ProgressRequest) bool { return true }

func (w *beatWorld) wholes() int {
	w.wire.mu.Lock()
	defer w.wire.mu.Unlock()
	return w.wire.wholes
}

func TestBeat(t *testing.T) {
	const n = 40
	tests := []struct {
		name   string
		do     func(w *beatWorld) *sched.Service // returns the scheduler to look at
		live   int
		wholes int
	}{
		{"a restarted scheduler learns all at the first beat", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.beat(2)
			return svc
		}, n, 1},
		{"a successor learns all at the first beat", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-2")
			w.beat(2) // at the one that made the placements too
			return svc
		}, n, 0},
		{"a successor hears of an end", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-2")
			w.beat(2)
			w.client.ReportProgress(w.live[0], place.StageDone, 9)
			<-w.wire.seen
			<-w.wire.seen
			return svc
		}, n - 1, 0},
		{"a lost end is made up for at the second beat", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.beat(2)
			w.wire.lose = all
			w.change(w.live[0], place.StageDone)
			w.beat(1)
			w.beat(2)
			w.beat(1)
			return svc
		}, n - 1, 2},
		{"a lost stage is made up for", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.beat(2)
			w.place()
			w.wire.lose = all
			a := ask()
			a.PromptTokens = 1
			p, err := w.client.Place(context.Background(), a)
			if err != nil {
				w.Fatal(err)
			}
			w.change(p, place.StagePrefill)
			w.beat(1)
			w.beat(2)
			w.beat(1)
			return svc
		}, n + 2, 2},
		{"an answer on its way is no reason to resend", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.beat(2)
			for range 5 {
				w.place()
				a := ask()
				a.PromptTokens = 1
				p, err := w.client.Place(context.Background(), a)
				if err != nil {
					w.Fatal(err)
				}
				w.beat(1)
				w.change(p, place.StagePrefill)
				w.change(p, place.StageDecode)
			}
			return svc
		}, n + 10, 1},
		{"an answer that was lost frees its place", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.beat(2)
			a := ask()
			a.PromptTokens = 1
			if _, err := svc.Place(context.Background(), &a, ident.Node{Instance: "sierra-a-12"}); err != nil {
				w.Fatal(err)
			}
			w.beat(1)
			w.beat(2)
			return svc
		}, n, 2},
		{"a lost set is asked for again", func(w *beatWorld) *sched.Service {
			svc := w.scheduler("sierra-a-1")
			w.wire.lose = (*peerpb.ProgressRequest).GetWhole
			w.beat(2)
			w.beat(2)
			return svc
		}, n, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newBeatWorld(t, n)
			svc := tt.do(w)
			is.Equal(svc.LivePlacements(), tt.live)
			is.Equal(w.wholes(), tt.wholes)
		})
	}
}

// TestChangesDuringBeats lets stages change while sums are sent and checks that
// these agree.
func TestChangesDuringBeats(t *testing.T) {
	const (
		workers = 8
		rounds  = 150
	)
	is := is.New(t)
	w := newBeatWorld(t, 1)
	svc := w.scheduler("sierra-a-1")
	w.beat(2)
	var answering sync.RWMutex // the clock stands while an answer is on its way
	ended := make(chan struct{}, workers)
	for range workers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for range rounds {
				a := ask()
				a.PromptTokens = 1
				answering.RLock()
				p, err := w.client.Place(context.Background(), a)
				w.client.ReportProgress(p, place.StagePrefill, 0)
				answering.RUnlock()
				if err != nil {
					t.Error(err)
					return
				}
				for _, s := range []place.Stage{place.StageTransfer, place.StageDecode, place.StageDone} {
					w.client.ReportProgress(p, s, 5)
				}
			}
		}()
	}
	beats := 0
	for left := workers; left > 0; {
		select {
		case <-ended:
			left--
		case r := <-w.wire.seen:
			if r.GetBeat() {
				beats++
			}
			answering.Lock()
			w.clock.Advance(time.Second / 2)
			answering.Unlock()
		}
	}
	for svc.LivePlacements() > 1 {
		<-w.wire.seen
	}
	t.Logf("%d beats", beats)
	is.True(beats > 0)
	is.Equal(w.wholes(), 1) // the one at the start
}

// TestBeatBytes counts what heartbeats cost an entry instance for each
// scheduler. The ids are of the length that they have in use.
func TestBeatBytes(t *testing.T) {
	const (
		limit = 400 // bytes per second
		beats = 20
	)
	for _, n := range []int{0, 10, 40, 135} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newBeatWorld(t, n)
			first := 0
			if n > 0 {
				w.beat(1)
			}
			first, w.wire.bytes = w.wire.bytes, 0
			for range beats {
				if n == 0 {
					w.clock.Advance(time.Second)
					continue
				}
				w.beat(1)
			}
			rate := w.wire.bytes / beats
			t.Logf("%d live placements: %d bytes/s of heartbeats; %d bytes before", n, rate, first)
			if rate > limit {
				t.Errorf("%d bytes/s, at most %d", rate, limit)
			}
		})
	}
}
