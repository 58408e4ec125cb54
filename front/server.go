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

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// Server serves the callers.
type Server struct {
	cfg      Config
	http     *http.Server
	active   active
	draining atomic.Bool

	mu    sync.Mutex
	quiet chan struct{} // closed and replaced when no request is left
}

// New returns a Server.
func New(cfg Config) (*Server, error) {
	if cfg.Source == nil || cfg.Limiter == nil || cfg.Generator == nil || cfg.Plain == nil ||
		cfg.Keyed == nil || cfg.Meter == nil || cfg.Clock == nil || cfg.NewID == nil {
		return nil, errors.New("front: a part is missing in the configuration")
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = defaultStall
	}
	if cfg.HeaderTimeout == 0 {
		cfg.HeaderTimeout = defaultHeader
	}
	if cfg.BodyIdleTimeout == 0 {
		cfg.BodyIdleTimeout = defaultBody
	}
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = defaultSettle
	}
	s := &Server{cfg: cfg, quiet: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.routes(),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// routes builds the handler of all paths.
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
	e.NoMethod(s.noMethod)
	e.NoRoute(s.plain)
	return e
}

// Handler returns the handler of all paths, for tests and embedding.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// recover turns a panic into an explicit error. The value of the panic is not
// logged, for it may hold parts of the request.
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
		f := fault{code: fail.CodeInternal, message: "the request failed inside the router", outcome: ident.Unknown}
		c.JSON(f.status(), f.body(""))
	}()
	c.Next()
}

func (s *Server) noMethod(c *gin.Context) {
	x := s.open(c, "method")
	defer x.close()
	x.refuse(refused(fail.CodeMethodNotAllowed, "the path does not take this method"))
}

// Serve serves l until Drain. The returned channel gets the reason of the end,
// nil after Drain, and is closed.
func (s *Server) Serve(l net.Listener) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		var err error
		if s.cfg.TLS != nil {
			err = s.http.ServeTLS(&listener{Listener: l}, "", "")
		} else {
			err = s.http.Serve(&listener{Listener: l, plain: true})
		}
		if !errors.Is(err, http.ErrServerClosed) {
			done <- errors.Wrap(err, "front: serve")
		}
	}()
	return done
}

// Active returns the number of requests on their way.
func (s *Server) Active() int64 { return s.active.count.Load() }

// Draining reports whether the server is to get no new callers.
func (s *Server) Draining() bool { return s.draining.Load() }

// CancelWithdrawn ends the open requests whose key is no longer valid. It is called
// with each new revision of the table.
func (s *Server) CancelWithdrawn(valid func(sum [32]byte) bool) {
	if n := s.active.withdraw(valid); n > 0 {
		s.cfg.Log.Info().Int("requests", n).Msg("front: requests ended because their keys were withdrawn")
	}
}

// Drain marks the server as not ready, keeps accepting until the balancer can
// have noticed, then waits until every request has ended. It cuts none,
// however long that takes, also when it is called twice: the end of ctx ends
// only the waiting.
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
		quiet := s.nextQuiet()
		if s.Active() == 0 {
			break
		}
		select {
		case <-quiet:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "front: shut down")
	}
	return nil
}

// nextQuiet returns a channel that is closed when no request is left for the
// next time.
func (s *Server) nextQuiet() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}

// leave counts an exchange out and wakes those who wait for the last one.
func (s *Server) leave() {
	if s.active.count.Add(-1) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.quiet)
	s.quiet = make(chan struct{})
}
