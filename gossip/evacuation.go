package gossip

import (
	"time"

	"wasabidock.dev/dock/peerpb"
)

// maxCentres bounds the data centres that are accepted from a peer.
const maxCentres = 1000

// evacuation returns the evacuated data centres in the form sent to peers, nil if none was ever known.
func (s *Service) evacuation() *peerpb.Evacuation {
	e := s.cfg.Store.Evacuation()
	if e.Position == 0 {
		return nil
	}
	// Whole seconds, since a state that changes with each datagram would be sent more often.
	left := int64((e.KeptFor + time.Second - 1) / time.Second)
	return &peerpb.Evacuation{Position: e.Position, Centres: e.Centres, Kept: e.Kept, KeptMs: left * time.Second.Milliseconds()}
}

// applyEvacuation applies the evacuated data centres that a peer reports.
func (s *Service) applyEvacuation(w *peerpb.Evacuation) {
	if w.GetPosition() <= 0 || len(w.GetCentres())+len(w.GetKept()) > maxCentres {
		return
	}
	s.cfg.Store.ApplyEvacuation(Evacuation{
		Position: w.GetPosition(), Centres: w.GetCentres(), Kept: w.GetKept(), KeptFor: millis(w.GetKeptMs()),
	})
}
