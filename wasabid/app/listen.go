package app

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/front"
)

const (
	adminHeaderTimeout = 2 * time.Second
	adminWriteTimeout  = 10 * time.Second
)

// admin answers probes and scrapers on a listener of its own.
type admin struct {
	l   net.Listener
	srv *http.Server
}

// newAdmin listens on addr. Ready returns an empty string while the process
// wants new callers, or else the reason.
func newAdmin(addr string, ready func() string, metrics http.Handler) (*admin, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen %s", addr)
	}
	return &admin{l: l, srv: quietServer(front.Admin(ready, metrics))}, nil
}

func (a *admin) run(ctx context.Context) error { return serveUntil(ctx, a.srv, a.l) }

// newDebug listens on addr for the profiler.
func newDebug(addr string) (*admin, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "debug: listen %s", addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	srv := quietServer(mux)
	srv.WriteTimeout = 0
	return &admin{l: l, srv: srv}, nil
}

func quietServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: adminHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
	}
}

// serveUntil serves l until ctx is over.
func serveUntil(ctx context.Context, srv *http.Server, l net.Listener) error {
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "serve %s", l.Addr())
	case <-ctx.Done():
	}
	_ = srv.Close()
	<-done
	return nil
}
