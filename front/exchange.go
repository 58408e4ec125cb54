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
)

// exchange is one request of a caller and its answer. It belongs to the
// goroutine of its handler.
type exchange struct {
	s        *Server
	c        *gin.Context
	rc       *http.ResponseController
	ctx      context.Context
	cancel   context.CancelCauseFunc
	id       ident.Request
	started  tick.Instant
	view     View
	keys     secrets
	sum      [32]byte
	keyed    bool // registered under sum
	customer ident.Customer
	admitted bool
	left     bool // the caller left before the end
	note     note
}

// note is what the decision line tells of an exchange.
type note struct {
	kind    string
	model   ident.Model
	class   ident.Class
	route   ident.Route
	status  int
	outcome ident.Outcome
	code    fail.Code
	reason  string
	prompt  int64
	result  Result
	server  ident.Server
	next    ident.Server
	replay  bool
	stream  bool
}

// open starts an exchange: it takes the keys out of the headers and the query
// and gives the request its identifier.
func (s *Server) open(c *gin.Context, kind string) *exchange {
	x := &exchange{s: s, c: c, started: s.cfg.Clock.Now()}
	x.note.kind = kind
	x.rc = http.NewResponseController(c.Writer)
	x.ctx, x.cancel = context.WithCancelCause(c.Request.Context())
	s.active.count.Add(1)
	takeKeys(c.Request, &x.keys)
	x.id = x.requestID(c.GetHeader("X-Request-Id"))
	c.Header("X-Request-Id", string(x.id))
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	return x
}

// requestID returns the caller's identifier if it is well formed and holds no
// key, and a new one otherwise.
func (x *exchange) requestID(v string) ident.Request {
	if v == "" || len(v) > maxRequestID || strings.Trim(v, requestIDChars) != "" || x.keys.in(v) {
		return x.s.cfg.NewID()
	}
	return ident.Request(v)
}

const requestIDChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// close ends the exchange and writes its decision line.
func (x *exchange) close() {
	if x.keyed {
		x.s.active.remove(x)
	}
	x.cancel(nil)
	x.line()
	x.s.leave()
}

// retryActive is when a caller may come back to an instance that is full.
const retryActive = time.Second

// table takes the revision in force for the whole exchange, unless the instance
// is full.
func (x *exchange) table() bool {
	if most := x.s.cfg.MaxActive; most > 0 && x.s.active.count.Load() > most {
		x.refuse(fault{code: fail.CodeOverloaded, message: "the instance has too many requests in progress", outcome: ident.NotRun, retry: retryActive})
		return false
	}
	v, ok := x.s.cfg.Source.View()
	if !ok {
		x.refuse(refused(fail.CodeNoTable, "no table is in force yet"))
		return false
	}
	x.view = v
	return true
}

// authenticate finds the customer whose key came with the request. The request
// is registered before its key is looked up once more, so that a key that is
// withdrawn in between is seen by one of the two.
func (x *exchange) authenticate() bool {
	sum, ok := x.keys.sum()
	if !ok {
		x.refuseKey("the request carries no key")
		return false
	}
	x.sum, x.keyed = sum, true
	x.s.active.add(x, x.cancel)
	if v, ok := x.s.cfg.Source.View(); ok {
		x.view = v
	}
	if x.customer, ok = x.view.KeyOwner(sum); !ok {
		x.refuseKey("the key is not valid")
		return false
	}
	return true
}

func (x *exchange) refuseKey(message string) {
	x.c.Header("WWW-Authenticate", "Bearer")
	x.refuse(refused(fail.CodeInvalidKey, message))
}

// clean makes sure that no key is left in what goes on to backend servers.
func (x *exchange) clean(body []byte) bool {
	leak := x.keys.in(x.c.GetHeader(idempotencyKey)) || repeated(x.c.Request.URL, body, &x.keys)
	cleanHeaders(x.c.Request.Header, &x.keys)
	x.keys = secrets{}
	if leak {
		x.refuse(refused(fail.CodeBadRequest, "the request repeats its key where it can't be taken out"))
	}
	return !leak
}

// read reads the whole body within its limits.
func (x *exchange) read(limit int64) ([]byte, bool) {
	r := &bodyReader{r: http.MaxBytesReader(x.c.Writer, x.c.Request.Body, limit), rc: x.rc, silence: x.s.cfg.BodyIdleTimeout, end: time.Now().Add(bodyLimit)}
	body, err := io.ReadAll(r)
	_ = x.rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &large):
		x.refuse(refused(fail.CodeTooLarge, "the body is too large"))
	default:
		x.c.Header("Connection", "close")
		x.refuse(refused(fail.CodeBadRequest, "the body did not arrive whole"))
	}
	return nil, false
}

// bodyReader gives the caller a progress limit for each read.
type bodyReader struct {
	r       io.Reader
	rc      *http.ResponseController
	silence time.Duration
	end     time.Time
}

func (b *bodyReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(b.silence)
	if limit.After(b.end) {
		limit = b.end
	}
	_ = b.rc.SetReadDeadline(limit)
	return b.r.Read(p)
}

// refuse answers with an error. Nothing must have been written before.
func (x *exchange) refuse(f fault) {
	if x.withdrawnKey() {
		f = x.withdrawn(f)
	}
	x.fail(f)
	if n := f.retryAfter(); n > 0 {
		x.c.Header("Retry-After", strconv.FormatInt(n, 10))
	}
	x.json(f.status(), f.body(x.id))
}

// withdrawnKey reports whether the key was withdrawn while the request ran.
func (x *exchange) withdrawnKey() bool {
	return errors.Is(context.Cause(x.ctx), errWithdrawn)
}

// gone reports whether the caller left or stopped reading.
func (x *exchange) gone() bool {
	return x.c.Request.Context().Err() != nil || errors.Is(context.Cause(x.ctx), errCaller)
}

// withdrawn replaces the fault of a request whose key was withdrawn.
func (x *exchange) withdrawn(f fault) fault {
	return fault{code: fail.CodeKeyWithdrawn, message: "the key was withdrawn while the request ran", outcome: f.outcome}
}

// fail notes a fault for the decision line and the measures.
func (x *exchange) fail(f fault) {
	x.left = x.gone()
	x.note.code, x.note.reason, x.note.outcome = f.code, f.message, f.outcome
	if f.outcome == ident.NotRun && !x.left {
		x.s.cfg.Meter.RecordRejection(x.customer, f.code, x.admitted && f.code != fail.CodeKeyWithdrawn)
	}
}

// json writes a whole answer.
func (x *exchange) json(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	x.whole(status, "application/json", append(b, '\n'))
}

// whole writes an answer with its length, piece by piece, so that a slow
// caller has the stall limit for each.
func (x *exchange) whole(status int, contentType string, b []byte) {
	x.note.status = status
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
		n := min(len(b), pieceBytes)
		x.progress()
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
	x.progress()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// progress gives the caller the stall limit to take what is written next.
func (x *exchange) progress() {
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.s.cfg.StallTimeout))
}

// line writes the decision line.
func (x *exchange) line() {
	n := &x.note
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
			Str("runner_up", string(n.next)).Bool("replayed", n.replay)
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
	if x.left {
		what = "front: caller left"
	}
	e.Int("status", n.status).Str("outcome", n.outcome.String()).
		Dur("took_ms", x.s.cfg.Clock.Now()-x.started).Msg(what)
}
