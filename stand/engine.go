// Package stand holds small stand-ins of the systems that the router meets:
// engines, the platform and plain services. They serve tests and the demo.
//
// # Usage
//
//	e := stand.NewEngine(stand.EngineConfig{Server: "sierra-a-d1", Role: stand.RoleDecode, Timer: timer})
//	defer e.Close()
//	srv := httptest.NewServer(e)
//	e.Inject(stand.Fault{Kind: stand.FaultBefore, Path: "/v1/cancel", N: 2})
//
// The stand-ins use the given clock and no random numbers, so runs are
// reproducible. Faults are injected by method calls or through the paths below
// /control/.
package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// The roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// EngineConfig holds the settings of an Engine. Zero durations and counts select
// the defaults.
type EngineConfig struct {
	Server  ident.Server
	Role    string
	Models  []engine.LoadedModel
	Build   string // engines of the same build produce the same output; empty if outputs differ
	Timer   tick.Clock
	Places  int
	Fencing bool   // reject orders with an older fencing number
	Store   *Store // weight store; if nil, models load at once

	PrefillToken time.Duration // time for each prompt token that is not cached
	TokenTime    time.Duration // token interval with one slot taken
	TokenSlope   time.Duration // added to TokenTime for each further slot taken
	KVLife       time.Duration // time until an exported KV cache expires
	KVTokenBytes int64         // size of the KV cache of one token, in bytes
	Link         *Link         // link for exports; if nil, unlimited
	HoldLife     time.Duration // maximum time until a hold without contact expires
	IgnoreHold   bool          // use HoldLife for every hold, whatever was requested
	Heartbeat    time.Duration // interval between heartbeats on open responses
	TouchOnly    bool          // only calls count as contact, an open stream does not

	Pieces      func(prompt string) []uint64 // block hashes of a prompt; if nil, nothing is cached
	CachePieces int                          // capacity of the prefix cache, in blocks
	ReportEvery time.Duration                // interval between updates of the load report
	EventDelay  time.Duration                // delay of cache events
	EventGap    int                          // one in so many events is lost; 0 for none
}

const (
	defaultPlaces      = 20
	defaultPrefill     = 30 * time.Microsecond
	defaultTokenTime   = 20 * time.Millisecond
	defaultKVLife      = 900 * time.Millisecond
	defaultKVBytes     = 160 << 10
	defaultHoldLife    = 10 * time.Second
	defaultHeartbeat   = 500 * time.Millisecond
	defaultCachePieces = 1000
	defaultReport      = 200 * time.Millisecond
	defaultEventDelay  = 100 * time.Millisecond
	tombstoneLife      = time.Minute
)

// Engine is a stand-in of an inference engine. It runs no model: prefill and
// decode take time, and the output depends only on the prompt (see Answer).
type Engine struct {
	cfg    EngineConfig
	mux    *http.ServeMux
	client *http.Client // client for the exports of other engines
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // waits for the goroutines of the engine

	mu       sync.Mutex // guards everything below
	life     *lifetime
	serial   uint64
	attempts map[string]*attempt
	gone     map[string]tick.Instant // cancelled attempts, with the time until which they are rejected
	exports  map[string]*export
	queue    []*job
	running  *job
	cache    *pieceCache
	feed     *eventFeed
	report   reports
	role     string
	models   []engine.LoadedModel
	loading  []loading
	fence    uint64
	draining bool
	faults   []Fault
	last     *recorded // answer to the last call that may share a connection
	counts   EngineCounts
	runs     map[string]int // prefills and decodes started since the last restart, by attempt
}

// lifetime is one run of the engine's process. Kill ends it.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	muted  context.Context // ended by FaultSilence
	mute   context.CancelFunc
	paused atomic.Pointer[context.Context] // ended at the end of the last FaultPause
}

// NewEngine returns a running engine. The caller must close it.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.routes()
	e.reset()
	return e
}

func (cfg EngineConfig) withDefaults() EngineConfig {
	setDefault(&cfg.PrefillToken, defaultPrefill)
	setDefault(&cfg.TokenTime, defaultTokenTime)
	setDefault(&cfg.KVLife, defaultKVLife)
	setDefault(&cfg.HoldLife, defaultHoldLife)
	setDefault(&cfg.Heartbeat, defaultHeartbeat)
	setDefault(&cfg.ReportEvery, defaultReport)
	setDefault(&cfg.EventDelay, defaultEventDelay)
	if cfg.Places == 0 {
		cfg.Places = defaultPlaces
	}
	if cfg.KVTokenBytes == 0 {
		cfg.KVTokenBytes = defaultKVBytes
	}
	if cfg.CachePieces == 0 {
		cfg.CachePieces = defaultCachePieces
	}
	if cfg.Role == "" {
		cfg.Role = RoleBoth
	}
	if cfg.Link == nil {
		cfg.Link = NewLink(0)
	}
	return cfg
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+engine.PathReserve, e.reserve)
	e.mux.HandleFunc("POST "+engine.PathPrefill, e.prefill)
	e.mux.HandleFunc("POST "+engine.PathImport, e.importKV)
	e.mux.HandleFunc("GET "+engine.PathKV+"{kv}", e.exportKV)
	e.mux.HandleFunc("GET "+engine.PathStream, e.stream)
	e.mux.HandleFunc("POST "+engine.PathCancel, e.cancelAttempt)
	e.mux.HandleFunc("POST "+engine.PathTouch, e.touch)
	e.mux.HandleFunc("GET "+engine.PathHolds, e.holds)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.load)
	e.mux.HandleFunc("GET "+engine.PathEvents, e.events)
	e.mux.HandleFunc("POST "+engine.PathOrders, e.orders)
	e.mux.HandleFunc("POST /control/fault", e.controlFault)
	e.mux.HandleFunc("GET /control/counts", e.controlCounts)
}

// reset clears the engine's memory and begins a lifetime.
func (e *Engine) reset() {
	l := &lifetime{}
	l.ctx, l.cancel = context.WithCancel(e.ctx)
	l.muted, l.mute = context.WithCancel(l.ctx)
	e.life = l
	e.attempts = make(map[string]*attempt)
	e.gone = make(map[string]tick.Instant)
	e.exports = make(map[string]*export)
	e.queue, e.running = nil, nil
	e.cache = newPieceCache(e.cfg.CachePieces)
	e.feed = newEventFeed(e.cfg.EventDelay, e.cfg.EventGap)
	e.report = reports{}
	e.role, e.models, e.loading = e.cfg.Role, e.cfg.Models, nil
	e.fence, e.draining = 0, false
	e.runs = make(map[string]int)
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(engine.CallIDHeader); id != "" {
		w.Header().Set(engine.CallIDHeader, id)
	}
	if e.applyFault(w, r) {
		return
	}
	if sharesConnection(r.URL.Path) {
		e.answerRecorded(w, r)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Kill simulates a crash of the engine's process: connections are closed, memory
// is lost, and calls fail until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.cancel()
	e.attempts = make(map[string]*attempt)
	e.exports = make(map[string]*export)
	e.queue, e.running = nil, nil
}

// Restart simulates the start of a new process with empty memory.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.cancel()
	e.reset()
}

// Close stops the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// alive returns the current lifetime, or nil after Kill.
func (e *Engine) alive() *lifetime {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.ctx.Err() != nil {
		return nil
	}
	return e.life
}

func (e *Engine) nextName(kind string) string {
	e.serial++
	return string(e.cfg.Server) + "-" + kind + "-" + strconv.FormatUint(e.serial, 10)
}

// serves reports whether a model is loaded.
func (e *Engine) serves(m ident.Model) bool {
	e.finishLoads()
	for _, l := range e.models {
		if l.Model == m {
			return true
		}
	}
	return false
}

func (e *Engine) plays(role string) bool { return e.role == role || e.role == RoleBoth }

const maxRequestBytes = 8 << 20

// readJSON decodes the body of a call. If that fails, it writes the error response.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body", err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Code: code, Message: message})
}
