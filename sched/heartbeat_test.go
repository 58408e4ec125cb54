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

// framing is what HTTP/2 adds to a call in bytes, both directions together, as measured by
// TestWireOverhead of package spread.
const framing = 70

// wire carries the messages of one instance to the schedulers and counts their bytes.
type wire struct {
	seen chan *peerpb.ProgressRequest

	mu          sync.Mutex // guards the fields below
	to          map[ident.Instance]*sched.Handler
	lose        func(*peerpb.ProgressRequest) bool // selects the next message to lose
	bytes       int                                // bytes of progress messages and their responses
	fullReports int
	placeBytes  int // bytes of place requests and responses
}

type wireClient struct {
	*wire
	name ident.Instance
}

func (w *wire) Place(i ident.Instance) (peerpbconnect.PlaceServiceClient, error) {
	return wireClient{w, i}, nil
}

func (w wireClient) Place(ctx context.Context, r *peerpb.PlaceRequest) (*peerpb.PlaceResponse, error) {
	w.mu.Lock()
	h := w.to[w.name]
	w.mu.Unlock()
	a, err := h.Place(ctx, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placeBytes += proto.Size(r) + proto.Size(a) + framing
	return a, err
}

func (w wireClient) Progress(ctx context.Context, r *peerpb.ProgressRequest) (*peerpb.ProgressResponse, error) {
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
		w.fullReports++
	}
	return a, err
}

// heartbeatHarness is an instance whose placements the scheduler on sierra-a-1 makes.
type heartbeatHarness struct {
	*testing.T
	clock  *tick.Fake
	fleet  *fleet
	wire   *wire
	client *sched.Client
	live   []place.Placement
	starts uint64 // number of schedulers started
}

func newHeartbeatHarness(t *testing.T, n int) *heartbeatHarness {
	w := &heartbeatHarness{
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
	w.startScheduler("sierra-a-1")
	for range n {
		w.place()
	}
	return w
}

// startScheduler starts a scheduler without state and makes it the only live one.
func (w *heartbeatHarness) startScheduler(i ident.Instance) *sched.Service {
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

func (w *heartbeatHarness) place() {
	w.Helper()
	req := request()
	req.PromptTokens = 1
	p, err := w.client.Place(context.Background(), req)
	if err != nil {
		w.Fatal(err)
	}
	w.live = append(w.live, p)
	w.report(p, place.StagePrefill)
	w.report(p, place.StageDecode)
}

// report reports a stage and waits for its message.
func (w *heartbeatHarness) report(p place.Placement, s place.Stage) {
	w.client.ReportProgress(p, s, 0)
	<-w.wire.seen
}

// heartbeat advances the clock by a second and waits for n checksums or full reports.
func (w *heartbeatHarness) heartbeat(n int) {
	w.clock.Advance(time.Second)
	for n > 0 {
		if r := <-w.wire.seen; r.GetBeat() || r.GetWhole() {
			n--
		}
	}
}

func anyMessage(*peerpb.ProgressRequest) bool { return true }

func (w *heartbeatHarness) fullReportCount() int {
	w.wire.mu.Lock()
	defer w.wire.mu.Unlock()
	return w.wire.fullReports
}

// TestHeartbeat guards against lost messages and restarts of schedulers: the live placements must
// be repaired within two heartbeats, and no full report may be sent without need.
func TestHeartbeat(t *testing.T) {
	const n = 40
	tests := []struct {
		name        string
		do          func(w *heartbeatHarness) *sched.Service // returns the scheduler to check
		live        int
		fullReports int
	}{
		{"a restarted scheduler gets all placements at the first heartbeat", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.heartbeat(2)
			return svc
		}, n, 1},
		{"a successor gets all placements at the first heartbeat", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-2")
			w.heartbeat(2) // the scheduler that made the placements gets one too
			return svc
		}, n, 0},
		{"a successor gets the end of a placement", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-2")
			w.heartbeat(2)
			w.client.ReportProgress(w.live[0], place.StageDone, 9)
			<-w.wire.seen
			<-w.wire.seen
			return svc
		}, n - 1, 0},
		{"a lost end is repaired at the second heartbeat", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.heartbeat(2)
			w.wire.lose = anyMessage
			w.report(w.live[0], place.StageDone)
			w.heartbeat(1)
			w.heartbeat(2)
			w.heartbeat(1)
			return svc
		}, n - 1, 2},
		{"a lost stage is repaired", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.heartbeat(2)
			w.place()
			w.wire.lose = anyMessage
			req := request()
			req.PromptTokens = 1
			p, err := w.client.Place(context.Background(), req)
			if err != nil {
				w.Fatal(err)
			}
			w.report(p, place.StagePrefill)
			w.heartbeat(1)
			w.heartbeat(2)
			w.heartbeat(1)
			return svc
		}, n + 2, 2},
		{"a response in transit causes no full report", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.heartbeat(2)
			for range 5 {
				w.place()
				req := request()
				req.PromptTokens = 1
				p, err := w.client.Place(context.Background(), req)
				if err != nil {
					w.Fatal(err)
				}
				w.heartbeat(1)
				w.report(p, place.StagePrefill)
				w.report(p, place.StageDecode)
			}
			return svc
		}, n + 10, 1},
		{"a lost response releases its slot", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.heartbeat(2)
			req := request()
			req.PromptTokens = 1
			if _, err := svc.Place(context.Background(), &req, ident.Node{Instance: "sierra-a-12"}); err != nil {
				w.Fatal(err)
			}
			w.heartbeat(1)
			w.heartbeat(2)
			return svc
		}, n, 2},
		{"a lost full report is requested again", func(w *heartbeatHarness) *sched.Service {
			svc := w.startScheduler("sierra-a-1")
			w.wire.lose = (*peerpb.ProgressRequest).GetWhole
			w.heartbeat(2)
			w.heartbeat(2)
			return svc
		}, n, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newHeartbeatHarness(t, n)
			svc := tt.do(w)
			is.Equal(svc.LivePlacements(), tt.live)
			is.Equal(w.fullReportCount(), tt.fullReports)
		})
	}
}

// TestChangesDuringHeartbeats guards against false mismatches: stages change while checksums are
// sent, and the checksums must still match.
func TestChangesDuringHeartbeats(t *testing.T) {
	const (
		workers = 8
		rounds  = 150
	)
	is := is.New(t)
	w := newHeartbeatHarness(t, 1)
	svc := w.startScheduler("sierra-a-1")
	w.heartbeat(2)
	var inTransit sync.RWMutex // stops the clock while a response is in transit
	ended := make(chan struct{}, workers)
	for range workers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for range rounds {
				req := request()
				req.PromptTokens = 1
				inTransit.RLock()
				p, err := w.client.Place(context.Background(), req)
				w.client.ReportProgress(p, place.StagePrefill, 0)
				inTransit.RUnlock()
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
	heartbeats := 0
	for left := workers; left > 0; {
		select {
		case <-ended:
			left--
		case r := <-w.wire.seen:
			if r.GetBeat() {
				heartbeats++
			}
			inTransit.Lock()
			w.clock.Advance(time.Second / 2)
			inTransit.Unlock()
		}
	}
	for svc.LivePlacements() > 1 {
		<-w.wire.seen
	}
	t.Logf("%d heartbeats", heartbeats)
	is.True(heartbeats > 0)
	is.Equal(w.fullReportCount(), 1) // only the one at the start
}

// TestHeartbeatBytes limits the bytes per second of heartbeats between an instance and one
// scheduler. The IDs have the length that they have in production.
func TestHeartbeatBytes(t *testing.T) {
	const (
		limit      = 400 // bytes per second
		heartbeats = 20
	)
	for _, n := range []int{0, 10, 40, 135} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newHeartbeatHarness(t, n)
			first := 0
			if n > 0 {
				w.heartbeat(1)
			}
			first, w.wire.bytes = w.wire.bytes, 0
			for range heartbeats {
				if n == 0 {
					w.clock.Advance(time.Second)
					continue
				}
				w.heartbeat(1)
			}
			rate := w.wire.bytes / heartbeats
			t.Logf("%d live placements: %d bytes/s of heartbeats; %d bytes before the first", n, rate, first)
			if rate > limit {
				t.Errorf("heartbeats take %d bytes/s, want at most %d", rate, limit)
			}
		})
	}
}
