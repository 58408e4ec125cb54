package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/spill"
)

// pickServer returns the server with the lowest cost, or nil if all were tried, accept no requests or are skipped. Ejected
// servers are chosen last. Prefill servers run no requests.
func (x *exchange) pickServer(avoid map[string]bool, skip func(*route.Server) bool) *route.Server {
	now := x.h.cfg.Clock.Now()
	usual := x.h.responseTimes.UpperBound(x.service.Name, 0)
	var best *route.Server
	var cost float64
	for _, s := range x.h.cfg.Live.Fleet().ServersOf(x.service.Name) {
		if s.Stage == route.StagePrefill || avoid[s.Key()] || !x.mayServe(s) || skip(s) {
			continue
		}
		candidate := spill.Candidate{
			InFlight: x.h.loads.of(s.Key()), Distance: x.h.distance(s), Cold: x.h.cfg.Permits.Warming(s),
			Slowdown: x.h.speeds.Slowdown(s.Key(), usual, now), Ejected: !x.h.cfg.Health.Usable(s.Key(), now),
		}
		c := candidate.Cost(rand.Float64())
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	return best
}

// distance returns how far a server is from this instance.
func (h *Handler) distance(s *route.Server) spill.Distance {
	switch {
	case s.Centre == h.cfg.Centre:
		return spill.Near
	case s.Region == h.cfg.Region:
		return spill.Region
	default:
		return spill.Remote
	}
}

// picker is the Placer of a request that is not placed by its tokens. It chooses servers as for requests of plain services, and
// counts the load of this instance only.
type picker struct{ x *exchange }

// Place implements Placer. It does not wait.
func (p picker) Place(_ context.Context, req admit.Request) (*admit.Placement, error) {
	x, avoid := p.x, make(map[string]bool)
	for _, key := range req.Avoid {
		avoid[key] = true
	}
	s := x.pickServer(avoid, func(s *route.Server) bool {
		return req.Spare && !x.h.cfg.Health.Usable(s.Key(), x.h.cfg.Clock.Now()) || x.limitReached(s)
	})
	if s == nil {
		return nil, fail.Refuse(fail.CodeNoServer, 0, x.noServerLeft())
	}
	x.h.loads.add(s.Key(), 1)
	return &admit.Placement{Decode: s}, nil
}

// Release implements Placer.
func (p picker) Release(pl *admit.Placement) { p.x.h.loads.add(pl.Decode.Key(), -1) }

// PrefillDone implements Placer. There are no prefills.
func (picker) PrefillDone(*admit.Placement, time.Duration) {}

// PrefillSlow implements Placer.
func (picker) PrefillSlow(*admit.Placement, time.Duration) {}

// FirstEvent implements Placer.
func (picker) FirstEvent(*admit.Placement) {}

// ObserveGap implements Placer.
func (picker) ObserveGap(*admit.Placement, time.Duration) {}

// ServerFull implements Placer. There are no reservations.
func (picker) ServerFull(*route.Server) {}
