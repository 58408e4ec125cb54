package stand

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// The kinds of faults.
const (
	FaultStall   = "stall"   // the next exports hang
	FaultCross   = "cross"   // the next tokens are preceded by one of another attempt and a repeated one
	FaultStatus  = "status"  // the next calls get status 500
	FaultBefore  = "before"  // connections of the next calls are closed before the calls run
	FaultAfter   = "after"   // connections of the next calls are closed before the response
	FaultLate    = "late"    // connections of the next calls are closed, and the calls run after a delay
	FaultAgain   = "again"   // the next calls run and get the response to the call before, on paths that share connections
	FaultRefuse  = "refuse"  // the next calls get status 503 with a code
	FaultDrain   = "drain"   // the engine is draining
	FaultUndrain = "undrain" // the engine is no longer draining
	FaultSilence = "silence" // nothing more is sent on open connections
	FaultPause   = "pause"   // nothing is sent for a time, and everything afterwards
	FaultCut     = "cut"     // open streams are interrupted
	FaultKill    = "kill"    // see Engine.Kill
	FaultRestart = "restart" // see Engine.Restart
)

// Fault is a fault to inject, the body of POST /control/fault.
type Fault struct {
	Kind    string `json:"kind"`
	Path    string `json:"path,omitempty"` // path prefix of the calls that the fault affects
	N       int    `json:"n,omitempty"`    // number of calls that the fault affects
	DelayMS int64  `json:"delay_ms,omitempty"`
}

// EngineCounts holds the counters of an engine, the response to GET
// /control/counts.
type EngineCounts struct {
	Holds         int   `json:"holds"` // at present
	Busy          int   `json:"busy"`  // slots taken at present
	Prefills      int64 `json:"prefills"`
	PrefillTokens int64 `json:"prefill_tokens"` // without cached tokens
	Exports       int64 `json:"exports"`        // started
	Imports       int64 `json:"imports"`        // completed
	Decodes       int64 `json:"decodes"`
	Streams       int64 `json:"streams"`
	Tokens        int64 `json:"tokens"`
	Cancels       int64 `json:"cancels"`
	Expired       int64 `json:"expired"` // attempts whose hold has expired
	Full          int64 `json:"full"`
	Orders        int64 `json:"orders"`
	Loads         int64 `json:"loads"`
	Repeated      int   `json:"repeated"` // attempts that ran more than once since the last restart
}

// Inject injects a fault.
func (e *Engine) Inject(f Fault) {
	switch f.Kind {
	case FaultKill:
		e.Kill()
		return
	case FaultRestart:
		e.Restart()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case FaultDrain:
		e.draining = true
	case FaultUndrain:
		e.draining = false
	case FaultSilence:
		e.life.mute()
		e.life = &lifetime{ctx: e.life.ctx, cancel: e.life.cancel}
		e.life.muted, e.life.mute = context.WithCancel(e.life.ctx)
	case FaultPause:
		e.pause(time.Duration(f.DelayMS) * time.Millisecond)
	case FaultCut:
		for _, a := range e.attempts {
			if a.decode != nil {
				a.decode.closeStream()
			}
		}
	default:
		e.faults = append(e.faults, f)
	}
}

// pause lets the engine send nothing for a time. The caller holds mu.
func (e *Engine) pause(d time.Duration) {
	paused, end := context.WithCancel(e.life.ctx)
	e.life.paused.Store(&paused)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer end()
		_ = tick.Sleep(paused, e.cfg.Timer, d) // fails only if the engine is killed
	}()
}

// Counts returns the present counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Holds = len(e.account())
	c.Busy = e.busy()
	for _, n := range e.runs {
		if n > 1 {
			c.Repeated++
		}
	}
	return c
}

func (e *Engine) controlFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	e.Inject(f)
	writeJSON(w, struct{}{})
}

func (e *Engine) controlCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counts())
}

// takeFault reports whether there is a fault of a kind for the path, and counts it as
// used once.
func (e *Engine) takeFault(kind, path string) bool {
	for i := range e.faults {
		f := &e.faults[i]
		if f.Kind != kind || f.N <= 0 || !strings.HasPrefix(path, f.Path) {
			continue
		}
		f.N--
		return true
	}
	return false
}

// nextFault returns the first fault that affects calls to a path, and counts it as
// used once.
func (e *Engine) nextFault(path string) (Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.faults {
		switch f.Kind {
		case FaultStall, FaultCross:
			continue
		}
		if f.N > 0 && strings.HasPrefix(path, f.Path) && e.takeFault(f.Kind, path) {
			return f, true
		}
	}
	return Fault{}, false
}

// applyFault handles a call if a fault affects it, and reports whether one did.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request) bool {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		return false
	}
	l := e.alive()
	if l == nil {
		panic(http.ErrAbortHandler)
	}
	if !l.awaitPause(r) {
		return true
	}
	f, ok := e.nextFault(r.URL.Path)
	if !ok {
		return false
	}
	switch f.Kind {
	case FaultStatus:
		http.Error(w, "injected", http.StatusInternalServerError)
		return true
	case FaultRefuse:
		refuse(w, http.StatusServiceUnavailable, engine.CodeFull, "injected")
		return true
	case FaultAgain:
		if !sharesConnection(r.URL.Path) {
			return false
		}
		e.answerAgain(w, r)
		return true
	case FaultAfter:
		e.mux.ServeHTTP(&discard{header: make(http.Header)}, r)
	case FaultLate:
		e.actLate(r, time.Duration(f.DelayMS)*time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// actLate runs a call after a delay, when its connection is closed.
func (e *Engine) actLate(r *http.Request, d time.Duration) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	late := r.Clone(e.ctx)
	late.Body = io.NopCloser(bytes.NewReader(body))
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer func() { _ = recover() }() // the handler panics if the engine is killed meanwhile
		if tick.Sleep(e.ctx, e.cfg.Timer, d) == nil && e.alive() != nil {
			e.mux.ServeHTTP(&discard{header: make(http.Header)}, late)
		}
	}()
}

// discard is a ResponseWriter that discards everything.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
