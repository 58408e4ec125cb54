package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

const (
	// PingAfter is the silence after which a connection is probed.
	PingAfter = 5 * time.Second
	// PingTimeout is the time that a probe may stay unanswered.
	PingTimeout = 2 * time.Second

	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	maxMessageBytes = 8 << 20

	// maxPeers bounds the clients that are kept; addresses of replaced
	// instances are forgotten with the others when it is reached.
	maxPeers = 1024
)

// ErrNoAddress reports an instance whose address is not known.
var ErrNoAddress = errors.New("address is not known")

// Config sets up a Pool.
type Config struct {
	// Address returns the host:port of an instance.
	Address func(ident.Instance) (string, bool)
	// TLS is the client side of mutual TLS; nil means plain HTTP/2.
	TLS *tls.Config
}

// Pool hands out clients by instance name. It is safe for concurrent use.
type Pool struct {
	address func(ident.Instance) (string, bool)
	scheme  string
	tls     *tls.Config

	mu    sync.Mutex
	peers map[string]*clients // by address
}

// clients are the service clients of one address, with connections of its own.
type clients struct {
	tr    *http.Transport
	fleet peerpbconnect.FleetServiceClient
	limit peerpbconnect.LimitServiceClient
	place peerpbconnect.PlaceServiceClient
	once  peerpbconnect.OnceServiceClient
	news  peerpbconnect.NewsServiceClient
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	scheme := "http://"
	if cfg.TLS != nil {
		scheme = "https://"
	}
	return &Pool{
		address: cfg.Address,
		scheme:  scheme,
		tls:     cfg.TLS,
		peers:   make(map[string]*clients),
	}
}

// Fleet returns the client for membership and the table.
func (p *Pool) Fleet(i ident.Instance) (peerpbconnect.FleetServiceClient, error) {
	c, err := p.get(i)
	if err != nil {
		return nil, err
	}
	return c.fleet, nil
}

// Limit returns the client for leases and charges.
func (p *Pool) Limit(i ident.Instance) (peerpbconnect.LimitServiceClient, error) {
	c, err := p.get(i)
	if err != nil {
		return nil, err
	}
	return c.limit, nil
}

// Place returns the client for placements.
func (p *Pool) Place(i ident.Instance) (peerpbconnect.PlaceServiceClient, error) {
	c, err := p.get(i)
	if err != nil {
		return nil, err
	}
	return c.place, nil
}

// Once returns the client for calls with idempotency keys.
func (p *Pool) Once(i ident.Instance) (peerpbconnect.OnceServiceClient, error) {
	c, err := p.get(i)
	if err != nil {
		return nil, err
	}
	return c.once, nil
}

// News returns the client for members and what is published.
func (p *Pool) News(i ident.Instance) (peerpbconnect.NewsServiceClient, error) {
	c, err := p.get(i)
	if err != nil {
		return nil, err
	}
	return c.news, nil
}

// Close drops the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.peers {
		c.tr.CloseIdleConnections()
	}
	clear(p.peers)
}

func (p *Pool) get(i ident.Instance) (*clients, error) {
	addr, ok := p.address(i)
	if !ok {
		return nil, errors.Wrapf(ErrNoAddress, "peer: dial %s", i)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.peers[addr]; ok {
		return c, nil
	}
	if len(p.peers) >= maxPeers {
		for _, c := range p.peers {
			c.tr.CloseIdleConnections()
		}
		clear(p.peers)
	}
	tr := newTransport(p.tls)
	c := newClients(&http.Client{Transport: &watched{tr: unrepeated{tr}, timedOut: func() { p.drop(addr, tr) }}}, p.scheme+addr)
	c.tr = tr
	p.peers[addr] = c
	return c, nil
}

// drop forgets the connections of an address, so that the next call dials.
// Calls that are still on them go on.
func (p *Pool) drop(addr string, tr *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.peers[addr]; ok && c.tr == tr {
		delete(p.peers, addr)
	}
	tr.CloseIdleConnections()
}

// unrepeated lets the transport write each call at most once. By itself it
// writes a call anew that the peer has read and then reset, if its body is
// empty or can be had again.
type unrepeated struct{ tr *http.Transport }

func (u unrepeated) RoundTrip(r *http.Request) (*http.Response, error) {
	once := *r
	once.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		once.Body = struct{ io.ReadCloser }{http.NoBody}
	}
	return u.tr.RoundTrip(&once)
}

// watched reports calls that end by their own limit: their connection may have
// gone silent.
type watched struct {
	tr       unrepeated
	timedOut func()
}

func (w *watched) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.tr.RoundTrip(r)
	if err != nil && r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), context.Canceled) {
		w.timedOut()
	}
	return resp, err
}

func newClients(hc *http.Client, base string) *clients {
	opts := []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
	}
	return &clients{
		fleet: peerpbconnect.NewFleetServiceClient(hc, base, opts...),
		limit: peerpbconnect.NewLimitServiceClient(hc, base, opts...),
		place: peerpbconnect.NewPlaceServiceClient(hc, base, opts...),
		once:  peerpbconnect.NewOnceServiceClient(hc, base, opts...),
		news:  peerpbconnect.NewNewsServiceClient(hc, base, opts...),
	}
}

// NewFleetClient returns a client for one address, for operators' commands
// that know no instance names. A nil cfg means plain HTTP/2.
func NewFleetClient(addr string, cfg *tls.Config) peerpbconnect.FleetServiceClient {
	scheme := "http://"
	if cfg != nil {
		scheme = "https://"
	}
	return newClients(&http.Client{Transport: unrepeated{newTransport(cfg)}}, scheme+addr).fleet
}

// h2 is the name of HTTP/2 in a TLS handshake.
const h2 = "h2"

// errNotHTTP2 reports a peer that would be spoken to in HTTP/1.1, where nothing
// in an answer tells which call it is to.
var errNotHTTP2 = errors.New("peer does not speak HTTP/2")

// onlyHTTP2 returns cfg with the demand that the handshake settles on HTTP/2.
// Without it the transport turns to HTTP/1.1 if the server names no protocol.
func onlyHTTP2(cfg *tls.Config) *tls.Config {
	if cfg == nil {
		return nil
	}
	next := cfg.VerifyConnection
	cfg = cfg.Clone()
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		if next != nil {
			if err := next(cs); err != nil {
				return err
			}
		}
		if cs.NegotiatedProtocol != h2 {
			return errNotHTTP2
		}
		return nil
	}
	return cfg
}

func newTransport(cfg *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, &dialError{err: err}
			}
			return c, nil
		},
		TLSClientConfig:     onlyHTTP2(cfg),
		TLSHandshakeTimeout: 2 * dialTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
		DisableCompression:  true,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: PingAfter, PingTimeout: PingTimeout},
	}
}

// dialError marks an error that arose before any byte was written.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// Undialled reports whether err proves that no byte of the call reached the
// peer: its address is not known or no connection could be made.
func Undialled(err error) bool {
	var d *dialError
	return errors.Is(err, ErrNoAddress) || errors.As(err, &d)
}
