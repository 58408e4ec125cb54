package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
)

// maxDeniedClaims is the number of denied claims after which a request is sent to servers without a
// limit only. Each claim may take a round trip to another region.
const maxDeniedClaims = 4

// maxInvalidLimits bounds the servers whose last invalid limit is kept.
const maxInvalidLimits = 1024

// permits are the permits of one request of a caller for servers with a limit. Attempts beside each other use them at the
// same time.
type permits struct {
	mu     sync.Mutex    // guards all fields
	held   permit.Permit // taken in advance for a server, and not used yet
	denied []string      // IDs of the servers that got no request because of their limits
	claims int           // denied claims
	// The limit that decided last, in requests per second, the age of the server's statement, and
	// the instance that issued the permit, which is empty if there was none.
	limited bool
	rate    float64
	age     time.Duration
	issuer  string
}

// log adds the permits to the decision log line.
func (p *permits) log(e *zerolog.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited {
		e.Float64("limit", p.rate).Dur("limit_age", p.age)
	}
	if p.issuer != "" {
		e.Str("limit_issuer", p.issuer)
	}
	if len(p.denied) > 0 {
		e.Strs("limited", p.denied)
	}
}

// reason returns the end of the reason for which a request is rejected.
func (p *permits) reason() string {
	if !p.wereDenied() {
		return ""
	}
	return " within the limits that the servers name"
}

// wereDenied reports whether a server got no request because of its limit.
func (p *permits) wereDenied() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.denied) > 0
}

// take returns the held permit if it is for the server.
func (p *permits) take(gate *permit.Gate, s *route.Server) (permit.Permit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.held
	if !gate.Covers(held, s) {
		return permit.Permit{}, false
	}
	p.held = permit.Permit{}
	return held, true
}

// claimsDenied returns the number of denied claims.
func (p *permits) claimsDenied() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims
}

// caller returns what decides which requests get permits first.
func (x *exchange) caller() permit.Caller {
	c := permit.Caller{Priority: x.priority()}
	if x.customer != nil {
		c.Customer, c.Weight = x.customer.Name, x.customer.Rate
	}
	return c
}

// holdPermit takes a permit for the next request to a server with a limit.
func (x *exchange) holdPermit(ctx context.Context, s *route.Server) error {
	p, err := x.takePermit(ctx, s)
	x.permits.mu.Lock()
	defer x.permits.mu.Unlock()
	x.permits.held = p
	return err
}

// takePermit returns a permit for one request to a server: the held one if it is for the server, or
// a new one.
func (x *exchange) takePermit(ctx context.Context, s *route.Server) (permit.Permit, error) {
	gate := x.h.cfg.Permits
	if p, ok := x.permits.take(gate, s); ok {
		return p, nil
	}
	p, err := gate.Acquire(ctx, s, x.caller())
	if err != nil {
		x.recordDenied(s, err)
		return permit.Permit{}, fail.New("relay: permit", s.ID, ident.NotRun, err)
	}
	if p.Limited {
		x.permits.setLimit(p.Rate, p.Age, p.Issuer)
		x.h.cfg.Meter.Count("permits_total", "result", "granted", 1)
	}
	return p, nil
}

// setLimit records the limit that decided last.
func (p *permits) setLimit(rate float64, age time.Duration, issuer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limited, p.rate, p.age, p.issuer = true, rate, age, issuer
}

// recordDenied records that a server gets no request because of its limit.
func (x *exchange) recordDenied(s *route.Server, err error) {
	x.addDenied(s)
	x.permits.mu.Lock()
	x.permits.claims++
	x.permits.mu.Unlock()
	result := "denied"
	var denied *permit.DeniedError
	if errors.As(err, &denied) && denied.Err != nil {
		result = "unanswered"
		x.h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: no answer to a claim for a permit; using another server")
	}
	x.h.cfg.Meter.Count("permits_total", "result", result, 1)
	x.h.cfg.Meter.Count("server_limit_denied_total", "server", s.ID, 1)
}

// isDenied reports whether a request was not sent because of the limit of its server.
func isDenied(err error) bool {
	var denied *permit.DeniedError
	return errors.As(err, &denied) || errors.Is(err, permit.ErrExpired)
}

// limitReached reports whether a server gets no requests now because of its limit, and records it.
func (x *exchange) limitReached(s *route.Server) bool {
	gate := x.h.cfg.Permits
	if gate.ClosedFor(s) == 0 && (x.permits.claimsDenied() < maxDeniedClaims || !gate.Limited(s)) {
		return false
	}
	x.addDenied(s)
	return true
}

// skipDenied is skipServer for a server that got no request because of its limit. After
// maxDeniedClaims, all servers with a limit are excluded.
func (m *modelExchange) skipDenied(s *route.Server) bool {
	if m.permits.claimsDenied() == maxDeniedClaims {
		for _, o := range m.h.cfg.Live.Fleet().ServersOf(m.service.Name) {
			if m.h.cfg.Permits.Limited(o) {
				m.exclude(o)
			}
		}
	}
	return m.skipServer(s)
}

// addDenied records a server that gets no request because of its limit for the decision log line.
func (x *exchange) addDenied(s *route.Server) {
	x.permits.addDenied(s.ID)
	if rate, age, ok := x.h.cfg.Permits.Limit(s); ok {
		x.permits.setLimit(rate, age, "")
	}
}

func (p *permits) addDenied(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.denied, server) {
		p.denied = append(p.denied, server)
	}
}

// retryAfterLimits returns the time after which a rejected caller is expected to be served, if all
// servers that could run its request have used up their limits. Otherwise it returns false.
func (x *exchange) retryAfterLimits() (time.Duration, bool) {
	if !x.permits.wereDenied() {
		return 0, false
	}
	var limited []*route.Server
	for _, s := range x.h.cfg.Live.Fleet().ServersOf(x.service.Name) {
		if s.Stage == route.StagePrefill || !x.mayServe(s) {
			continue
		}
		if !x.h.cfg.Permits.Limited(s) {
			return 0, false // it may serve the caller sooner
		}
		limited = append(limited, s)
	}
	x.h.cfg.Meter.Count("server_limit_rejections_total", "service", x.service.Name, 1)
	return x.h.cfg.Permits.RetryAfter(limited)
}

// recordLimit records the limit that a server names in the header of its response, or that it names
// none. age is the time since the request was sent. After an invalid value, the last valid one stays
// in force.
func (x *exchange) recordLimit(s *route.Server, resp *link.Response, age time.Duration) {
	h := x.h
	if h.cfg.Protocol.WrongServer(resp.Status) {
		return
	}
	rate, limited, err := h.cfg.Protocol.ServerLimit(resp.Header)
	if err != nil {
		if h.invalidLimits.first(s.ID, err.Error()) {
			h.cfg.Log.Warn().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: invalid limit from server; keeping the last valid one")
		}
		return
	}
	switch h.cfg.Permits.Record(s, rate, limited, age) {
	case permit.Named, permit.Altered:
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Float64("limit", rate).Msg("relay: server names a limit for all instances together")
	case permit.Lifted:
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Msg("relay: server names no limit any more")
	case permit.Unchanged:
	}
}

// invalidLimits holds the last invalid limit of each server, by server ID, so that it is logged once.
type invalidLimits struct {
	mu   sync.Mutex
	text map[string]string
}

// first reports whether the text differs from the last one of the server.
func (l *invalidLimits) first(server, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text[server] == text {
		return false
	}
	if l.text == nil || len(l.text) >= maxInvalidLimits {
		l.text = make(map[string]string)
	}
	l.text[server] = text
	return true
}
