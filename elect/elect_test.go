package elect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/route"
)

func TestReads(t *testing.T) {
	const now = time.Minute
	limits := Timeouts{Report: 700 * time.Millisecond, Read: 2 * time.Second}
	fresh := now - 100*time.Millisecond
	proven := Peer{Name: "b", Reported: fresh, Read: now - time.Second}
	with := func(change func(p *Peer)) []Peer {
		p := proven
		change(&p)
		return []Peer{p}
	}
	tests := []struct {
		name   string
		peers  []Peer
		since  time.Duration // since a peer last proved that it reads
		newer  State         // state of a peer
		wanted time.Duration // since newer is known, 0 if it is not
		want   bool
	}{
		{name: "alone", want: true},
		{name: "a peer reads", peers: []Peer{proven}, since: time.Hour},
		{name: "only a later one reads", peers: with(func(p *Peer) { p.Name = "d" }), want: true},
		{name: "not heard", peers: with(func(p *Peer) { p.Reported = now - time.Second }), since: time.Second, want: true},
		{name: "leaving", peers: with(func(p *Peer) { p.Leaving = true }), since: time.Second, want: true},
		{name: "failed", peers: with(func(p *Peer) { p.Failed = true }), since: time.Second, want: true},
		{name: "failed, another reads", peers: []Peer{{Name: "a", Reported: fresh, Failed: true}, proven}, since: time.Second},
		{name: "no failure noticed, but no answer of late", peers: with(func(p *Peer) { p.Read = now - 3*time.Second }), since: time.Second, want: true},
		{name: "has never read", peers: with(func(p *Peer) { p.Read = 0 }), since: time.Second, want: true},
		{name: "turn of the one before", peers: with(func(p *Peer) { p.Read = 0 }), since: turn - 1},
		{name: "own turn", peers: with(func(p *Peer) { p.Read = 0 }), since: turn, want: true},
		{name: "newer configuration, just known", peers: []Peer{proven}, newer: State{Table: route.Stamp{Version: 2, Position: 20}}, wanted: fetchTimeout},
		{
			name: "newer configuration, not received", peers: []Peer{proven}, newer: State{Table: route.Stamp{Version: 2, Position: 20}},
			wanted: fetchTimeout + fetchTurn + 1, want: true,
		},
		{name: "newer server list, not received", peers: []Peer{proven}, newer: State{Fleet: 20}, wanted: fetchTimeout + fetchTurn + 1, want: true},
		{name: "older state", peers: []Peer{proven}, newer: State{Fleet: 12}, wanted: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			own := State{Table: route.Stamp{Version: 1, Position: 10}, Fleet: 12}
			e := New("c")
			is.Equal(e.Reads([]Peer{{Name: "a", Reported: now - tt.since, Read: now - tt.since}}, own, limits, now-tt.since), false)
			if tt.wanted > 0 {
				e.Want(tt.newer, now-tt.wanted)
				e.Want(State{Table: route.Stamp{Version: 3, Position: 30}}, now)
			}
			is.Equal(e.Reads(tt.peers, own, limits, now), tt.want)
			is.Equal(e.Reads([]Peer{proven}, State{Table: route.Stamp{Version: 2, Position: 20}, Fleet: 20}, limits, now), false)
		})
	}
}

// TestReadersDoubleOnceNobodyReads guards against instances that wait for the failures of those before them, and against
// all instances of a data centre reading the store at once.
func TestReadersDoubleOnceNobodyReads(t *testing.T) {
	const (
		now       = time.Minute
		instances = 60
	)
	is := is.New(t)
	limits := Timeouts{Report: time.Minute, Read: time.Second}
	var peers []Peer
	var fleet []*Election
	for i := range instances {
		name := fmt.Sprintf("%02d", i)
		peers = append(peers, Peer{Name: name, Reported: now})
		fleet = append(fleet, New(name))
	}
	for i, want := range []int{1, 2, 4, 8, 16, 32, instances} {
		reading := 0
		for _, e := range fleet {
			e.Reads(peers, State{}, limits, now)
			if e.Reads(peers, State{}, limits, now+time.Duration(i)*turn) {
				reading++
			}
		}
		is.Equal(reading, want)
	}
}
