package admit

import (
	"slices"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// bestPair returns the pair of servers with the earliest expected first event, or nil if no decode
// server can run the request. The expectation includes what is charged for crossing between data centres. If usable is
// set, only servers that Config.Usable accepts are considered.
func (b *Balancer) bestPair(r *Request, servers []*route.Server, engine *route.Engine, now tick.Instant, usable bool) *Placement {
	loads := b.serverLoads(r.Service, servers)
	span := b.jitterSpan()
	here := location{b.cfg.Centre, b.cfg.Region}
	decode, decodeLoad, dCost := b.best(r, servers, loads, now, usable, r.leastPrefillTime(), func(s *route.Server, l *serverLoad) (time.Duration, bool) {
		if s.Stage == route.StagePrefill || isHeld(r, s) {
			return 0, false
		}
		c, ok := b.decodeCost(r, l, engine, now)
		return c + here.crossingCost(r, s) + b.jitter(span), ok
	})
	if decode == nil {
		return nil
	}
	if r.Prefilled {
		return &Placement{Decode: decode, ExpectedTTFT: dCost}
	}
	local := b.localPrefillCost(r, decode, decodeLoad, now)
	if r.LocalPrefill || decode.Stage == route.StageBoth {
		return &Placement{Decode: decode, ExpectedTTFT: dCost + local}
	}
	// The KV cache is transferred from the prefill server to the decode server, and is far larger than the request.
	there := location{decode.Centre, decode.Region}
	prefill, _, pCost := b.best(r, servers, loads, now, usable, 0, func(s *route.Server, l *serverLoad) (time.Duration, bool) {
		if s.Stage != route.StagePrefill {
			return 0, false
		}
		return b.prefillCost(r, l, now) + there.crossingCost(r, s) + b.jitter(span), true
	})
	if prefill == nil {
		return &Placement{Decode: decode, ExpectedTTFT: dCost + local}
	}
	// Prefilling at a decode server slows its streams down. The decode server therefore prefills
	// the prompt only if the request would be late otherwise.
	late := now+dCost+pCost >= r.Due
	if late && local < pCost && !b.stallsStreams(r, decode, decodeLoad, now) {
		return &Placement{Decode: decode, ExpectedTTFT: dCost + local}
	}
	return &Placement{Prefill: prefill, Decode: decode, ExpectedTTFT: dCost + pCost}
}

// best returns the server with the lowest cost among those that accept the request, or nil if there is none. cost returns false
// for a server that is no candidate. rest is the least time from the end of the work at the server to the first event.
func (b *Balancer) best(r *Request, servers []*route.Server, loads []*serverLoad, now tick.Instant, usable bool, rest time.Duration,
	cost func(*route.Server, *serverLoad) (time.Duration, bool),
) (best *route.Server, load *serverLoad, bestCost time.Duration) {
	bestLate := false // see isLateAtCold
	for i, s := range servers {
		c, ok := cost(s, loads[i])
		if !ok || best != nil && !bestLate && c >= bestCost || !b.accepts(r, s, now, usable) {
			continue
		}
		warmup := b.warmupCost(s)
		c += b.connectionCost(s) + warmup
		late := warmup > 0 && r.isLateAtCold(now+c+rest)
		if best == nil || bestLate && !late || bestLate == late && c < bestCost {
			best, load, bestCost, bestLate = s, loads[i], c, late
		}
	}
	return best, load, bestCost
}

// isLateAtCold reports whether a request would miss its latency target at a cold server at which its first event is expected
// at an instant. Such a server is chosen only if no warm one can take the request.
func (r *Request) isLateAtCold(first tick.Instant) bool { return r.LatencyTarget > 0 && first >= r.Due }

// leastPrefillTime returns the time that the prefill of a request takes at least.
func (r *Request) leastPrefillTime() time.Duration {
	if r.Prefilled {
		return 0
	}
	return idlePrefillTime(r)
}

// accepts reports whether a request may be sent to a server. bestPair calls it last, and only for
// the few servers with the lowest cost so far.
func (b *Balancer) accepts(r *Request, s *route.Server, now tick.Instant, usable bool) bool {
	if avoided(r, s) || !b.check(r, s, now).OK() {
		return false
	}
	if !usable {
		return b.cfg.Refuses == nil || !b.cfg.Refuses(s.Key(), now)
	}
	return b.cfg.Usable == nil || b.cfg.Usable(s.Key(), now)
}

// loadCache caches the loads of the servers of a service, in the order of the servers.
type loadCache struct {
	servers []*route.Server
	loads   []*serverLoad
}

// serverLoads returns the load of each of the servers. The slices of a route.Fleet never change,
// so the result is computed once for each fleet.
func (b *Balancer) serverLoads(service string, servers []*route.Server) []*serverLoad {
	if v, ok := b.loadCaches[service]; ok && len(v.servers) == len(servers) && (len(servers) == 0 || &v.servers[0] == &servers[0]) {
		return v.loads
	}
	v := loadCache{servers: servers, loads: make([]*serverLoad, len(servers))}
	for i, s := range servers {
		v.loads[i] = b.load(s)
	}
	b.loadCaches[service] = v
	return v.loads
}

// isHeld reports whether a queued request that goes first may use a server.
func isHeld(r *Request, s *route.Server) bool {
	return slices.ContainsFunc(r.held, func(h filter.Scope) bool { return h.Allows(s.Region) })
}

func avoided(r *Request, s *route.Server) bool {
	for _, k := range r.Avoid {
		if k == s.Key() {
			return true
		}
	}
	return false
}

// rejection returns the reason why none of the servers could run the request even if all were
// idle. It returns nil if a server could run the request.
func (b *Balancer) rejection(r *Request, servers []*route.Server, engine *route.Engine, now tick.Instant) *fail.Refusal {
	if engine == nil || float64(r.KVTokens()) > float64(engine.KVTokens) {
		return fail.Refuse(fail.CodeNoServer, minRetryAfter, "no server can take the request")
	}
	if b.excluded(r, servers, now) {
		return fail.Refuse(fail.CodeNoServer, filter.ExcludedRetryAfter, "all servers are outside the allowed regions or evacuated")
	}
	var reopensAt tick.Instant // instant at which the first closed server accepts requests again, 0 for never
	for _, s := range servers {
		if s.Stage == route.StagePrefill {
			continue
		}
		v := b.check(r, s, now)
		switch {
		case v.OK() && !avoided(r, s):
			return nil
		case v.Until > now && v.Until != health.Forever && (reopensAt == 0 || v.Until < reopensAt):
			reopensAt = v.Until
		}
	}
	if reopensAt == 0 {
		return fail.Refuse(fail.CodeNoServer, minRetryAfter, "no server can take the request")
	}
	return fail.Refuse(fail.CodeOverloaded, reopensAt-now, "the servers want no request for a time")
}

// excluded reports whether all servers that could run the request are outside its allowed regions or evacuated.
func (b *Balancer) excluded(r *Request, servers []*route.Server, now tick.Instant) bool {
	any := false
	for _, s := range servers {
		if s.Stage == route.StagePrefill {
			continue
		}
		if !b.check(r, s, now).Excluded() {
			return false
		}
		any = true
	}
	return any
}

// check returns whether a server may serve a request.
func (b *Balancer) check(r *Request, s *route.Server, now tick.Instant) filter.Verdict {
	if b.cfg.Check == nil {
		return filter.Verdict{}
	}
	return b.cfg.Check(s, r.Scope, now)
}
