package main

import (
	"net/http"
	"sync/atomic"
)

// lateHandler is a handler that is set after its server has started to listen.
type lateHandler struct {
	h atomic.Pointer[http.Handler]
}

func (l *lateHandler) set(h http.Handler) { l.h.Store(&h) }

// ServeHTTP responds with status 503 until a handler is set.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := l.h.Load()
	if h == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}
