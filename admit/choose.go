package admit

import (
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// best returns the pair with the earliest expected first event among the
// servers, all of them or those alone that are not set aside.
func (b *Balancer) best(w *Request, servers []*route.Server, engine *route.Engine, now tick.Instant, usable bool) *Placement {
	loads := b.beside(w.Service, servers)
	var decode, prefill *route.Server
	var decodeLoad *serverLoad
	var dCost, pCost time.Duration
	blur := b.blur()
	for i, s := range servers {
		l := loads[i]
		if s.Stage == route.StagePrefill {
			if w.LocalPrefill {
				continue
			}
			c := b.readCost(w, s, l, now) + b.random(blur)
			if prefill != nil && c >= pCost || !b.takes(w, s, now, usable) {
				continue
			}
			if c += b.dial(s); prefill == nil || c < pCost {
				prefill, pCost = s, c
			}
			continue
		}
		c, ok := b.decodeCost(w, s, l, engine, now)
		if !ok {
			continue
		}
		c += b.random(blur)
		if decode != nil && c >= dCost || !b.takes(w, s, now, usable) {
			continue
		}
		if c += b.dial(s); decode == nil || c < dCost {
			decode, decodeLoad, dCost = s, l, c
		}
	}
	if decode == nil {
		return nil
	}
	if w.Prefilled {
		return &Placement{Decode: decode, ExpectedTTFT: dCost}
	}
	self := b.selfCost(w, decode, decodeLoad, now)
	if prefill == nil || decode.Stage == route.StageBoth {
		return &Placement{Decode: decode, ExpectedTTFT: dCost + self}
	}
	// Reading at a decode server slows its streams down, so that it does so only
	// for a request that would be late otherwise.
	late := now+dCost+pCost >= w.Due
	if late && self < pCost && !b.stalls(w, decode, decodeLoad, now) {
		return &Placement{Decode: decode, ExpectedTTFT: dCost + self}
	}
	return &Placement{Prefill: prefill, Decode: decode, ExpectedTTFT: dCost + pCost}
}

// takes tells whether a server may be given a request. It is asked last, of the
// few servers that would be chosen.
func (b *Balancer) takes(w *Request, s *route.Server, now tick.Instant, usable bool) bool {
	if avoided(w, s) || b.closed(s, now) > now {
		return false
	}
	return !usable || b.cfg.Usable == nil || b.cfg.Usable(s.Key(), now)
}

// view is what is known of the servers of a service, in their order.
type view struct {
	servers []*route.Server
	loads   []*serverLoad
}

// beside returns what is known of each of the servers. The slices of a fleet do
// not change, so that this is worked out once for each fleet.
func (b *Balancer) beside(service string, servers []*route.Server) []*serverLoad {
	if v, ok := b.views[service]; ok && len(v.servers) == len(servers) && (len(servers) == 0 || &v.servers[0] == &servers[0]) {
		return v.loads
	}
	v := view{servers: servers, loads: make([]*serverLoad, len(servers))}
	for i, s := range servers {
		v.loads[i] = b.load(s)
	}
	b.views[service] = v
	return v.loads
}

func avoided(w *Request, s *route.Server) bool {
	for _, k := range w.Avoid {
		if k == s.Key() {
			return true
		}
	}
	return false
}

// refusal tells why none of the servers could run the request even if all were
// idle, nil if one could.
func (b *Balancer) refusal(w *Request, servers []*route.Server, engine *route.Engine, now tick.Instant) *fail.Refusal {
	if engine == nil || float64(w.KVTokens()) > float64(engine.KVTokens) {
		return fail.Refuse(fail.CodeNoServer, retryLeast, "no server can take the request")
	}
	var back tick.Instant // when the first of the closed ones is open again
	for _, s := range servers {
		if s.Stage == route.StagePrefill {
			continue
		}
		until := b.closed(s, now)
		if until <= now && !avoided(w, s) {
			return nil
		}
		if until > now && until != health.Forever && (back == 0 || until < back) {
			back = until
		}
	}
	if back == 0 {
		return fail.Refuse(fail.CodeNoServer, retryLeast, "no server can take the request")
	}
	return fail.Refuse(fail.CodeOverloaded, back-now, "the servers want no request for a time")
}

// closed returns the instant until which a server wants no request.
func (b *Balancer) closed(s *route.Server, now tick.Instant) tick.Instant {
	if b.cfg.ClosedUntil == nil {
		return 0
	}
	return b.cfg.ClosedUntil(s.Key(), now)
}
