package front

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/gin-gonic/gin"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/plain"
)

// idempotencyKey is the header that identifies a call, so that its caller can
// safely send it again.
const idempotencyKey = "Idempotency-Key"

// plain handles calls to the plain services that the routes of the configuration
// name.
func (s *Server) plain(c *gin.Context) {
	x := s.begin(c, "plain")
	defer x.close()
	if !x.loadConfig() {
		return
	}
	r, ok := x.view.RouteFor(c.Request.URL.Path)
	if !ok || hasDotSegment(c.Request.URL.Path) {
		x.writeError(rejection(fail.CodeUnknownRoute, "no route leads from this path"))
		return
	}
	x.record.route = r.Name
	call, ok := x.readPlainCall(r)
	if !ok {
		return
	}
	settle, ok := x.charge(r)
	if !ok {
		return
	}
	a, err := x.call(r, call)
	if err != nil && fail.Outcome(err) == ident.NotRun {
		settle(0)
	} else {
		settle(r.Tokens)
	}
	x.respond(a, err)
}

// hasDotSegment reports whether a path has a segment "." or "..", which a backend
// server might resolve to a path of another route.
func hasDotSegment(path string) bool {
	for _, seg := range strings.Split(path, "/") {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

// readPlainCall reads and authenticates a call to a plain service, and removes
// the API keys and the headers that only the router may set.
func (x *exchange) readPlainCall(r Route) (plain.Call, bool) {
	limit := r.MaxBody
	if limit == 0 {
		limit = maxPlainBody
	}
	body, ok := x.readBody(limit)
	if !ok {
		return plain.Call{}, false
	}
	req := x.c.Request
	body = extractBodyKeys(req.Header.Get("Content-Type"), body, &x.keys)
	if !r.Public && !x.authenticate() || !x.stripKeys(body) {
		return plain.Call{}, false
	}
	h := plain.StripHeaders(req.Header)
	h.Del("X-Request-Id")
	h.Del("X-Customer")
	h.Del("Content-Length")
	return plain.Call{
		Request:    x.id,
		Customer:   x.customer,
		Route:      r.Name,
		Method:     req.Method,
		Path:       req.URL.RequestURI(),
		Header:     h,
		Body:       body,
		Idempotent: r.Idempotent || isSafeMethod(req.Method),
		Limit:      r.Timeout,
		MaxAnswer:  r.MaxResponse,
	}, true
}

// isSafeMethod reports whether the HTTP method is defined as read-only.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// charge takes the route's tokens from the token bucket of the customer. Routes
// without a cost and calls without a customer are not charged.
func (x *exchange) charge(r Route) (settle func(used int64), ok bool) {
	if r.Tokens == 0 || x.customer == "" {
		return func(int64) {}, true
	}
	settle, fresh, err := x.s.cfg.Limiter.Admit(x.ctx, x.id, x.customer, r.Tokens)
	if err == nil && !fresh() {
		settle(0)
		err = fail.Refuse(fail.CodeOverloaded, 0, "the admission came too late to be used")
	}
	if err != nil {
		x.writeError(x.s.toAPIError(err))
		return nil, false
	}
	x.admitted = true
	return settle, true
}

// call sends the call to a server. A call with an idempotency key goes through the
// KeyedCaller, unless the route or the method is idempotent anyway.
func (x *exchange) call(r Route, call plain.Call) (plain.Answer, error) {
	key := call.Header.Get(idempotencyKey)
	if call.Idempotent || key == "" {
		return x.s.cfg.Plain.Call(x.ctx, call)
	}
	if len(key) > maxIdempotencyKey || !isPrintable(key) || !utf8.ValidString(call.Path) {
		return plain.Answer{}, fail.Refuse(fail.CodeBadRequest, fail.NoRetry,
			"the idempotency key is not one of up to 255 printable characters, or the query is not text")
	}
	if r.Public {
		return plain.Answer{}, fail.Refuse(fail.CodeUnsupported, fail.NoRetry,
			"routes open to all take no idempotency keys")
	}
	return x.s.cfg.Keyed.Run(x.ctx, once.Call{Call: call, Key: key})
}

// isPrintable reports whether v consists of printable ASCII characters.
func isPrintable(v string) bool {
	for i := range len(v) {
		if v[i] < ' ' || v[i] > '~' {
			return false
		}
	}
	return true
}

// respond writes the complete response of the service, or the error.
func (x *exchange) respond(a plain.Answer, err error) {
	x.record.server, x.record.runnerUp, x.record.replayed = a.Server, a.RunnerUp, a.Replayed
	if err != nil {
		x.writeError(x.s.toAPIError(err))
		return
	}
	h := x.c.Writer.Header()
	for name, values := range a.Header {
		if name == "X-Request-Id" || name == "Content-Length" {
			continue
		}
		h[name] = values
	}
	if a.Replayed {
		h.Set("Idempotency-Replayed", "true")
	}
	x.record.outcome = ident.Done
	x.writeBody(a.Status, a.Header.Get("Content-Type"), a.Body)
}
