package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/delay"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// reachNear and reachAbroad bound the opening of a connection to a server
	// of the own region and of another one: some round trips. A server that
	// takes longer is cut off, or loses packets.
	reachNear   = 150 * time.Millisecond
	reachAbroad = 350 * time.Millisecond
)

// Limiter bounds what customers use.
type Limiter interface {
	// Admit takes tokens of a customer. It waits for them for patience at most,
	// or tells when to come back as soon as it is known that they come later.
	Admit(ctx context.Context, c *route.Customer, tokens int, patience time.Duration) (wait time.Duration, ok bool)
	// Refund gives tokens back that were charged and not used.
	Refund(c *route.Customer, tokens int)
}

// RetryBudget bounds the repeats of requests.
type RetryBudget interface {
	// RecordRequest notes a request for a service.
	RecordRequest(service string)
	// Allow takes one repeat to a service, and tells whether there was one.
	Allow(service string) bool
}

// Placer finds servers for model requests.
type Placer interface {
	Place(ctx context.Context, w admit.Request) (*admit.Placement, error)
	PrefillDone(p *admit.Placement, took time.Duration)
	// PrefillSlow says that a prompt has not been read within a time.
	PrefillSlow(p *admit.Placement, within time.Duration)
	// FirstEvent says that the first event of a stream has come.
	FirstEvent(p *admit.Placement)
	// ObserveGap tells the mean pause between the events of a stream.
	ObserveGap(p *admit.Placement, pause time.Duration)
	// ServerFull says that a server had no room for a request.
	ServerFull(s *route.Server)
	Release(p *admit.Placement)
}

// Config configures a Handler.
type Config struct {
	Centre           string
	Region           string
	Live             *route.Live
	Protocol         Protocol
	Client           *link.Client
	Limiter          Limiter
	RetryBudget      RetryBudget
	Placer           Placer
	MaxBodyBytes     int64 // bytes that the bodies of requests may take together, 0 for no bound
	MaxBufferedBytes int64 // bytes that answers may take that are kept until they are whole, 0 for no bound
	Health           *health.Tracker
	Meter            Meter
	Clock            tick.Clock
	Log              zerolog.Logger
}

// Handler serves callers.
type Handler struct {
	cfg    Config
	serial atomic.Uint64
	active atomic.Int64
	bodies atomic.Int64 // bytes that are promised to bodies
	// answers is the bytes of answers that are kept until they are whole.
	answers atomic.Int64
	end     atomic.Int64 // tick.Instant at which the process ends, 0 if that is not known
	counts  loads
	start   tick.Instant

	answered *delay.Estimates // times to the answers of services
}

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, counts: newLoads(), start: cfg.Clock.Now(), answered: delay.NewEstimates()}
}

// Active returns the number of requests that are being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// Drain says that the process ends at the instant given: each answer is the
// last one of its connection, and requests that would not end before it are
// refused at once.
func (h *Handler) Drain(end tick.Instant) { h.end.Store(int64(end)) }

// job is one request of a caller.
type job struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	ask     RequestInfo
	table   *route.Table
	route   *route.Route
	service *route.Service
	cust    *route.Customer
	body    []byte
	start   tick.Instant
	until   tick.Instant // when the answer is of no use any more
	charged int          // tokens taken from the customer's limit
	sent    bool         // a server may have run it
	runs    int          // servers that may have run it
	writes  int          // servers to which it was written
	paid    bool         // the next write was taken from the budget already
	began   bool         // the head of the answer was written
	saved   *reply       // a server's failure, passed on if nothing better comes
	lastID  int64        // event that the caller has got last
	steps   steps
	note    string    // what happened, for the decision line
	status  int       // of the answer, 0 before it began
	code    fail.Code // why it was refused or denied, empty if it was not
	done    bool      // a server's whole answer was passed on
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.end.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	j := &job{h: h, w: w, r: r, start: h.cfg.Clock.Now()}
	defer j.settle()
	if !j.admit() {
		return
	}
	if r.ContentLength > j.mostBody() {
		j.w.Header().Set("Connection", "close")
		j.deny(http.StatusRequestEntityTooLarge, fail.CodeTooLarge, "the body is too large")
		return
	}
	size := j.bodyBytes()
	defer h.bodies.Add(-size)
	if h.bodies.Add(size) > h.cfg.MaxBodyBytes && h.cfg.MaxBodyBytes > 0 {
		j.refuse(fail.Refuse(fail.CodeOverloaded, shedRetry, "this instance has no memory left for the body"))
		return
	}
	if !j.read() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.until-h.cfg.Clock.Now())
	defer cancel()
	j.limitWrite()
	h.cfg.RetryBudget.RecordRequest(j.service.Name)
	switch {
	case j.service.Engine != nil && j.ask.HasTokenCounts:
		j.model(ctx)
	default:
		j.plain(ctx)
	}
}

// limitWrite ends writes to a caller that does not read.
func (j *job) limitWrite() {
	left := j.until - j.h.cfg.Clock.Now()
	// Not every writer has a deadline; those in tests do without.
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Now().Add(left + time.Second))
}

// settle ends the request's accounts, counts it and writes its decision line.
func (j *job) settle() {
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Time{})
	if j.charged > 0 && !j.sent {
		j.h.cfg.Limiter.Refund(j.cust, j.charged)
	}
	j.measure()
	j.tell()
}

// tell writes the decision line.
func (j *job) tell() {
	e := logs.Decision(j.h.cfg.Log).Str("id", j.ask.ID).Int("writes", j.writes).
		Dur("took", j.h.cfg.Clock.Now()-j.start)
	if j.route != nil {
		e = e.Str("route", j.route.Name)
	}
	if j.service != nil {
		e = e.Str("service", j.service.Name)
	}
	if j.cust != nil {
		e = e.Str("customer", j.cust.Name)
	}
	if j.ask.HasTokenCounts {
		e = e.Int("prompt", j.ask.PromptTokens).Int("output", j.ask.MaxOutputTokens).Int("hint", j.ask.EstimatedOutputTokens).
			Int64("last", j.lastID).Str("prefill", j.steps.prefill).Str("decode", j.steps.decode).
			Int("reads", j.steps.reads).Int("fetched", j.steps.fetched).Int("runs", j.runs).
			Dur("placed", j.steps.placed).Dur("read", j.steps.read).Dur("first", j.steps.first).
			Dur("gap", j.steps.gap)
	}
	e.Msg("relay: " + j.note)
}

// left returns how long the answer is still of use.
func (j *job) left() time.Duration { return j.until - j.h.cfg.Clock.Now() }

// gone tells whether the caller has left.
func (j *job) gone() bool { return j.r.Context().Err() != nil }

// mayRepeat takes a repeat from the budget if the request may be written to
// one more server. The first write is free.
func (j *job) mayRepeat() bool {
	if j.sent && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts) {
		return false
	}
	if j.writes == 0 {
		return true
	}
	if j.paid {
		j.paid = false
		return true
	}
	return j.repeat()
}

// send returns what a server is told.
func (j *job) send(s *route.Server) ForwardInfo {
	out := newSend(s)
	out.Remaining = j.left()
	out.LastEventID = j.ask.LastEventID
	if j.cust != nil {
		out.Customer = j.cust.Name
	}
	return out
}

// call returns the request as it goes to a server.
func (j *job) call(s *route.Server, out ForwardInfo) *link.Request {
	return &link.Request{
		Addr:   s.Addr,
		Method: j.r.Method,
		Path:   j.path(),
		Host:   j.r.Host,
		Header: j.h.cfg.Protocol.ForwardHeader(j.r.Header, out),
		Body:   j.body,
		ID:     j.ask.ID,

		DialTimeout: j.reach(s),
	}
}

// reach returns how long a server that is alive may take to answer a call that
// costs it no work.
func (j *job) reach(s *route.Server) time.Duration {
	if s.Region == j.h.cfg.Region {
		return reachNear
	}
	return reachAbroad
}

// path returns the path and query as the caller sent them.
func (j *job) path() string {
	if p := j.r.RequestURI; p != "" && p[0] == '/' {
		return p
	}
	return j.r.URL.RequestURI()
}
