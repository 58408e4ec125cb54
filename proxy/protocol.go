package proxy

import (
	"net/http"
	"time"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/route"
)

// RequestInfo holds the parsed headers of a caller's request.
type RequestInfo struct {
	ID                    string        // request ID chosen by the caller
	APIKey                string        // empty for none
	Timeout               time.Duration // how long the caller waits, 0 if not given
	Model                 string
	HasTokenCounts        bool  // PromptTokens and MaxOutputTokens are given
	PromptTokens          int   // length of the prompt
	MaxOutputTokens       int   // maximum number of tokens to generate
	EstimatedOutputTokens int   // the caller's estimate of the generated tokens, 0 for none
	LastEventID           int64 // ID of the event after which to resume a stream, event.NoID for none
	// Parts are the IDs of the parts of the prompt that requests may share, in order. The last part of a
	// prompt belongs to one request and is not among them.
	Parts []string
}

// ForwardInfo holds the header values that the router sets on a request to a server.
type ForwardInfo struct {
	ServerID      string // ID of the server that must run the request
	Customer      string // name of the customer, empty on public routes
	Urgency       int    // 0 to 9, 0 is the most urgent
	HasUrgency    bool   // Urgency is sent
	LastEventID   int64  // ID of the event after which to resume the stream, event.NoID for none
	PrefillOnly   bool   // prefill the prompt and stop
	KVSource      string // address/handle of the KV cache to fetch, empty for none
	ReservationID string // ID of the reservation to use, empty for none
}

// newForwardInfo returns a ForwardInfo for a server, without an event to resume after.
func newForwardInfo(s *route.Server) ForwardInfo {
	return ForwardInfo{ServerID: s.ID, LastEventID: event.NoID}
}

// Protocol translates headers and bodies between callers, the router and servers.
type Protocol interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the header to send to a server.
	ForwardHeader(h http.Header, s ForwardInfo) http.Header
	// SetRemaining sets the time until the caller's deadline in the header of a request to a server.
	SetRemaining(h http.Header, d time.Duration)
	// StatusPath returns a path whose GET costs a server no work.
	StatusPath() string
	// WrongServer reports whether a response states that a different server uses the address.
	WrongServer(status int) bool
	// NotExecuted reports whether a response states that the server did not run the
	// request.
	NotExecuted(status int, h http.Header) bool
	// Draining reports whether a response states that its server is draining.
	Draining(h http.Header) bool
	// RetryAfter returns how long the server that sent a response accepts no requests, 0 if
	// the response does not state a time. It returns an error if the value cannot be parsed,
	// or if the value is too long and was shortened.
	RetryAfter(status int, h http.Header) (time.Duration, error)
	// ServerLimit returns the number of requests per second that the server that sent a response
	// accepts from all instances together, and false if the response names no limit. It returns
	// an error if the value is invalid.
	ServerLimit(h http.Header) (float64, bool, error)
	// ColdFor returns the time until the server that sent a response is warm, and false if the response
	// does not state it.
	ColdFor(h http.Header) (time.Duration, bool)
	// Sealed reports whether a response has the seal header of a server.
	Sealed(h http.Header) bool
	// ParseKVHandle returns the handle of the KV cache in the response of a prefill server, and
	// the number of prompt tokens in it.
	ParseKVHandle(body []byte) (handle string, tokens int, err error)
	// ReservationRequest returns the path and the body of the POST that reserves a slot and
	// memory for a number of tokens at a server.
	ReservationRequest(tokens int, ttl time.Duration) (path string, body []byte, err error)
	// ParseReservation returns the ID of the reservation in the response to a
	// ReservationRequest.
	ParseReservation(body []byte) (string, error)
	// ReservationPath returns the path whose DELETE cancels a reservation.
	ReservationPath(hold string) string
	// KVHandlePath returns the path whose DELETE frees a KV cache.
	KVHandlePath(handle string) string
}
