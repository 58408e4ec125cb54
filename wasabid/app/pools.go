package app

import (
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/table"
)

// poolSpecs returns the pools of a data centre.
func poolSpecs(t *table.Table, c ident.Centre) []sched.PoolSpec {
	weights := make([]sched.CustomerWeight, 0, len(t.Customers()))
	for _, cu := range t.Customers() {
		weights = append(weights, sched.CustomerWeight{Customer: cu.Name, Weight: float64(cu.Weight)})
	}
	var list []sched.PoolSpec
	for _, m := range t.Models() {
		servers := t.ServersOf(c, m.Name)
		if len(servers) == 0 {
			continue
		}
		spec := place.Spec{Centre: c, Model: m.Name, Revision: t.Revision(), KVBytes: m.KVBytes}
		for _, s := range servers {
			spec.Servers = append(spec.Servers, poolServer(s))
		}
		list = append(list, sched.PoolSpec{Spec: spec, Classes: poolClasses(t, m), Weights: weights})
	}
	return list
}

func poolServer(s table.Server) place.Server {
	role := place.RolePrefill
	if s.Role == table.Decode {
		role = place.RoleDecode
	}
	return place.Server{
		Name:          s.Name,
		Role:          role,
		Slots:         s.Places,
		PrefillRate:   float64(s.Rate),
		TokenInterval: s.TokenGap,
		LinkBandwidth: float64(s.Link),
	}
}

// poolClasses returns the latency classes, the model's default first. A class
// is patient if its first token may take longer than that of the strictest.
func poolClasses(t *table.Table, m table.Model) []pool.Class {
	var list []pool.Class
	strictest := t.Classes()[0].FirstToken
	for _, c := range t.Classes() {
		strictest = min(strictest, c.FirstToken)
	}
	for _, c := range t.Classes() {
		k := pool.Class{Name: c.Name, FirstTokenTarget: c.FirstToken, GapTarget: c.TokenGap, Deferrable: c.FirstToken > strictest}
		if c.Name == m.DefaultClass {
			list = append([]pool.Class{k}, list...)
			continue
		}
		list = append(list, k)
	}
	return list
}

// layout returns the data centres and the classes that may leave the region.
func layout(t *table.Table, own ident.Centre) sched.Topology {
	l := sched.Topology{Own: sched.Centre{Name: own}}
	for _, c := range t.Centres() {
		l.Centres = append(l.Centres, sched.Centre{Name: c.Name, Region: c.Region})
		if c.Name == own {
			l.Own.Region = c.Region
		}
	}
	for _, c := range t.Classes() {
		if c.Cross {
			l.CrossRegion = append(l.CrossRegion, c.Name)
		}
	}
	return l
}
