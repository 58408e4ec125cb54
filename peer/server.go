package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

const (
	headerTimeout = 2 * time.Second
	// serverPingAfter is longer than PingAfter, so that only one side probes
	// a connection that is well.
	serverPingAfter = 3 * PingAfter
	maxHeaderBytes  = 16 << 10
)

// Handlers answer the peers' calls. Services that are not set are not served.
type Handlers struct {
	Fleet peerpbconnect.FleetServiceHandler
	Limit peerpbconnect.LimitServiceHandler
	Place peerpbconnect.PlaceServiceHandler
	Once  peerpbconnect.OnceServiceHandler
	News  peerpbconnect.NewsServiceHandler
}

// Server answers the peers of one instance.
type Server struct {
	srv  *http.Server
	done chan error
}

// NewServer returns a server that answers with h. A nil cfg means plain
// HTTP/2.
func NewServer(h Handlers, cfg *tls.Config) *Server {
	mux := http.NewServeMux()
	opts := []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
	}
	if h.Fleet != nil {
		mux.Handle(peerpbconnect.NewFleetServiceHandler(h.Fleet, opts...))
	}
	if h.Limit != nil {
		mux.Handle(peerpbconnect.NewLimitServiceHandler(h.Limit, opts...))
	}
	if h.Place != nil {
		mux.Handle(peerpbconnect.NewPlaceServiceHandler(h.Place, opts...))
	}
	if h.Once != nil {
		mux.Handle(peerpbconnect.NewOnceServiceHandler(h.Once, opts...))
	}
	if h.News != nil {
		mux.Handle(peerpbconnect.NewNewsServiceHandler(h.News, opts...))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	return &Server{
		srv: &http.Server{
			Handler:           mux,
			TLSConfig:         cfg,
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2:             &http.HTTP2Config{SendPingTimeout: serverPingAfter, PingTimeout: PingTimeout},
		},
		done: make(chan error, 1),
	}
}

// Serve answers connections of l in a goroutine, whose end Done reports.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	s.srv.BaseContext = func(net.Listener) context.Context { return context.WithoutCancel(ctx) }
	go func() { s.done <- s.serve(l) }()
}

// Done delivers the reason for which serving ended: nil after Shutdown.
func (s *Server) Done() <-chan error { return s.done }

// Shutdown stops listening and waits for the open calls to end or ctx to be
// over.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.srv.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "peer: shut down")
	}
	return nil
}

func (s *Server) serve(l net.Listener) error {
	var err error
	if s.srv.TLSConfig != nil {
		err = s.srv.ServeTLS(l, "", "")
	} else {
		err = s.srv.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "peer: serve %s", l.Addr())
}
