package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/stand"
)

// enginePause is how long the engines send nothing in TestPausedEngineKeepsRequest.
const enginePause = 1300 * time.Millisecond

// TestPausedEngineKeepsRequest guards against a request that is taken from sound engines because they are silent for a second.
func TestPausedEngineKeepsRequest(t *testing.T) {
	for _, at := range []phase{beforeReserve, afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream} {
		t.Run(string(at), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newClusterWith(t, func(cfg *stand.EngineConfig) { cfg.KVLife = 10 * time.Second })
			w.client = engine.New(engine.Config{Clock: w.timer, Directory: w}) // with the defaults
			t.Cleanup(w.client.Close)
			begin := time.Now()
			_, res, err := runWithFaults(t, w, false, failureCase{failure: "engines pause", at: at})
			is.NoErr(err)
			is.True(time.Since(begin) > enginePause)
			is.Equal(endingOf(res, err), complete)
			is.Equal(flow.Result{Attempts: res.Attempts, Prefills: res.Prefills, Transfers: res.Transfers, Resumes: res.Resumes, Restarts: res.Restarts},
				flow.Result{Attempts: 1, Prefills: 1, Transfers: 1})
		})
	}
}
