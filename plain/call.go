package plain

import (
	"net/http"
	"time"

	"wasabidock.dev/dock/ident"
)

// Call is one call to a plain service. Path and Header contain no API key.
type Call struct {
	Request    ident.Request
	Customer   ident.Customer
	Route      ident.Route
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Idempotent bool          // may run more than once
	Limit      time.Duration // for the whole call, zero for the default
	MaxAnswer  int64         // bytes of the answer's body, zero for the default
	Gate       func() error  // called directly before the first byte is written
}

// Answer is the complete answer of a service.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Server   ident.Server // empty in a replayed answer
	RunnerUp ident.Server
	Attempts int
	Replayed bool // recorded answer of an earlier call with the same key
}

// Server is a backend server of a plain service.
type Server struct {
	Name ident.Server
	URL  string // scheme, host and port
}

// Servers returns the servers of a route, without those that are draining.
type Servers interface {
	Servers(r ident.Route) []Server
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// keyHeaders may contain an API key.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// EndToEnd returns a copy of h without the hop-by-hop headers.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// StripHeaders returns a copy of h without the hop-by-hop headers and without
// those that may contain an API key.
func StripHeaders(h http.Header) http.Header {
	out := EndToEnd(h)
	for _, name := range keyHeaders {
		out.Del(name)
	}
	return out
}
