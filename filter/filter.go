// Package filter decides whether a backend server may serve a request.
//
// All parts that choose a server for a request, or check one right before the request is written, ask
// the same Filter. It reads the configuration, the server list and the evacuations in force, and what
// servers have said of themselves. It does not decide whether a server is a good choice, nor whether
// its rate limit allows a request.
//
// # Usage
//
//	f := filter.New(live, health)
//	scope := filter.NewScope(route, customer)
//	if v := f.Check(server, scope, now); v.Reason != filter.Eligible {
//		// use another server, or reject the caller until v.Until
//	}
//
// # Concurrency
//
// A Filter may be used concurrently. The package reads no clock and does no I/O.
package filter

import (
	"slices"
	"time"

	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// ExcludedRetryAfter is the Retry-After of a request for which the operator has excluded all servers. Only the operator
// changes that.
const ExcludedRetryAfter = time.Second

// Reason is why a server may not serve a request.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	Eligible  Reason = iota // the server may serve the request
	Unlisted                // the server is not listed, or has restarted
	Region                  // the server is outside the allowed regions of the request
	Evacuated               // the data centre of the server is being evacuated
	Draining                // the server is draining
	Paused                  // the server has asked for a pause
)

var reasonNames = [...]string{"eligible", "unlisted", "region", "evacuated", "draining", "paused"}

// ReasonCount is the number of values of a Reason.
const ReasonCount = len(reasonNames)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns the reasons for which a server may not serve a request.
func Reasons() []Reason { return []Reason{Unlisted, Region, Evacuated, Draining, Paused} }

// Scope is where a request may be served. The zero value allows all regions.
type Scope struct {
	route, customer []string // allowed regions, empty for all
}

// NewScope returns the scope of the requests of a customer on a route. The customer may be nil.
func NewScope(r *route.Route, c *route.Customer) Scope {
	s := Scope{route: r.Regions}
	if c != nil {
		s.customer = c.Regions
	}
	return s
}

// Allows reports whether servers in a region may serve the request.
func (s Scope) Allows(region string) bool {
	return contains(s.route, region) && contains(s.customer, region)
}

// Covers reports whether s is known to allow all regions that o allows: s allows all, or both have the same lists.
func (s Scope) Covers(o Scope) bool {
	if len(s.route) == 0 && len(s.customer) == 0 {
		return true
	}
	return slices.Equal(s.route, o.route) && slices.Equal(s.customer, o.customer)
}

// contains reports whether a list of allowed regions is empty or contains a region.
func contains(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Verdict is whether a server may serve a request.
type Verdict struct {
	Reason Reason
	Until  tick.Instant // when the reason ends by itself, health.Forever if it does not
}

// OK reports whether the server may serve the request.
func (v Verdict) OK() bool { return v.Reason == Eligible }

// Excluded reports whether the operator has excluded the server from such requests.
func (v Verdict) Excluded() bool { return v.Reason == Region || v.Reason == Evacuated }

// Closures provides what servers have said of themselves. It is implemented by health.Tracker.
type Closures interface {
	// ClosedUntil returns the instant until which a server accepts no requests, health.Forever if it
	// is draining, or an instant in the past.
	ClosedUntil(key string, now tick.Instant) tick.Instant
}

// Filter decides which servers may serve a request.
type Filter struct {
	live     *route.Live
	closures Closures
}

// New returns a Filter for what is in force in live.
func New(live *route.Live, closures Closures) *Filter {
	return &Filter{live: live, closures: closures}
}

// Evacuated reports whether the data centre of a server is being evacuated. Such a server gets no calls that belong to a
// request that it is running either. Check reports a reason with a higher precedence first.
func (f *Filter) Evacuated(s *route.Server) bool {
	return f.live.Evacuations().Contains(s.Centre)
}

// Check returns whether a server may serve a request with the given scope now.
func (f *Filter) Check(s *route.Server, scope Scope, now tick.Instant) Verdict {
	listed, ok := f.live.Fleet().Server(s.ID)
	if !ok || listed.Key() != s.Key() {
		return Verdict{Unlisted, health.Forever}
	}
	s = listed // an entry with the same key may have been moved to another data centre
	if !scope.Allows(s.Region) {
		return Verdict{Region, health.Forever}
	}
	if f.Evacuated(s) {
		return Verdict{Evacuated, health.Forever}
	}
	switch until := f.closures.ClosedUntil(s.Key(), now); {
	case until == health.Forever:
		return Verdict{Draining, until}
	case until > now:
		return Verdict{Paused, until}
	}
	return Verdict{}
}
