package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/elect"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// WatchesStore reports whether this instance watches the platform's store itself, see package elect. The
// others receive the changes from the instance of their data centre that does.
func (s *Service) WatchesStore() bool {
	return s.reader.Reads(s.peersInCentre(), s.state(), s.readerTimeouts(), s.cfg.Clock.Now())
}

// state returns the state that this instance has.
func (s *Service) state() elect.State {
	table, fleet := s.cfg.Store.Revisions()
	return elect.State{Table: table, Fleet: fleet}
}

// ReadTurn returns how many turns this instance is behind the first one of its data centre that reads the store if it
// can, see package elect.
func (s *Service) ReadTurn() int {
	return s.reader.Turn(s.peersInCentre(), s.readerTimeouts(), s.cfg.Clock.Now())
}

// readerTimeouts returns the timeouts for the present number of instances. An answer of the store is known to the
// peers one datagram later.
func (s *Service) readerTimeouts() elect.Timeouts {
	period := max(idleLoadPeriod, time.Duration(s.members.count())*loadPeriodPerPeer) + loadPeriod
	return elect.Timeouts{Report: max(minReportTimeout, reportPeriods*period), Read: s.cfg.ReadTimeout + period}
}

// peersInCentre returns the other instances of the data centre from which datagrams have arrived.
func (s *Service) peersInCentre() []elect.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []elect.Peer
	for name, l := range s.loads {
		if l.centre == s.cfg.Self.Centre {
			peers = append(peers, elect.Peer{Name: name, Reported: l.at, Read: l.lastRead, Failed: l.storeUnreachable, Leaving: l.leaving})
		}
	}
	return peers
}

// setReadAge sets the time since the store has answered this instance.
func (s *Service) setReadAge(l *peerpb.Load, now tick.Instant) {
	l.ReadAgeMs = nil
	if at := s.cfg.Store.LastRead(); at > 0 {
		l.ReadAgeMs = proto.Int64((now - at).Milliseconds())
	}
}

// lastRead returns when the store has answered the sender of a datagram that arrived at now, 0 if it has not.
func lastRead(l *peerpb.Load, now tick.Instant) tick.Instant {
	if l.ReadAgeMs == nil {
		return 0
	}
	return now - millis(l.GetReadAgeMs())
}
