package plain

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

const (
	defaultLimit       = 30 * time.Second
	defaultProgress    = 10 * time.Second
	defaultDial        = 2 * time.Second
	defaultMaxAnswer   = 4 << 20 // bytes
	defaultMaxAttempts = 3
	maxHeaderBytes     = 64 << 10
	asideAfterFailure  = 5 * time.Second
	// maxUnanswered is the number of calls in a row that reach their limits at a server before it counts as failed. One
	// may be due to a short limit, or to a short silence of the server.
	maxUnanswered = 2
)

// errLimit reports a call that has reached its limit.
var errLimit = errors.New("the call has reached its time limit")

// errNoEnd reports an answer that ends when its connection is closed, so that a
// truncated one cannot be told from a complete one.
var errNoEnd = errors.New("the answer has neither a length nor chunks")

// Config holds what a Client needs.
type Config struct {
	Servers     Servers
	Clock       tick.Clock
	TLS         *tls.Config   // for servers with an https URL, may be nil
	Progress    time.Duration // a connection without a byte for longer is closed
	Dial        time.Duration // time limit of a dial and of its TLS handshake
	MaxAttempts int           // attempts of one call
	Rand        *rand.Rand    // used under the client's lock, nil for a randomly seeded one
}

// Client calls plain services.
type Client struct {
	cfg Config

	mu         sync.Mutex // guards rand and the maps
	rand       *rand.Rand
	open       map[ident.Server]int
	aside      map[ident.Server]tick.Instant // until when a failed server is avoided
	unanswered map[ident.Server]int          // calls that have reached their limits since the server's last answer
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Progress == 0 {
		cfg.Progress = defaultProgress
	}
	if cfg.Dial == 0 {
		cfg.Dial = defaultDial
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.TLS == nil {
		cfg.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Client{
		cfg:        cfg,
		rand:       cfg.Rand,
		open:       make(map[ident.Server]int),
		aside:      make(map[ident.Server]tick.Instant),
		unanswered: make(map[ident.Server]int),
	}
}

// Call makes the call and returns the complete answer. An idempotent call is
// retried at other servers; any other is retried only while none of its bytes
// were written.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	limit := call.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errLimit)
	defer cancel()

	var (
		failed []ident.Server
		last   error
	)
	for n := 1; n <= c.cfg.MaxAttempts; n++ {
		s, next, ok := c.pick(call.Route, failed)
		if !ok {
			break
		}
		a, err := c.try(ctx, s, call)
		a.Attempts = n
		a.Server, a.RunnerUp = s.Name, next
		if err == nil {
			return a, nil
		}
		last = worse(last, err)
		failed = append(failed, s.Name)
		if !again(ctx, call, err) {
			break
		}
	}
	if last == nil {
		return Answer{}, fail.Refuse(fail.CodeNoServer, time.Second, "no server of the service is available")
	}
	return Answer{}, last
}

// again reports whether the call may be retried after err.
func again(ctx context.Context, call Call, err error) bool {
	if ctx.Err() != nil || held(err) {
		return false
	}
	if fail.Outcome(err) == ident.NotRun {
		return true
	}
	return call.Idempotent && fail.Outcome(err) == ident.Unknown
}

// held reports whether the call's gate rejected it.
func held(err error) bool {
	var h *heldError
	return errors.As(err, &h)
}

// worse returns the error of two attempts of one call that leaves more open about
// its outcome.
func worse(a, b error) error {
	if a != nil && fail.Outcome(a) != ident.NotRun {
		return a
	}
	return b
}

// try makes one attempt on a connection of its own.
func (c *Client) try(ctx context.Context, s Server, call Call) (Answer, error) {
	c.begin(s.Name)
	a, err := c.exchange(ctx, s, call)
	switch {
	case err == nil:
		c.end(s.Name, answered)
	case errors.Is(context.Cause(ctx), errLimit):
		c.end(s.Name, unanswered)
	case ctx.Err() != nil || held(err):
		c.end(s.Name, ended)
	default:
		c.end(s.Name, failed)
	}
	return a, err
}

func (c *Client) exchange(ctx context.Context, s Server, call Call) (Answer, error) {
	const step = "plain: call"
	req, err := request(ctx, s, call)
	if err != nil {
		return Answer{}, fail.New(step, string(s.Name), ident.NotRun, err)
	}
	t := &trace{gate: call.Gate}
	tr := c.transport(t)
	defer tr.CloseIdleConnections()

	resp, err := tr.RoundTrip(req)
	if held := t.held.Load(); err != nil && held != nil && t.seal() {
		return Answer{}, fail.New("plain: gate", string(s.Name), ident.NotRun, held)
	}
	if err != nil {
		return Answer{}, fail.New(step, string(s.Name), outcome(t), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !link.ValidStatus(resp.StatusCode) {
		err := errors.Wrapf(link.ErrInvalidStatus, "status %03d", resp.StatusCode)
		return Answer{}, fail.New("plain: read answer", string(s.Name), ident.Unknown, err)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return Answer{}, fail.New("plain: read answer", string(s.Name), ident.Unknown, errNoEnd)
	}
	limit := call.MaxAnswer
	if limit == 0 {
		limit = defaultMaxAnswer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Answer{}, fail.New("plain: read answer", string(s.Name), ident.Unknown, err)
	}
	if int64(len(body)) > limit {
		err := errors.Errorf("the answer is larger than %d bytes", limit)
		return Answer{}, fail.New("plain: read answer", string(s.Name), ident.Done, err)
	}
	return Answer{Status: resp.StatusCode, Header: StripHeaders(resp.Header), Body: body}, nil
}

// outcome returns the outcome of a failed exchange. It seals the trace first,
// because the transport may still write to the connection.
func outcome(t *trace) ident.Outcome {
	if t.seal() {
		return ident.NotRun
	}
	return ident.Unknown
}

// transport returns a transport for one attempt. It keeps no idle connections.
// It uses HTTP/1.1 only, because HTTP/2 may send a refused request again.
func (c *Client) transport(t *trace) *http.Transport {
	d := &dialer{net: net.Dialer{Timeout: c.cfg.Dial}, tls: c.cfg.TLS, progress: c.cfg.Progress, t: t}
	return &http.Transport{
		DialContext:            d.dial,
		DialTLSContext:         d.dialTLS,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// request builds the request of one attempt. Its body cannot be rewound, so the
// transport never sends it twice.
func request(ctx context.Context, s Server, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.URL+call.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	req.GetBody = nil
	req.Header = StripHeaders(call.Header)
	req.Header.Set("X-Request-Id", string(call.Request))
	if call.Customer != "" {
		req.Header.Set("X-Customer", string(call.Customer))
	} else {
		req.Header.Del("X-Customer")
	}
	return req, nil
}
