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

// idempotencyKey is the header that names a call that may be repeated by its
// caller.
const idempotencyKey = "Idempotency-Key"

// plain serves the routes of the table.
func (s *Server) plain(c *gin.Context) {
	x := s.open(c, "plain")
	defer x.close()
	if !x.table() {
		return
	}
	r, ok := x.view.RouteFor(c.Request.URL.Path)
	if !ok || dotted(c.Request.URL.Path) {
		x.refuse(refused(fail.CodeUnknownRoute, "no route leads from this path"))
		return
	}
	x.note.route = r.Name
	call, ok := x.plainCall(r)
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
	x.answer(a, err)
}

// dotted reports whether a path holds segments that a backend server may
// resolve to another route.
func dotted(path string) bool {
	for _, seg := range strings.Split(path, "/") {
		if seg == "." || seg == ".." {
			return true
		}
	}
	return false
}

// plainCall reads, authenticates and cleans a call to a plain service.
func (x *exchange) plainCall(r Route) (plain.Call, bool) {
	limit := r.MaxBody
	if limit == 0 {
		limit = maxPlainBody
	}
	body, ok := x.read(limit)
	if !ok {
		return plain.Call{}, false
	}
	req := x.c.Request
	body = takeBody(req.Header.Get("Content-Type"), body, &x.keys)
	if !r.Public && !x.authenticate() || !x.clean(body) {
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
		Idempotent: r.Idempotent || safe(req.Method),
		Limit:      r.Timeout,
		MaxAnswer:  r.MaxResponse,
	}, true
}

// safe reports whether calls with the method change nothing.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// charge takes the route's tokens from the customer, if it costs any.
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
		x.refuse(x.s.explain(err))
		return nil, false
	}
	x.admitted = true
	return settle, true
}

// call makes the call, at its home if it carries an idempotency key.
func (x *exchange) call(r Route, call plain.Call) (plain.Answer, error) {
	key := call.Header.Get(idempotencyKey)
	if call.Idempotent || key == "" {
		return x.s.cfg.Plain.Call(x.ctx, call)
	}
	if len(key) > maxIdempotency || !printable(key) || !utf8.ValidString(call.Path) {
		return plain.Answer{}, fail.Refuse(fail.CodeBadRequest, fail.NoRetry,
			"the idempotency key is not one of up to 255 printable characters, or the query is not text")
	}
	if r.Public {
		return plain.Answer{}, fail.Refuse(fail.CodeUnsupported, fail.NoRetry,
			"routes open to all take no idempotency keys")
	}
	return x.s.cfg.Keyed.Run(x.ctx, once.Call{Call: call, Key: key})
}

// printable reports whether v consists of printable ASCII characters.
func printable(v string) bool {
	for i := range len(v) {
		if v[i] < ' ' || v[i] > '~' {
			return false
		}
	}
	return true
}

// answer relays the whole answer of the service or the error.
func (x *exchange) answer(a plain.Answer, err error) {
	x.note.server, x.note.next, x.note.replay = a.Server, a.RunnerUp, a.Replayed
	if err != nil {
		x.refuse(x.s.explain(err))
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
	x.note.outcome = ident.Done
	x.whole(a.Status, a.Header.Get("Content-Type"), a.Body)
}
