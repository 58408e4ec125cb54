package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/accept"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// Server is the HTTP server for callers.
type Server struct {
	cfg      Config
	http     *http.Server
	active   activeRequests
	draining atomic.Bool

	conns *accept.Conns // without those of TLS

	mu       sync.Mutex
	idle     chan struct{}    // closed and replaced when the last active request ends
	listener *accept.Listener // nil before Serve
}

// New returns a Server. It fails if a required field of cfg is nil. Optional
// fields that are zero get their defaults.
func New(cfg Config) (*Server, error) {
	if cfg.Source == nil || cfg.Limiter == nil || cfg.Generator == nil || cfg.Plain == nil ||
		cfg.Keyed == nil || cfg.Meter == nil || cfg.Clock == nil || cfg.NewID == nil {
		return nil, errors.New("front: a required field of Config is nil")
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = defaultStallTimeout
	}
	if cfg.HeaderTimeout == 0 {
		cfg.HeaderTimeout = defaultHeaderTimeout
	}
	if cfg.BodyIdleTimeout == 0 {
		cfg.BodyIdleTimeout = defaultBodyIdleTimeout
	}
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = defaultDrainDelay
	}
	s := &Server{cfg: cfg, conns: accept.NewConns(cfg.Clock, idleTimeout), idle: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.routes(),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       withConn,
		ConnState:         s.conns.OnStateChange,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.RedirectTrailingSlash = false
	e.RedirectFixedPath = false
	e.HandleMethodNotAllowed = true
	e.UseRawPath = true
	e.ForwardedByClientIP = false
	e.Use(s.recover)
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	e.NoMethod(s.methodNotAllowed)
	e.NoRoute(s.plain)
	return e
}

// Handler returns the handler of all paths, for tests and embedding.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// recover converts a panic of a handler to an error response, or aborts the
// connection if a response has begun. It logs only the type of the panic value,
// because the value may contain parts of the request.
func (s *Server) recover(c *gin.Context) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		s.cfg.Log.Error().Str("panic", fmt.Sprintf("%T", v)).Msg("front: handler failed")
		if c.Writer.Written() {
			panic(http.ErrAbortHandler)
		}
		f := apiError{code: fail.CodeInternal, message: "the request failed inside the router", outcome: ident.Unknown}
		c.JSON(f.status(), f.body(""))
	}()
	c.Next()
}

func (s *Server) methodNotAllowed(c *gin.Context) {
	x := s.begin(c, "method")
	defer x.close()
	x.writeError(rejection(fail.CodeMethodNotAllowed, "the path does not take this method"))
}

// Serve accepts connections on l until Drain. The returned channel receives the
// error that ended it, if any, and is then closed; after Drain it is closed
// without an error.
func (s *Server) Serve(l net.Listener) <-chan error {
	done := make(chan error, 1)
	a, err := accept.NewListener(l, s.cfg.HeaderTimeout)
	if err != nil {
		done <- errors.Wrap(err, "front: serve")
		close(done)
		return done
	}
	s.mu.Lock()
	s.listener = a
	s.mu.Unlock()
	go func() {
		defer close(done)
		var err error
		if s.cfg.TLS != nil {
			err = s.http.ServeTLS(&listener{Listener: a}, "", "")
		} else {
			err = s.http.Serve(&listener{Listener: a, plaintext: true})
		}
		if !errors.Is(err, http.ErrServerClosed) {
			done <- errors.Wrap(err, "front: serve")
		}
	}()
	return done
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.count.Load() }

// Draining reports whether Drain was called, so that the load balancer must send
// no new callers.
func (s *Server) Draining() bool { return s.draining.Load() }

// CancelWithdrawn cancels the requests in progress whose API key is no longer
// valid, given the SHA-256 of the key. It must be called after each new revision
// of the configuration.
func (s *Server) CancelWithdrawn(valid func(sum [32]byte) bool) {
	if n := s.active.cancelWithdrawn(valid); n > 0 {
		s.cfg.Log.Info().Int("requests", n).Msg("front: cancelled requests because their API keys were withdrawn")
	}
}

// Drain marks the server as draining, keeps accepting requests for DrainDelay so
// that the load balancer can notice, and then waits until all requests have
// ended. It never interrupts a request: if ctx ends first, Drain only stops
// waiting and returns the error of ctx. It may be called more than once.
func (s *Server) Drain(ctx context.Context) error {
	if !s.draining.Swap(true) {
		s.cfg.Log.Info().Int64("requests", s.Active()).Msg("front: draining")
	}
	settle := s.cfg.Clock.After(s.cfg.DrainDelay)
	defer settle.Stop()
	select {
	case <-settle.C():
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		idle := s.nextIdle()
		if s.Active() == 0 {
			break
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.closeConns(ctx)
}

// closeConns ends the listener, and the connections when they wait for a request. Those of TLS are left to http.Server.Shutdown, which
// HTTP/2 needs.
func (s *Server) closeConns(ctx context.Context) error {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		if err := l.Stop(ctx); err != nil {
			return errors.Wrap(err, "front: shut down")
		}
	}
	if err := s.conns.CloseAll(ctx); err != nil {
		return errors.Wrap(err, "front: shut down")
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "front: shut down")
	}
	return nil
}

// nextIdle returns a channel that is closed the next time that the last active
// request ends.
func (s *Server) nextIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}

// requestDone decrements the number of active requests. When it reaches zero,
// requestDone wakes the waiting calls of Drain.
func (s *Server) requestDone() {
	if s.active.count.Add(-1) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.idle)
	s.idle = make(chan struct{})
}
