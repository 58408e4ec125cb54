package stand

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// The kinds of faults that only a Plain supports. It also supports FaultBefore,
// FaultAfter, FaultStatus and FaultRefuse.
const (
	FaultSlow = "slow" // the next calls take DelayMS longer to run
	FaultHang = "hang" // the next calls run and get no response
	FaultDeaf = "deaf" // the next calls do not run and get no response
)

// plainIDHeaders are the headers with the ID of a call. The first one that is
// present is used.
var plainIDHeaders = []string{"X-Call-Id", "Idempotency-Key", "X-Request-Id"}

// plainKeyHeaders are the headers that may contain a caller's key.
var plainKeyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// PlainConfig holds the settings of a Plain.
type PlainConfig struct {
	Name  string
	Timer tick.Clock
	Delay time.Duration // duration of each call
}

// Plain is a stand-in of a service without a model. It counts how often each call
// has run. GET /status/{id} returns the count and does not count as a run.
type Plain struct {
	cfg    PlainConfig
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex // guards everything below
	faults []Fault
	runs   map[string]int
	counts PlainCounts
}

// PlainCounts holds the counters of a Plain, the response to GET /control/counts.
type PlainCounts struct {
	Calls   int64 `json:"calls"`
	Runs    int64 `json:"runs"`
	Doubled int   `json:"doubled"` // calls that ran more than once
	Keys    int64 `json:"keys"`    // calls with a caller's key
}

// PlainAnswer is the response to a call.
type PlainAnswer struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Run     int    `json:"run"` // number of runs of the call, including this one
	Method  string `json:"method"`
	Path    string `json:"path"`
	Bytes   int    `json:"bytes"` // size of the body
}

// NewPlain returns a running service. The caller must close it.
func NewPlain(cfg PlainConfig) *Plain {
	ctx, cancel := context.WithCancel(context.Background())
	return &Plain{cfg: cfg, ctx: ctx, cancel: cancel, runs: make(map[string]int)}
}

// Close ends the calls that hang.
func (p *Plain) Close() { p.cancel() }

// Inject injects a fault.
func (p *Plain) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, f)
}

// Runs returns how often the call with an id has run.
func (p *Plain) Runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// Counts returns the present counters.
func (p *Plain) Counts() PlainCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	for _, n := range p.runs {
		if n > 1 {
			c.Doubled++
		}
	}
	return c
}

// ServeHTTP serves one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/fault":
		p.controlFault(w, r)
	case r.URL.Path == "/control/counts":
		writeJSON(w, p.Counts())
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/status/"):
		p.status(w, r)
	default:
		p.call(w, r)
	}
}

func (p *Plain) controlFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if readJSON(w, r, &f) {
		p.Inject(f)
		writeJSON(w, struct{}{})
	}
}

func (p *Plain) status(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/status/")
	writeJSON(w, PlainAnswer{Service: p.cfg.Name, ID: id, Run: p.Runs(id), Method: r.Method, Path: r.URL.Path})
}

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	f := p.arrive(r)
	delay := p.cfg.Delay
	switch f.Kind {
	case FaultBefore:
		panic(http.ErrAbortHandler)
	case FaultDeaf:
		p.hang(r)
	case FaultRefuse:
		refuse(w, http.StatusServiceUnavailable, "busy", "injected")
		return
	case FaultSlow:
		delay += time.Duration(f.DelayMS) * time.Millisecond
	}
	if delay > 0 && tick.Sleep(p.ctx, p.cfg.Timer, delay) != nil {
		panic(http.ErrAbortHandler)
	}
	id := plainID(r)
	run := p.run(id)
	switch f.Kind {
	case FaultAfter:
		panic(http.ErrAbortHandler)
	case FaultHang:
		p.hang(r)
	case FaultStatus:
		http.Error(w, "injected", http.StatusInternalServerError)
		return
	}
	writeJSON(w, PlainAnswer{
		Service: p.cfg.Name,
		ID:      id,
		Run:     run,
		Method:  r.Method,
		Path:    r.URL.Path,
		Bytes:   len(body),
	})
}

// arrive counts a call and returns the fault that affects it.
func (p *Plain) arrive(r *http.Request) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Calls++
	for _, h := range plainKeyHeaders {
		if r.Header.Get(h) != "" {
			p.counts.Keys++
			break
		}
	}
	for i := range p.faults {
		if f := &p.faults[i]; f.N > 0 && strings.HasPrefix(r.URL.Path, f.Path) {
			f.N--
			return *f
		}
	}
	return Fault{}
}

func (p *Plain) run(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Runs++
	p.runs[id]++
	return p.runs[id]
}

// hang waits until the connection or the service is closed.
func (p *Plain) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func plainID(r *http.Request) string {
	for _, h := range plainIDHeaders {
		if id := r.Header.Get(h); id != "" {
			return id
		}
	}
	return ""
}
