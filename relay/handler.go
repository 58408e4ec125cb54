package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
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
	// unknownRetry is when a caller may come back while nothing is configured.
	unknownRetry = time.Second
	// findTime is the time from its start within which a process expects to learn
	// the configuration, and findWait how long a request waits for it.
	findTime = time.Second
	findWait = 300 * time.Millisecond
	// plainEnd is the time before the end of the process after which a request
	// of a plain service is not begun. A model request takes modelEnd and
	// tokenEnd for each token that it is expected to make.
	plainEnd = 1500 * time.Millisecond
	modelEnd = 2 * time.Second
	tokenEnd = 6 * time.Millisecond
	// reachNear and reachAbroad bound the opening of a connection to a server
	// of the own region and of another one: some round trips. A server that
	// takes longer is cut off, or loses packets.
	reachNear   = 150 * time.Millisecond
	reachAbroad = 350 * time.Millisecond
	// drainRetry is when a caller may come back to another instance.
	drainRetry = 50 * time.Millisecond
	// limitShare is the part of a request's objective for which it may wait for
	// its customer's limit.
	limitShare = 0.25
	// defaultTimeout bounds requests where neither the caller nor the route does.
	defaultTimeout = 30 * time.Second
	// unknownBody is what a body of unknown length is expected to have, in
	// bytes.
	unknownBody = 64 << 10
	// defaultBody bounds bodies until the operator's limit is known, in bytes.
	defaultBody = 1 << 20
)

// Limiter bounds what customers use.
type Limiter interface {
	// Admit takes tokens of a customer. It waits for them for patience at most,
	// or tells when to come back as soon as it is known that they come later.
	Admit(ctx context.Context, c *route.Customer, tokens int, patience time.Duration) (wait time.Duration, ok bool)
	// Return gives tokens back that were charged and not used.
	Return(c *route.Customer, tokens int)
}

// Budget bounds the repeats of requests.
type Budget interface {
	// Asked notes a request for a service.
	Asked(service string)
	// Spend takes one repeat to a service, and tells whether there was one.
	Spend(service string) bool
}

// Placer finds servers for model requests.
type Placer interface {
	Place(ctx context.Context, w admit.Want) (*admit.Placement, error)
	Read(p *admit.Placement, took time.Duration)
	// Slow says that a prompt has not been read within a time.
	Slow(p *admit.Placement, within time.Duration)
	// Began says that the first event of a stream has come.
	Began(p *admit.Placement)
	// Paced tells the mean pause between the events of a stream.
	Paced(p *admit.Placement, pause time.Duration)
	// Full says that a server had no room for a request.
	Full(s *route.Server)
	Done(p *admit.Placement)
}

// Config configures a Handler.
type Config struct {
	Centre  string
	Region  string
	Live    *route.Live
	Wire    Wire
	Link    *link.Client
	Limiter Limiter
	Budget  Budget
	Placer  Placer
	Bodies  int64 // bytes that the bodies of requests may take together, 0 for no bound
	Answers int64 // bytes that answers may take that are kept until they are whole, 0 for no bound
	Health  *health.Book
	Meter   Meter
	Clock   tick.Service
	Log     zerolog.Logger
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

	answered *delay.Book // times to the answers of services
}

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg, counts: newLoads(), start: cfg.Clock.Now(), answered: delay.NewBook()}
}

// Active returns the number of requests that are being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// Leave says that the process ends at the instant given: each answer is the
// last one of its connection, and requests that would not end before it are
// refused at once.
func (h *Handler) Leave(end tick.Instant) { h.end.Store(int64(end)) }

// job is one request of a caller.
type job struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	ask     Ask
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
	if h.bodies.Add(size) > h.cfg.Bodies && h.cfg.Bodies > 0 {
		j.refuse(fail.Refuse(fail.CodeOverload, shedRetry, "this instance has no memory left for the body"))
		return
	}
	if !j.read() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.until-h.cfg.Clock.Now())
	defer cancel()
	j.limitWrite()
	h.cfg.Budget.Asked(j.service.Name)
	switch {
	case j.service.Engine != nil && j.ask.Sized:
		j.model(ctx)
	default:
		j.plain(ctx)
	}
}

// admit finds the route, the service and the customer.
func (j *job) admit() bool {
	j.ask = j.h.cfg.Wire.Ask(j.r.Header)
	j.find()
	j.table = j.h.cfg.Live.Table()
	if j.table == nil {
		j.refuse(fail.Refuse(fail.CodeNoTable, unknownRetry, "no configuration is known yet"))
		return false
	}
	var ok bool
	if j.route, ok = j.table.Match(j.r.Host, j.r.URL.Path); !ok {
		j.deny(http.StatusNotFound, fail.CodeRoute, "no route takes this host and path")
		return false
	}
	if most := j.table.Limits().HeaderBytes; most > 0 && headerBytes(j.r.Header) > most {
		j.w.Header().Set("Connection", "close")
		j.deny(http.StatusRequestHeaderFieldsTooLarge, fail.CodeTooLarge, "the header is too large")
		return false
	}
	if j.table.Keyed() && !j.route.Open {
		if j.cust, ok = j.table.Customer(route.HashKey(j.ask.Key)); !ok || j.ask.Key == "" {
			j.deny(http.StatusUnauthorized, fail.CodeKey, "the key is not known")
			return false
		}
	}
	if j.tooLate() {
		j.refuse(fail.Refuse(fail.CodeDraining, drainRetry, "this instance ends, another one takes the request"))
		return false
	}
	name := j.route.Pick(rand.Float64())
	if j.service, ok = j.table.Service(name); !ok {
		j.service = &route.Service{Name: name}
	}
	limit := j.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if j.ask.Deadline > 0 {
		limit = min(limit, j.ask.Deadline)
	}
	j.until = j.start + limit
	return true
}

// find waits until this process knows a configuration and servers, if it has
// just started and is about to learn them.
func (j *job) find() {
	h := j.h
	select {
	case <-h.cfg.Live.Known():
		return
	default:
	}
	left := min(findWait, h.start+findTime-h.cfg.Clock.Now())
	if left <= 0 {
		return
	}
	t := h.cfg.Clock.After(left)
	defer t.Stop()
	select {
	case <-h.cfg.Live.Known():
	case <-t.C():
	case <-j.r.Context().Done():
	}
}

// read reads the body and charges the customer.
func (j *job) read() bool {
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, j.mostBody()))
	if err != nil {
		if _, ok := errors.Into[*http.MaxBytesError](err); ok {
			j.deny(http.StatusRequestEntityTooLarge, fail.CodeTooLarge, "the body is too large")
			return false
		}
		if j.r.Context().Err() == nil {
			j.deny(http.StatusBadRequest, fail.CodeBadRequest, "the body cannot be read")
		}
		return false
	}
	j.body = body
	if j.cust == nil {
		return true
	}
	tokens := j.cust.PlainTokens
	if j.ask.Sized {
		tokens = j.ask.Prompt + j.ask.Output
	}
	patience := time.Duration(limitShare * float64(j.route.Objective))
	wait, ok := j.h.cfg.Limiter.Admit(j.r.Context(), j.cust, tokens, patience)
	if !ok && j.gone() {
		j.note = "caller left: it waited for its limit"
		return false
	}
	if !ok {
		j.refuse(fail.Refuse(fail.CodeRate, wait, "the customer's limit is reached"))
		return false
	}
	j.charged = tokens
	return true
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
		j.h.cfg.Limiter.Return(j.cust, j.charged)
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
	if j.ask.Sized {
		e = e.Int("prompt", j.ask.Prompt).Int("output", j.ask.Output).Int("hint", j.ask.Hint).
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
	if j.sent && (!j.route.Repeatable() || j.runs >= j.route.MaxTries) {
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
func (j *job) send(s *route.Server) Send {
	out := newSend(s)
	out.Left = j.left()
	out.After = j.ask.After
	if j.cust != nil {
		out.Customer = j.cust.Name
	}
	return out
}

// call returns the request as it goes to a server.
func (j *job) call(s *route.Server, out Send) *link.Call {
	return &link.Call{
		Addr:   s.Addr,
		Method: j.r.Method,
		Path:   j.path(),
		Host:   j.r.Host,
		Header: j.h.cfg.Wire.Forward(j.r.Header, out),
		Body:   j.body,
		ID:     j.ask.ID,

		DialLimit: j.reach(s),
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
