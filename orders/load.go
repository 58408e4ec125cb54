package orders

import (
	"slices"
	"sort"

	"wasabidock.dev/dock/ident"
)

// planLoads orders the loads of missing models, at most lim.MaxLoads at a time from each weight store.
// Models with the fewest replicas come first, then the servers by name. Deferred loads come last.
func (p *plan) planLoads() {
	inFlight := make(map[string]int)
	var missing []load
	for _, s := range p.servers {
		inFlight[s.desired.Store] += len(s.state.Loading)
		if s.state.Draining {
			continue
		}
		for _, m := range s.desired.Models {
			if !has(s.state.Models, m) && !has(s.state.Loading, m) {
				missing = append(missing, load{server: s.desired.Server, store: s.desired.Store, model: m, replicas: p.replicas(m), deferred: slices.Contains(s.state.Deferred, m)})
			}
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].before(missing[j]) })
	for _, l := range missing {
		if inFlight[l.store] >= p.lim.MaxLoads {
			continue
		}
		inFlight[l.store]++
		p.orders = append(p.orders, Order{Server: l.server, Kind: Load, Model: l.model, Fence: p.revision})
	}
}

func (p *plan) replicas(m Model) int {
	n := 0
	for _, s := range p.servers {
		if slices.ContainsFunc(s.state.Models, m.same) {
			n++
		}
	}
	return n
}

// load is a model that a server should have and has not loaded.
type load struct {
	server   ident.Server
	store    string
	model    Model
	replicas int
	deferred bool
}

func (l load) before(o load) bool {
	if l.deferred != o.deferred {
		return !l.deferred
	}
	if l.replicas != o.replicas {
		return l.replicas < o.replicas
	}
	if l.server != o.server {
		return l.server < o.server
	}
	return l.model.compare(o.model) < 0
}
