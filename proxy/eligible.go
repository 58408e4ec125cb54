package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
)

// tableScope is the scope of a request by one version of the configuration.
type tableScope struct {
	table *route.Table
	scope filter.Scope
}

// scope returns where the request may be served by the configuration in force, which may have changed since
// the request arrived. What it no longer contains binds as before.
func (x *exchange) scope() filter.Scope {
	t := x.h.cfg.Live.Table()
	if c := x.tableScope.Load(); c != nil && c.table == t {
		return c.scope
	}
	r, c := x.route, x.customer
	if t != nil && t != x.table {
		if now, ok := t.Match(x.r.Host, x.r.URL.Path); ok {
			r = now
		}
		if now, ok := t.Customer(route.HashKey(x.info.APIKey)); ok && c != nil {
			c = now
		}
	}
	s := filter.NewScope(r, c)
	x.tableScope.Store(&tableScope{t, s})
	return s
}

// check returns whether a server may serve the request now.
func (x *exchange) check(s *route.Server) filter.Verdict {
	return x.h.cfg.Filter.Check(s, x.scope(), x.h.cfg.Clock.Now())
}

// mayServe reports whether a server may serve the request now.
func (x *exchange) mayServe(s *route.Server) bool { return x.check(s).OK() }

// ineligible counts the servers that may not serve a request, by reason.
type ineligible [filter.ReasonCount]int

// log adds the counts to the decision log line.
func (n *ineligible) log(e *zerolog.Event) {
	d, any := zerolog.Dict(), false
	for _, r := range filter.Reasons() {
		if n[r] > 0 {
			d.Int(r.String(), n[r])
			any = true
		}
	}
	if any {
		e.Dict("ineligible", d)
	}
}

// recordIneligible records why no server was found for the request. It returns the time until the first paused server
// accepts requests again, 0 if none is paused, and whether the operator has excluded all servers.
func (x *exchange) recordIneligible() (pause time.Duration, excluded bool) {
	now := x.h.cfg.Clock.Now()
	x.ineligible = ineligible{}
	servers := x.h.cfg.Live.Fleet().ServersOf(x.service.Name)
	for _, s := range servers {
		v := x.check(s)
		x.ineligible[v.Reason]++
		if v.Until > now && v.Until != health.Forever && (pause == 0 || v.Until-now < pause) {
			pause = v.Until - now
		}
	}
	for _, r := range filter.Reasons() {
		if n := x.ineligible[r]; n > 0 {
			x.h.cfg.Meter.Count("ineligible_servers_total", "reason", r.String(), int64(n))
		}
	}
	return pause, len(servers) > 0 && x.ineligible[filter.Region]+x.ineligible[filter.Evacuated] == len(servers)
}

// retryAfter returns the time after which a server of the service may accept requests again. It is used if
// no server can be tried now. The arguments are the results of recordIneligible.
func (x *exchange) retryAfter(pause time.Duration, excluded bool) time.Duration {
	if limits, ok := x.retryAfterLimits(); ok && (pause == 0 || limits < pause) {
		pause = limits
	}
	switch {
	case pause > 0:
		return pause
	case excluded:
		return filter.ExcludedRetryAfter
	default:
		return noServerRetry
	}
}
