package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/unread"
)

// exchange is one request of a caller and its response. It is used only by the
// goroutine of its handler.
type exchange struct {
	s          *Server
	c          *gin.Context
	rc         *http.ResponseController
	ctx        context.Context
	cancel     context.CancelCauseFunc
	id         ident.Request
	started    tick.Instant
	view       View
	keys       apiKeys
	sum        [32]byte
	registered bool // the request is registered in Server.active under sum
	bodyRead   bool // the body was read to its end
	discards   bool // the response was written before that
	customer   ident.Customer
	admitted   bool
	callerLeft bool // the caller disconnected or stopped reading before the end
	record     decisionRecord
}

// decisionRecord holds the fields of the decision log line of an exchange.
type decisionRecord struct {
	kind     string
	model    ident.Model
	class    ident.Class
	route    ident.Route
	status   int
	outcome  ident.Outcome
	code     fail.Code
	reason   string
	prompt   int64
	result   Result
	server   ident.Server
	runnerUp ident.Server
	replayed bool
	stream   bool
}

// begin starts an exchange: it removes the API keys from the headers and the query
// and assigns the request its identifier. The handler must call close at its end.
func (s *Server) begin(c *gin.Context, kind string) *exchange {
	x := &exchange{s: s, c: c, started: s.cfg.Clock.Now()}
	x.record.kind = kind
	x.rc = http.NewResponseController(c.Writer)
	x.ctx, x.cancel = context.WithCancelCause(c.Request.Context())
	s.active.count.Add(1)
	extractKeys(c.Request, &x.keys)
	x.id = x.requestID(c.GetHeader("X-Request-Id"))
	c.Header("X-Request-Id", string(x.id))
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	return x
}

// requestID returns the caller's identifier v if it is well formed and contains no
// API key, and a new one otherwise.
func (x *exchange) requestID(v string) ident.Request {
	if v == "" || len(v) > maxRequestID || strings.Trim(v, requestIDChars) != "" || x.keys.foundIn(v) {
		return x.s.cfg.NewID()
	}
	return ident.Request(v)
}

const requestIDChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// close ends the exchange and writes its decision log line.
func (x *exchange) close() {
	if x.registered {
		x.s.active.remove(x)
	}
	x.cancel(nil)
	x.logDecision()
	x.s.requestDone()
	if x.discards {
		markLast(x.c.Request)
		unread.Discard(x.c.Request.Context(), x.c.Writer, x.c.Request)
	}
}

// retryWhenFull is the Retry-After time of an instance that has MaxActive requests.
const retryWhenFull = time.Second

// loadConfig stores the configuration in force for the exchange. It writes an error
// and returns false if the instance has too many requests in progress, or if no
// configuration is loaded yet.
func (x *exchange) loadConfig() bool {
	if most := x.s.cfg.MaxActive; most > 0 && x.s.active.count.Load() > most {
		x.writeError(apiError{code: fail.CodeOverloaded, message: "the instance has too many requests in progress", outcome: ident.NotRun, retryAfter: retryWhenFull})
		return false
	}
	v, ok := x.s.cfg.Source.View()
	if !ok {
		x.writeError(rejection(fail.CodeNoTable, "no table is in force yet"))
		return false
	}
	x.view = v
	return true
}

// authenticate looks up the customer of the API key that was sent with the request.
// It registers the request first, and then looks up the key in the newest
// revision. A key that is withdrawn in the meantime is therefore seen either here
// or by CancelWithdrawn.
func (x *exchange) authenticate() bool {
	sum, ok := x.keys.sum()
	if !ok {
		x.rejectKey("the request carries no key")
		return false
	}
	x.sum, x.registered = sum, true
	x.s.active.add(x, x.cancel)
	if v, ok := x.s.cfg.Source.View(); ok {
		x.view = v
	}
	if x.customer, ok = x.view.KeyOwner(sum); !ok {
		x.rejectKey("the key is not valid")
		return false
	}
	return true
}

func (x *exchange) rejectKey(message string) {
	x.c.Header("WWW-Authenticate", "Bearer")
	x.writeError(rejection(fail.CodeInvalidKey, message))
}

// stripKeys removes the headers that contain an API key and clears x.keys. If a key
// remains where it cannot be removed, it writes an error and returns false, so
// that no key reaches a backend server.
func (x *exchange) stripKeys(body []byte) bool {
	leak := x.keys.foundIn(x.c.GetHeader(idempotencyKey)) || repeatsKey(x.c.Request.URL, body, &x.keys)
	removeLeakingHeaders(x.c.Request.Header, &x.keys)
	x.keys = apiKeys{}
	if leak {
		x.writeError(rejection(fail.CodeBadRequest, "the request repeats its key where it can't be taken out"))
	}
	return !leak
}

// readBody reads the complete request body, of at most limit bytes, within the idle
// and total time limits. If it fails, it writes the error.
func (x *exchange) readBody(limit int64) ([]byte, bool) {
	r := &bodyReader{r: http.MaxBytesReader(x.c.Writer, x.c.Request.Body, limit), rc: x.rc, idleTimeout: x.s.cfg.BodyIdleTimeout, deadline: time.Now().Add(bodyTimeout)}
	body, err := io.ReadAll(r)
	_ = x.rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		x.bodyRead = true
		return body, true
	case errors.As(err, &large):
		x.writeError(rejection(fail.CodeTooLarge, "the body is too large"))
	default:
		x.c.Header("Connection", "close")
		x.writeError(rejection(fail.CodeBadRequest, "the body did not arrive whole"))
	}
	return nil, false
}

// bodyReader sets a read deadline before each read: idleTimeout from now, but not
// after deadline.
type bodyReader struct {
	r           io.Reader
	rc          *http.ResponseController
	idleTimeout time.Duration
	deadline    time.Time
}

func (b *bodyReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(b.idleTimeout)
	if limit.After(b.deadline) {
		limit = b.deadline
	}
	_ = b.rc.SetReadDeadline(limit)
	return b.r.Read(p)
}

// writeError writes an error response. Nothing must have been written before.
func (x *exchange) writeError(f apiError) {
	if x.keyWithdrawn() {
		f = x.withdrawnError(f)
	}
	x.recordFailure(f)
	x.discards = !x.bodyRead && unread.Prepare(x.c.Writer, x.c.Request)
	if n := f.retrySeconds(); n > 0 {
		x.c.Header("Retry-After", strconv.FormatInt(n, 10))
	}
	x.writeJSON(f.status(), f.body(x.id))
}

// keyWithdrawn reports whether the API key was withdrawn while the request ran.
func (x *exchange) keyWithdrawn() bool {
	return errors.Is(context.Cause(x.ctx), errWithdrawn)
}

// callerGone reports whether the caller disconnected or stopped reading.
func (x *exchange) callerGone() bool {
	return x.c.Request.Context().Err() != nil || errors.Is(context.Cause(x.ctx), errCallerGone)
}

// withdrawnError returns the error of a request whose API key was withdrawn. It
// keeps the outcome of f.
func (x *exchange) withdrawnError(f apiError) apiError {
	return apiError{code: fail.CodeKeyWithdrawn, message: "the key was withdrawn while the request ran", outcome: f.outcome}
}

// recordFailure records an error for the decision log line, and reports a rejection
// to the meter.
func (x *exchange) recordFailure(f apiError) {
	x.callerLeft = x.callerGone()
	x.record.code, x.record.reason, x.record.outcome = f.code, f.message, f.outcome
	if f.outcome == ident.NotRun && !x.callerLeft {
		x.s.cfg.Meter.RecordRejection(x.customer, f.code, x.admitted && f.code != fail.CodeKeyWithdrawn)
	}
}

// writeJSON writes a complete JSON response.
func (x *exchange) writeJSON(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	x.writeBody(status, "application/json", append(b, '\n'))
}

// writeBody writes a complete response with its Content-Length. It writes the body
// in chunks, so that a slow caller has StallTimeout for each of them.
func (x *exchange) writeBody(status int, contentType string, b []byte) {
	x.record.status = status
	w := x.c.Writer
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if bodyAllowed(status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	w.WriteHeader(status)
	w.WriteHeaderNow()
	for len(b) > 0 && bodyAllowed(status) {
		n := min(len(b), writeChunkBytes)
		x.extendWriteDeadline()
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
	x.extendWriteDeadline()
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// extendWriteDeadline sets the write deadline to StallTimeout from now.
func (x *exchange) extendWriteDeadline() {
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.s.cfg.StallTimeout))
}

// logDecision writes the decision log line of the exchange.
func (x *exchange) logDecision() {
	n := &x.record
	e := logs.Decision(x.s.cfg.Log).
		Str("request", string(x.id)).
		Str("kind", n.kind).
		Str("customer", string(x.customer))
	if x.view != nil {
		e = e.Uint64("revision", x.view.Revision())
	}
	if n.model != "" {
		e = e.Str("model", string(n.model)).Str("class", string(n.class)).Bool("stream", n.stream)
	}
	if n.route != "" {
		e = e.Str("route", string(n.route)).Str("server", string(n.server)).
			Str("runner_up", string(n.runnerUp)).Bool("replayed", n.replayed)
	}
	if x.admitted && n.model != "" {
		r := n.result
		e = e.Int64("prompt_tokens", n.prompt).Int64("output_tokens", r.OutputTokens).
			Str("prefill", string(r.Prefill)).Str("decode", string(r.Decode)).
			Int("attempts", r.Attempts).Int64("wasted_tokens", r.WastedTokens).
			Dur("first_token_ms", r.FirstToken).Dur("max_gap_ms", r.MaxGap).Bool("on_time", r.OnTime)
	}
	if n.code != "" {
		e = e.Str("code", string(n.code)).Str("reason", n.reason)
	}
	what := "front: request answered"
	switch {
	case n.code != "" && n.outcome == ident.NotRun:
		what = "front: request refused"
	case n.code != "":
		what = "front: request failed"
	}
	if x.callerLeft {
		what = "front: caller left"
	}
	e.Int("status", n.status).Str("outcome", n.outcome.String()).
		Dur("took_ms", x.s.cfg.Clock.Now()-x.started).Msg(what)
}
