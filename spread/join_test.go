package spread

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/table"
)

func TestFreshProcess(t *testing.T) {
	tests := []struct {
		name   string
		set    func(s *simFleet, n *simNode)
		joined bool
		want   uint64 // revision in force at the join
	}{
		{"all well", func(*simFleet, *simNode) {}, true, 3},
		{"stale replica", func(_ *simFleet, n *simNode) { n.stale = 2 }, true, 3},
		{"platform down", func(s *simFleet, _ *simNode) { s.plat.down = true }, true, 3},
		{"peers down", func(s *simFleet, n *simNode) { s.killOthers(n) }, true, 3},
		{"peers down and stale replica", func(s *simFleet, n *simNode) { s.killOthers(n); n.stale = 2 }, true, 1},
		{"platform and peers down", func(s *simFleet, n *simNode) { s.killOthers(n); s.plat.down = true }, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 5, 9, 3)
			s.startAll()
			for revision := range uint64(3) {
				s.run(10*time.Second, s.all(s.publish(simTable(t, revision+1, 3, int(revision)))))
			}
			n := s.nodes[0]
			n.start()
			n.r.Seed(s.nodes[1].name, s.nodes[1].address(), s.nodes[1].centre) // from the settings
			tt.set(s, n)
			s.run(20*time.Second, func() bool { return n.joined != 0 })
			is.Equal(n.joined != 0, tt.joined)
			is.Equal(n.floor.Revision, tt.want)
		})
	}
}

func (s *simFleet) killOthers(n *simNode) {
	for _, o := range s.nodes {
		o.dead = o != n
	}
}

// One instance after the other is the only one that reaches the platform.
func TestStarvedReaders(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 6, 9, 3)
	s.publish(simTable(t, 1, 3, 0))
	s.startAll()
	s.run(time.Minute, s.allJoined)
	for i, name := range []string{"c0-0", "c0-1", "c0-2", "c1-0", "c1-1", "c1-2", "c2-0", "c2-1", "c2-2"} {
		for _, n := range s.nodes {
			n.cutOff = string(n.name) != name
		}
		s.run(time.Duration(i)*time.Second, nil)
		v := s.publish(simTable(t, uint64(i+2), 3, i+1))
		took := s.run(time.Minute, s.all(v))
		t.Logf("only %s reads: in force everywhere after %v", name, took)
		is.True(took <= spreadLimit)
	}
}

// Other readers leave the router a twentieth of what it would use.
func TestSpentBudget(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 10, 90, 6)
	s.publish(simTable(t, 1, 3, 0))
	s.startAll()
	s.run(time.Minute, s.allJoined)
	s.plat.budget = 1
	s.run(30*time.Second, nil)
	for i := range 3 {
		v := s.publish(simTable(t, uint64(i+2), 3, i+1))
		took := s.run(time.Minute, s.all(v))
		t.Logf("%d of %d calls turned down: in force everywhere after %v", s.plat.busy, s.plat.calls, took)
		is.True(took <= spreadLimit)
	}
}

func TestBadTableIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 7, 9, 3)
	good := s.publish(simTable(t, 1, 3, 0))
	s.startAll()
	s.run(time.Minute, s.allJoined)

	bad := []byte("centre,name,region\ncentre,c0,r0\nseat,name,centre,share\nseat,c0-0,c9,1000000\n")
	s.putHead(2, bad)
	s.run(5*time.Second, nil)
	for _, n := range s.nodes {
		is.Equal(n.floor, good)
	}
	// Only instances that read the platform can tell the faults.
	found := false
	for _, n := range s.nodes {
		st, err := n.f.Status(context.Background(), nil)
		is.NoErr(err)
		is.Equal(st.GetRevision(), uint64(1))
		if st.GetRefusedRevision() == 2 {
			found = true
			is.True(strings.Contains(st.GetFaults()[0], `:4: centre: seat "c0-0": "c9" is no data centre`))
		}
	}
	is.True(found)
	is.True(s.run(spreadLimit, s.all(s.publish(simTable(t, 3, 3, 1)))) < spreadLimit)
}

// putHead publishes a revision of one part without any check.
func (s *simFleet) putHead(revision uint64, part []byte) {
	h := table.Head{Revision: revision, Parts: []table.Part{{Sum: table.PartSum(part), Size: len(part)}}}
	s.put(h.Parts[0].Name(), part)
	s.put(table.HeadName, h.Encode())
}

// A part that is not there yet delays the version and never halves it.
func TestPartComesLate(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 8, 9, 3)
	s.publish(simTable(t, 1, 300, 0))
	s.startAll()
	s.run(time.Minute, s.allJoined)
	head, parts := simTable(t, 2, 300, 1).Split()
	is.True(len(parts) > 1)
	s.put(table.HeadName, head.Encode())
	s.run(5*time.Second, nil)
	for _, n := range s.nodes {
		is.Equal(n.f.Current().Revision(), uint64(1))
	}
	for i, p := range head.Parts {
		s.put(p.Name(), parts[i])
	}
	v, _ := versionFromWire(2, sumOf(head))
	is.True(s.run(time.Minute, s.all(v)) <= spreadLimit)
}

func TestSupersededProcessEnds(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 9, 9, 3)
	s.publish(simTable(t, 1, 3, 0))
	s.startAll()
	s.run(time.Minute, s.allJoined)
	n := s.nodes[0]
	old := *n
	n.start()
	s.run(10*time.Second, nil)

	old.exchange(context.Background(), old.r.Spread(pushNear, pushFar))
	select {
	case <-old.f.Superseded():
	default:
		t.Error("the earlier process was not told")
	}
	select {
	case <-n.f.Superseded():
		t.Error("the later process was told")
	default:
	}
	is.True(s.allJoined())
}
