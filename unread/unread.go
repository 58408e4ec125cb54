// Package unread answers requests whose bodies are not read to their end.
//
// A server that closes a connection on which bytes arrive resets it, and many clients then do not see the response. They
// hold the request to be lost, although it was rejected.
//
// # Usage
//
//	if unread.Prepare(w, r) {
//		defer unread.Discard(ctx, w, r)
//	}
//	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
//	w.WriteHeader(http.StatusRequestEntityTooLarge)
//	io.WriteString(w, text)
//
// The response, which must have a body and its length, is sent at once. The connection is closed after the rest of the
// request was dropped, which takes no memory of its own.
package unread

import (
	"context"
	"io"
	"net/http"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// shortBytes is the length up to which net/http reads a body before it writes a response.
	shortBytes = 256 << 10
	// maxBytes and maxTime bound what is dropped of one body.
	maxBytes = 16 << 20
	maxTime  = 5 * time.Second
)

// Prepare makes the response of a request, whose header must not have been written, leave the body alone. It returns false,
// and has no effect, if the body is short or the protocol is not HTTP/1, because net/http then does what is needed.
func Prepare(w http.ResponseWriter, r *http.Request) bool {
	if r.ProtoMajor != 1 || r.ContentLength >= 0 && r.ContentLength <= shortBytes {
		return false
	}
	if http.NewResponseController(w).EnableFullDuplex() != nil {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}

// Discard sends the response and drops the rest of the body, until ctx ends at the latest.
func Discard(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	if c.Flush() != nil || c.SetReadDeadline(time.Now().Add(maxTime)) != nil {
		return
	}
	defer tick.AfterEnd(ctx, func() {
		_ = c.SetReadDeadline(time.Now()) // it did not fail above
	})()
	_, _ = io.CopyN(io.Discard, r.Body, maxBytes) // the connection is closed in any case
}
