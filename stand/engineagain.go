package stand

import (
	"bytes"
	"maps"
	"net/http"
	"strings"

	"wasabidock.dev/dock/engine"
)

// sharedPaths are the calls that may share a connection. Their answers come at
// once and are short.
var sharedPaths = []string{engine.PathCancel, engine.PathTouch, engine.PathHolds, engine.PathLoad}

// sharesConnection reports whether a call may share a connection with others.
func sharesConnection(path string) bool {
	for _, p := range sharedPaths {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}

// recorded is an answer that can be sent again.
type recorded struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *recorded) Header() http.Header         { return a.header }
func (a *recorded) Write(b []byte) (int, error) { return a.body.Write(b) }
func (a *recorded) WriteHeader(status int)      { a.status = status }

// send writes the answer, with its own header alone.
func (a *recorded) send(w http.ResponseWriter) {
	clear(w.Header())
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// answerRecorded answers a call and keeps the answer for FaultAgain.
func (e *Engine) answerRecorded(w http.ResponseWriter, r *http.Request) {
	a := &recorded{header: w.Header().Clone(), status: http.StatusOK}
	e.mux.ServeHTTP(a, r)
	a.send(w)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = a
}

// answerAgain lets a call act and sends the answer to the call before in place
// of its own. Without such an answer it sends its own.
func (e *Engine) answerAgain(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	last := e.last
	e.mu.Unlock()
	e.answerRecorded(&discard{header: w.Header().Clone()}, r)
	if last == nil {
		e.mu.Lock()
		last = e.last
		e.mu.Unlock()
	}
	last.send(w)
}
