package flow_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
)

func TestRunRelaysWholeAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	req := request("write a short summary of the placement")
	req.Arrived = w.timer.Now()
	sink := &textSink{t: t}
	res, err := w.runner.Run(context.Background(), req, sink)
	is.NoErr(err)
	is.Equal(sink.text.String(), wanted(req))
	is.Equal(res.Total, sink.next)
	is.Equal(res.Outcome, ident.Done)
	is.Equal(res.Wasted, int64(0))
	is.Equal(res.Attempts, 1)
	is.True(res.FirstToken > 0)
	is.Equal(w.placer.last(), place.StageDone)
	is.Equal(w.awaitNoHolds(time.Second), 0)
	is.Equal(w.engines["p1"].Counts().Prefills, int64(1))
	is.Equal(w.engines["d1"].Counts().Expired, int64(0))
}

func TestRunResumesSilentStream(t *testing.T) {
	tests := []struct {
		name     string
		up, down bool
	}{
		{"nothing reaches the engine", true, false},
		{"nothing comes back", false, true},
		{"nothing passes", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			req := request("a letter of the family")
			sink := &textSink{t: t, after: func(n int64) error {
				if n == 5 {
					w.relays["d1"].silence(tt.up, tt.down)
				}
				return nil
			}}
			res, err := w.runner.Run(context.Background(), req, sink)
			is.NoErr(err)
			is.Equal(sink.text.String(), wanted(req))
			is.Equal(res.Attempts, 1)
			is.Equal(w.awaitNoHolds(time.Second), 0)
		})
	}
}
