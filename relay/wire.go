package relay

import (
	"net/http"
	"time"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/route"
)

// Ask is what the headers of a caller's request say.
type Ask struct {
	ID       string        // the caller's name of the request
	Key      string        // API key, empty if there is none
	Deadline time.Duration // how long the caller waits, 0 if it does not tell
	Model    string
	Sized    bool  // Prompt and Output are told
	Prompt   int   // tokens of the prompt
	Output   int   // most tokens to be generated
	Hint     int   // the caller's estimate of the tokens to be generated, 0 for none
	After    int64 // event after which a resumed stream goes on, event.NoID for none
}

// Send is what a server is told beside the caller's own headers.
type Send struct {
	Server   string        // ID of the server that shall take the request
	Left     time.Duration // how long the caller still waits
	Customer string        // name of the customer, empty on open routes
	Urgency  int           // 0 to 9, 0 is first
	Ranked   bool          // Urgency is told
	After    int64         // event after which the stream goes on, event.NoID for none
	Prefill  bool          // read the prompt only
	KVFrom   string        // address and handle of the KV cache to fetch, empty for none
	Hold     string        // reservation to use, empty for none
}

// newSend returns a Send to a server.
func newSend(s *route.Server) Send { return Send{Server: s.ID, After: event.NoID} }

// Wire translates headers between callers, the router and servers.
type Wire interface {
	// Ask reads the headers of a caller's request.
	Ask(h http.Header) Ask
	// Forward returns the headers to send to a server.
	Forward(h http.Header, s Send) http.Header
	// Elsewhere tells whether an answer says that another server is there.
	Elsewhere(status int) bool
	// Disowned tells whether an answer says that the server did not run the
	// request.
	Disowned(status int, h http.Header) bool
	// Leaving tells whether an answer says that its server leaves.
	Leaving(h http.Header) bool
	// Rest returns how long the server of an answer wants no request, 0 if it
	// does not tell. An error says what cannot be read, or is too long and cut.
	Rest(status int, h http.Header) (time.Duration, error)
	// Sealed tells whether an answer carries a server's seal.
	Sealed(h http.Header) bool
	// Handle returns the handle in the answer of a server that has read a
	// prompt.
	Handle(body []byte) (string, error)
	// HoldCall returns the path and the body of the POST that reserves a slot
	// and memory at a server.
	HoldCall(tokens int, ttl time.Duration) (path string, body []byte, err error)
	// Hold returns the name of the reservation in the answer to that call.
	Hold(body []byte) (string, error)
	// DropPath returns the path at which a reservation is given up by DELETE.
	DropPath(hold string) string
	// FreePath returns the path at which a handle is freed by DELETE.
	FreePath(handle string) string
}
