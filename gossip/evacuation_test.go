package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
)

// setEvacuation records what an instance has read from the store.
func (n *testInstance) setEvacuation(position int64, centres ...string) {
	n.store.ApplyEvacuation(Evacuation{Position: position, Centres: centres})
}

func (n *testInstance) evacuated(centres ...string) func() bool {
	return func() bool { return slices.Equal(n.store.Evacuation().Centres, centres) }
}

// TestEvacuationPropagates guards against an instance that cannot read the store and learns of an evacuation, or of its end,
// too late or not at all: over datagrams, also of another data centre, and at its start with the first call.
func TestEvacuationPropagates(t *testing.T) {
	is := is.New(t)
	a := startIn(t, "a", "a")
	b := startIn(t, "b", "b", a.cfg.Self.Address)
	c := startIn(t, "b", "c", a.cfg.Self.Address)
	for _, n := range []*testInstance{b, c} {
		n.store.set(func(s *fakeStore) { s.unreachable = true })
	}
	all := []*testInstance{a, b, c}
	for _, n := range all {
		eventually(t, "the instances receive each other's load", func() bool { return len(n.Members()) == 2 })
	}
	for i, centres := range [][]string{{"a"}, {"a", "b", "c"}, {"b"}, nil, {"b"}} {
		began := time.Now()
		a.setEvacuation(int64(i)+5, centres...)
		for _, n := range all {
			eventually(t, fmt.Sprint("evacuation of ", centres), n.evacuated(centres...))
		}
		is.True(time.Since(began) < 3*time.Second)
	}
	d := startIn(t, "d", "d", b.cfg.Self.Address)
	eventually(t, "an instance that has just started", d.evacuated("b"))
}

// TestEvacuationInCalls guards against calls that carry the evacuations in one direction only, or not to a caller that
// requests state from a busy instance, and against messages that change where there are no evacuations.
func TestEvacuationInCalls(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	resp, err := a.Exchange(t.Context(), &peerpb.ExchangeRequest{Self: &peerpb.Member{Instance: "x", Incarnation: 1, Address: "127.0.0.1:1"}})
	is.NoErr(err)
	is.True(resp.GetEvacuation() == nil)
	is.True(a.ownState().GetEvacuation() == nil)
	a.store.set(func(s *fakeStore) {
		s.config, s.table = string(make([]byte, 4*smallResponseBytes)), route.Stamp{Version: 1, Position: 5}
	})
	for i, want := range []bool{false, true, true} {
		at := int64(10 * (i + 1))
		resp, err := a.Exchange(t.Context(), &peerpb.ExchangeRequest{
			Self: &peerpb.Member{Instance: "x", Incarnation: 1, Address: "127.0.0.1:1"}, Want: want,
			Evacuation: &peerpb.Evacuation{Position: at, Centres: []string{fmt.Sprint("c", i)}},
		})
		is.NoErr(err)
		is.Equal(resp.GetBusy(), i == 2)
		is.True(proto.Equal(resp.GetEvacuation(), &peerpb.Evacuation{Position: at, Centres: []string{fmt.Sprint("c", i)}}))
	}
}

// TestLateEvacuationDatagrams guards against a late or repeated datagram that ends an evacuation or brings it back, and
// against datagrams that change while nothing else does.
func TestLateEvacuationDatagrams(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	a.members.update(&peerpb.Member{Instance: "p", Incarnation: 1, Address: "127.0.0.1:1"}, 0)
	for _, tt := range []struct {
		serial  uint64
		at      int64
		centres []string
		want    []string
	}{
		{2, 6, []string{"a"}, []string{"a"}},
		{1, 5, nil, []string{"a"}},
		{2, 9, nil, []string{"a"}}, // a repeated serial
		{3, 7, nil, nil},
		{4, 6, []string{"a"}, nil}, // of an instance that knows less
		{5, -1, []string{"a"}, nil},
		{6, 8, make([]string, maxCentres+1), nil},
	} {
		a.receiveLoad(&peerpb.Load{Instance: "p", Incarnation: 1, Serial: tt.serial, Evacuation: &peerpb.Evacuation{Position: tt.at, Centres: tt.centres}})
		is.Equal(a.store.Evacuation().Centres, tt.want)
	}
	a.store.set(func(s *fakeStore) {
		s.evacuation = Evacuation{Position: 9, Kept: []string{"a"}, KeptFor: 3900 * time.Millisecond}
	})
	first := a.evacuation()
	a.store.set(func(s *fakeStore) { s.evacuation.KeptFor = 3100 * time.Millisecond })
	is.True(proto.Equal(first, a.evacuation()))
	is.Equal(first.GetKeptMs(), int64(4000)) // rounded up, so that it does not end early
}
