package gossip

import (
	"context"
	"slices"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
)

// State implements peerpbconnect.NewsServiceHandler. It returns what this instance has in force.
func (s *Service) State(context.Context, *peerpb.StateRequest) (*peerpb.StateResponse, error) {
	table, fleet := s.cfg.Store.Revisions()
	e := s.cfg.Store.Evacuation()
	resp := &peerpb.StateResponse{
		Instance: s.cfg.Self.Instance, Centre: s.cfg.Self.Centre, Era: s.cfg.Store.Era(), TableVersion: table.Version,
		Table: route.Revision(table.Position), Fleet: route.Revision(fleet), Cut: s.cfg.Store.Unreachable(),
		Evacuated: slices.Concat(e.Centres, e.Kept),
	}
	if s.cfg.Warming == nil {
		return resp, nil
	}
	for _, w := range s.cfg.Warming() {
		resp.Warming = append(resp.Warming, &peerpb.WarmingServer{
			Id: w.ID, Service: w.Service, Centre: w.Centre, LeftMs: w.Left.Milliseconds(), Presumed: w.Presumed,
		})
	}
	return resp, nil
}
