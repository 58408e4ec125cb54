package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/delay"
	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/spill"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/usual"
	"wasabidock.dev/dock/warmup"
)

const (
	// localDialTimeout bounds the opening of a connection to a server in this instance's
	// region, and remoteDialTimeout to a server in another region. Both allow for a few
	// round trips. A server that takes longer is partitioned or loses packets.
	localDialTimeout  = 150 * time.Millisecond
	remoteDialTimeout = 350 * time.Millisecond
)

// Limiter enforces the rate limits of customers.
type Limiter interface {
	// Admit takes tokens from the customer's limit. It waits for the tokens for at most
	// maxWait. If they will not be available by then, Admit returns at once, with ok false
	// and the time after which to retry.
	Admit(ctx context.Context, c *route.Customer, tokens int, maxWait time.Duration) (wait time.Duration, ok bool)
	// Refund returns tokens that were charged and not used to the customer's limit.
	Refund(c *route.Customer, tokens int)
}

// RetryBudget bounds the retries to each service.
type RetryBudget interface {
	// RecordRequest records a request to a service, which increases the service's budget.
	RecordRequest(service string)
	// Allow takes one retry from the budget of a service, and reports whether there was one.
	Allow(service string) bool
}

// Placer chooses servers for model requests and tracks their load.
type Placer interface {
	// Place returns a placement for the request. The caller must release it.
	Place(ctx context.Context, req admit.Request) (*admit.Placement, error)
	// PrefillDone records that the prefill took the given time.
	PrefillDone(p *admit.Placement, took time.Duration)
	// PrefillSlow records that the prefill did not finish within the given time.
	PrefillSlow(p *admit.Placement, within time.Duration)
	// FirstEvent records that the first event of a stream was received.
	FirstEvent(p *admit.Placement)
	// ObserveGap records the mean interval between the events of a stream.
	ObserveGap(p *admit.Placement, mean time.Duration)
	// ServerFull records that a server rejected a reservation for lack of room.
	ServerFull(s *route.Server)
	// Release ends the placement and frees the load that was charged for it.
	Release(p *admit.Placement)
}

// Config configures a Handler.
type Config struct {
	Centre      string      // data centre of this instance
	Region      string      // region of this instance
	Live        *route.Live // current configuration and server list
	Protocol    Protocol
	Client      *link.Client
	Limiter     Limiter
	RetryBudget RetryBudget
	Placer      Placer
	Memory      *memory.Budget // of request bodies, buffered responses and events, nil for no limit
	Health      *health.Tracker
	Filter      *filter.Filter // decides which servers may serve a request
	Warmups     *warmup.Tracker
	Permits     *permit.Gate
	Crashes     *crash.Gate // admits requests by the parts of their prompts
	Drain       *drain.Tracker
	Meter       Meter
	Clock       tick.Clock
	Log         zerolog.Logger
}

// Handler is the http.Handler that forwards the requests of callers.
type Handler struct {
	cfg             Config
	lastPlacementID atomic.Uint64
	loads           serverLoads
	silent          serverLoads // number of model requests whose server is silent now
	invalidLimits   invalidLimits
	start           tick.Instant // start of the process

	responseTimes *delay.Estimates // response times by service
	speeds        *spill.Speeds    // response times of plain servers
	usual         *usual.Times     // times from the arrival of requests to their ends
}

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, loads: newServerLoads(), silent: newServerLoads(), start: cfg.Clock.Now(), responseTimes: delay.NewEstimates(), speeds: spill.NewSpeeds(), usual: usual.NewTimes()}
}

// exchange is one request of a caller and its response.
type exchange struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	info          RequestInfo
	table         *route.Table
	route         *route.Route
	service       *route.Service
	customer      *route.Customer
	body          []byte
	memory        *memory.Account // of the body and the responses that are buffered
	start         tick.Instant
	received      tick.Instant // time at which the body had been read, 0 before
	deadline      tick.Instant // deadline of the response
	chargedTokens int          // tokens taken from the customer's limit
	mayHaveRun    bool         // a server may have run the request
	runs          atomic.Int64 // number of servers that may have run the request
	writes        int          // number of servers to which the request was written
	arrivals      arrivals
	headerWritten bool      // the response header was written
	savedFailure  *response // error response of a server, passed on if no other attempt succeeds
	lastEventID   int64     // ID of the last event passed on to the caller, initially RequestInfo.LastEventID
	stats         requestStats
	servers       []string // IDs of the servers to which the request was written, if it is not placed
	permits       permits
	tableScope    atomic.Pointer[tableScope] // see scope
	ineligible    ineligible                 // servers that may not serve the request, if none was found
	prompt        promptParts
	discards      bool         // the response was written before the body was read
	state         atomic.Int32 // see stateReading
	drain         *drainView   // nil if the process served when the request arrived
	summary       string       // description of the outcome, for the decision log line
	status        int          // HTTP status of the response, 0 before its header was written
	code          fail.Code    // reason of the rejection, empty if the request was not rejected
	complete      bool         // the whole response of a server was passed on
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	taken := h.cfg.Drain.Enter()
	defer h.cfg.Drain.Leave()
	x := &exchange{h: h, w: w, r: r, start: h.cfg.Clock.Now()}
	x.serve(taken)
	if x.status == 0 {
		// The caller may have ended only its side of the connection, and would read an empty success.
		panic(http.ErrAbortHandler)
	}
}

// serve serves the request, or rejects one that is not taken. It writes no response if the caller has left.
func (x *exchange) serve(taken bool) {
	h, r := x.h, x.r
	defer x.discardBody()
	defer x.finish()
	x.info = h.cfg.Protocol.ParseRequest(r.Header)
	if !taken {
		x.rejectDraining()
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer x.watch(cancel)()
	if !x.resolve() {
		return
	}
	if r.ContentLength > x.maxBodyBytes() {
		x.clientError(http.StatusRequestEntityTooLarge, fail.CodeTooLarge, "the body is too large")
		return
	}
	x.memory = h.cfg.Memory.Account()
	defer x.memory.Free()
	if !x.readAndCharge(ctx) {
		return
	}
	ctx, cancelAtDeadline := context.WithTimeout(ctx, x.deadline-h.cfg.Clock.Now())
	defer cancelAtDeadline()
	x.setWriteDeadline()
	h.cfg.RetryBudget.RecordRequest(x.service.Name)
	switch {
	case x.placed():
		x.serveModel(ctx, h.cfg.Placer)
	case x.streams():
		x.serveModel(ctx, picker{x})
	default:
		x.servePlain(ctx)
	}
}

// placed reports whether the request is placed by its tokens: it names them, and its service has engines.
func (x *exchange) placed() bool { return x.service.Engine != nil && x.info.HasTokenCounts }

// streams reports whether the response is passed on event by event.
func (x *exchange) streams() bool { return x.route.Kind == route.Stream }

// setWriteDeadline sets the write deadline to 1 s after the deadline of the response. It bounds
// writes to a caller that does not read.
func (x *exchange) setWriteDeadline() {
	left := x.deadline - x.h.cfg.Clock.Now()
	// The error is ignored because not every ResponseWriter supports deadlines, for example in
	// tests.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(left + time.Second))
}

// finish refunds the charged tokens if no server can have run the request, records the
// metrics, and writes the decision log line.
func (x *exchange) finish() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
	if x.chargedTokens > 0 && !x.mayHaveRun {
		x.h.cfg.Limiter.Refund(x.customer, x.chargedTokens)
	}
	x.recordMetrics()
	x.logDecision()
}

// logDecision writes the decision log line.
func (x *exchange) logDecision() {
	e := logs.Decision(x.h.cfg.Log).Str("id", x.info.ID).Int("writes", x.writes).
		Dur("took", x.h.cfg.Clock.Now()-x.start)
	if since, ok := x.h.cfg.Drain.Since(x.start); ok {
		e = e.Dur("draining", since)
	}
	x.drain.log(e)
	if x.route != nil {
		e = e.Str("route", x.route.Name)
	}
	if x.service != nil {
		e = e.Str("service", x.service.Name)
	}
	if x.customer != nil {
		e = e.Str("customer", x.customer.Name)
	}
	if len(x.servers) > 0 {
		e = e.Strs("servers", x.servers)
	}
	x.permits.log(e)
	x.ineligible.log(e)
	x.prompt.log(e, x.h.cfg.Crashes)
	if x.route != nil && x.streams() {
		e = e.Int64("last", x.lastEventID).Int("runs", x.runCount()).Dur("first", x.stats.first).Dur("gap", x.stats.maxGap)
	}
	if x.info.HasTokenCounts {
		e = e.Int("prompt", x.info.PromptTokens).Int("output", x.info.MaxOutputTokens).Int("hint", x.info.EstimatedOutputTokens)
	}
	if len(x.info.Parts) > 0 {
		e = e.Strs("parts", x.info.Parts)
	}
	if x.service != nil && x.placed() {
		e = e.Str("prefill", x.stats.prefill).Str("decode", x.stats.decode).Str("kv", x.stats.handle).Str("hold", x.stats.reservation).
			Int("reads", x.stats.prefills).Int("fetched", x.stats.transfers).Dur("placed", x.stats.placed).Dur("read", x.stats.prefilled)
	}
	e.Msg("relay: " + x.summary)
}

// runCount returns the number of servers that may have run the request.
func (x *exchange) runCount() int { return int(x.runs.Load()) }

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return x.deadline - x.h.cfg.Clock.Now() }

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }

// allowAttempt reports whether the request may be written to one more server, and counts it as an
// arrival there.
func (x *exchange) allowAttempt() bool {
	if x.mayHaveRun && (!x.route.Retryable() || x.runCount() >= x.route.MaxAttempts) {
		return false
	}
	return x.arrivals.count(x.spendRetry)
}

// forwardInfo returns the header values that the router sets for a server.
func (x *exchange) forwardInfo(s *route.Server) ForwardInfo {
	out := newForwardInfo(s)
	out.LastEventID = x.info.LastEventID
	if x.customer != nil {
		out.Customer = x.customer.Name
	}
	return out
}

// serverRequest returns the request to send to a server.
func (x *exchange) serverRequest(s *route.Server, out ForwardInfo) *link.Request {
	return &link.Request{
		Addr:   s.Addr,
		Method: x.r.Method,
		Path:   x.requestURI(),
		Host:   x.r.Host,
		Header: x.h.cfg.Protocol.ForwardHeader(x.r.Header, out),
		Body:   x.body,
		ID:     x.info.ID,

		DialTimeout: x.dialTimeout(s),
	}
}

// dialTimeout returns the timeout of calls to s that cost the server no work, such as
// opening a connection. A reachable server answers such calls within the timeout.
func (x *exchange) dialTimeout(s *route.Server) time.Duration {
	if s.Region == x.h.cfg.Region {
		return localDialTimeout
	}
	return remoteDialTimeout
}

// requestURI returns the path and query as the caller sent them.
func (x *exchange) requestURI() string {
	if p := x.r.RequestURI; p != "" && p[0] == '/' {
		return p
	}
	return x.r.URL.RequestURI()
}
