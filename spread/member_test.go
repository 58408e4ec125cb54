package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/roster"
)

// TestMembership measures how soon a data centre agrees on who is there.
func TestMembership(t *testing.T) {
	tests := []struct {
		size, centres int
		limit         time.Duration // for a crash, a pause, a drain and a restart
	}{
		{9, 3, 6 * time.Second},
		{90, 6, 12 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.size), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, tt.size, tt.centres)
			s.publish(simTable(t, 1, 3, 0))
			s.startAll()
			start := s.run(2*time.Minute, func() bool { return s.agreed(nil) })
			s.run(30*time.Second, nil)
			n := s.byName["c1-1"]

			n.dead = true
			crash := s.run(time.Minute, func() bool { return s.agreed(n) })
			n.start()
			restart := s.run(time.Minute, func() bool { return s.agreed(nil) })
			n.paused = true
			pause := s.run(time.Minute, func() bool { return s.agreed(n) })
			n.paused = false
			wake := s.run(time.Minute, func() bool { return s.agreed(nil) })
			n.r.SetState(roster.Draining)
			drain := s.run(time.Minute, func() bool { return s.agreed(n) })
			s.put(plat.ServersName, []byte(`[{"server":"p1","state":"departing"}]`))
			server := s.run(time.Minute, s.allDeparting)

			t.Logf("%d instances: known to all after a start %v, crash %v, restart %v, pause %v, wake %v, drain %v, departing server %v",
				tt.size, start, crash, restart, pause, wake, drain, server)
			for _, took := range []time.Duration{crash, restart, pause, wake, drain} {
				is.True(took <= tt.limit)
			}
			is.True(server <= 5*time.Second)
		})
	}
}

// agreed reports whether each process that runs sees all of its data centre as
// live but for the given one.
func (s *simFleet) agreed(without *simNode) bool {
	want := make(map[ident.Centre][]ident.Instance)
	for _, n := range s.nodes {
		if n != without {
			want[n.centre] = append(want[n.centre], n.name)
		}
	}
	for _, n := range s.nodes {
		if n == without || n.dead || n.paused {
			continue
		}
		names := want[n.centre]
		slices.Sort(names)
		if !slices.Equal(n.r.Live(n.centre), names) {
			return false
		}
	}
	return true
}

func (s *simFleet) allDeparting() bool {
	for _, n := range s.nodes {
		if !n.r.Departing("p1") {
			return false
		}
	}
	return true
}
