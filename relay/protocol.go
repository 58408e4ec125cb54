package relay

import (
	"net/http"
	"time"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/route"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	ID                    string        // the caller's name of the request
	APIKey                string        // API key, empty if there is none
	Timeout               time.Duration // how long the caller waits, 0 if it does not tell
	Model                 string
	HasTokenCounts        bool  // Prompt and Output are told
	PromptTokens          int   // tokens of the prompt
	MaxOutputTokens       int   // most tokens to be generated
	EstimatedOutputTokens int   // the caller's estimate of the tokens to be generated, 0 for none
	LastEventID           int64 // event after which a resumed stream goes on, event.NoID for none
}

// ForwardInfo is what a server is told beside the caller's own headers.
type ForwardInfo struct {
	ServerID      string        // ID of the server that shall take the request
	Remaining     time.Duration // how long the caller still waits
	Customer      string        // name of the customer, empty on open routes
	Urgency       int           // 0 to 9, 0 is first
	HasUrgency    bool          // Urgency is told
	LastEventID   int64         // event after which the stream goes on, event.NoID for none
	PrefillOnly   bool          // read the prompt only
	KVSource      string        // address and handle of the KV cache to fetch, empty for none
	ReservationID string        // reservation to use, empty for none
}

// newSend returns a Send to a server.
func newSend(s *route.Server) ForwardInfo {
	return ForwardInfo{ServerID: s.ID, LastEventID: event.NoID}
}

// Protocol translates headers between callers, the router and servers.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// ForwardHeader returns the headers to send to a server.
	ForwardHeader(h http.Header, s ForwardInfo) http.Header
	// WrongServer tells whether an answer says that another server is there.
	WrongServer(status int) bool
	// NotExecuted tells whether an answer says that the server did not run the
	// request.
	NotExecuted(status int, h http.Header) bool
	// Draining tells whether an answer says that its server leaves.
	Draining(h http.Header) bool
	// RetryAfter returns how long the server of an answer wants no request, 0 if it
	// does not tell. An error says what cannot be read, or is too long and cut.
	RetryAfter(status int, h http.Header) (time.Duration, error)
	// Sealed tells whether an answer carries a server's seal.
	Sealed(h http.Header) bool
	// ParseKVHandle returns the handle in the answer of a server that has read a
	// prompt.
	ParseKVHandle(body []byte) (string, error)
	// ReservationRequest returns the path and the body of the POST that reserves a slot
	// and memory at a server.
	ReservationRequest(tokens int, ttl time.Duration) (path string, body []byte, err error)
	// ParseReservation returns the name of the reservation in the answer to that call.
	ParseReservation(body []byte) (string, error)
	// ReservationPath returns the path at which a reservation is given up by DELETE.
	ReservationPath(hold string) string
	// KVHandlePath returns the path at which a handle is freed by DELETE.
	KVHandlePath(handle string) string
}
