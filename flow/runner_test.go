package flow_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/stand"
)

func TestRunRelaysCompleteAnswer(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	req := request("write a short summary of the placement")
	req.Arrived = w.timer.Now()
	sink := &textSink{t: t}
	res, err := w.runner.Run(context.Background(), req, sink)
	is.NoErr(err)
	is.Equal(sink.text.String(), wantAnswer(req))
	is.Equal(res.OutputTokens, sink.next)
	is.Equal(res.Outcome, ident.Done)
	is.Equal(res.WastedTokens, int64(0))
	is.Equal(res.Attempts, 1)
	is.True(res.FirstToken > 0)
	is.Equal(w.placer.last(), place.StageDone)
	is.Equal(w.awaitNoHolds(time.Second), 0)
	is.Equal(w.engines["p1"].Counts().Prefills, int64(1))
	is.Equal(w.engines["d1"].Counts().Expired, int64(0))
}

// TestRunResumesStalledStream drops all bytes of a stream without closing its connection. The request
// must resume at the same engine and complete.
func TestRunResumesStalledStream(t *testing.T) {
	tests := []struct {
		name     string
		up, down bool
	}{
		{"no bytes reach the engine", true, false},
		{"no bytes return from the engine", false, true},
		{"no bytes pass either way", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t)
			req := request("a letter of the family")
			sink := &textSink{t: t, after: func(n int64) error {
				if n == 5 {
					w.proxies["d1"].blackhole(tt.up, tt.down)
				}
				return nil
			}}
			res, err := w.runner.Run(context.Background(), req, sink)
			is.NoErr(err)
			is.Equal(sink.text.String(), wantAnswer(req))
			is.Equal(res.Attempts, 1)
			is.Equal(w.awaitNoHolds(time.Second), 0)
		})
	}
}

// TestRunReportsKVSourceToPlacer guards against a second prefill of a prompt whose KV cache is still
// exported when the first decode engine fails.
func TestRunReportsKVSourceToPlacer(t *testing.T) {
	is := is.New(t)
	w := newClusterWith(t, func(cfg *stand.EngineConfig) { cfg.KVLife = 5 * time.Second })
	var reqs []place.Request
	w.placer.before = func(req place.Request) { reqs = append(reqs, req) }
	w.engines["d1"].Inject(stand.Fault{Kind: stand.FaultStatus, Path: engine.PathImport, N: 10})
	req := request("a prompt whose first decode engine fails")
	sink := &textSink{t: t}
	_, err := w.runner.Run(context.Background(), req, sink)
	is.NoErr(err)
	is.Equal(sink.text.String(), wantAnswer(req))
	is.Equal(len(reqs), 2)
	is.Equal(reqs[0].KVSource, ident.Server(""))
	is.Equal(reqs[1].KVSource, ident.Server("p1"))
	is.Equal(w.engines["p1"].Counts().Prefills+w.engines["p2"].Counts().Prefills, int64(1))
}

// TestRunReportsNoFailureOfFullEngine guards against reporting a decode engine as failed because it
// had no free slot.
func TestRunReportsNoFailureOfFullEngine(t *testing.T) {
	is := is.New(t)
	w := newClusterWith(t, func(cfg *stand.EngineConfig) { cfg.Places = 1 })
	other := ident.Attempt{Node: ident.Node{Instance: "b", Incarnation: 1}, Serial: 1}
	_, err := w.client.Reserve(context.Background(), "d1", flow.ReserveRequest{Attempt: other, Model: testModel, TTL: testHoldTTL, MaxOutput: 10})
	is.NoErr(err)
	req := request("a prompt for a full decode engine")
	sink := &textSink{t: t}
	res, err := w.runner.Run(context.Background(), req, sink)
	is.NoErr(err)
	is.Equal(sink.text.String(), wantAnswer(req))
	is.Equal(res.Decode, ident.Server("d2"))
	is.True(!slices.Contains(w.placer.stages, place.StageFailedDecode))
}

// TestOnlyServerIsTriedAgain guards against requests that end because their only server of a role failed once.
func TestOnlyServerIsTriedAgain(t *testing.T) {
	tests := []struct {
		name   string
		server ident.Server
		path   string
		faults int
	}{
		{"prefill", "p1", "/v1/prefill", 1},
		{"reserve", "d1", "/v1/reserve", 1},
		{"import", "d1", "/v1/import", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t)
			w.placer.prefill, w.placer.decode = []ident.Server{"p1"}, []ident.Server{"d1"}
			w.engines[tt.server].Inject(stand.Fault{Kind: stand.FaultStatus, Path: tt.path, N: tt.faults})
			sink := &textSink{t: t}
			r := request("one prompt")
			res, err := w.runner.Run(context.Background(), r, sink)
			is.NoErr(err)
			is.Equal(sink.text.String(), wantAnswer(r))
			is.Equal(res.Attempts, 2)
			is.Equal(w.awaitNoHolds(0), 0)
		})
	}
}

// TestServersThatFailOnAreTriedAFewTimes guards against a request that goes on at servers that fail every time.
func TestServersThatFailOnAreTriedAFewTimes(t *testing.T) {
	is := is.New(t)
	w := newCluster(t)
	w.placer.prefill = []ident.Server{"p1"}
	w.engines["p1"].Inject(stand.Fault{Kind: stand.FaultStatus, Path: "/v1/prefill", N: 1000})
	res, err := w.runner.Run(context.Background(), request("one prompt"), &textSink{t: t})
	is.True(err != nil)
	is.Equal(res.Attempts, 4)
}
