package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/roster"
)

func entry(name ident.Instance, incarnation uint64, s roster.State, age time.Duration) roster.Entry {
	return roster.Entry{
		Node:    ident.Node{Instance: name, Incarnation: incarnation},
		Address: "10.0.0.1:1", Centre: "a", State: s, Age: age,
	}
}

func newRoster() *roster.Roster {
	r := roster.New(roster.Config{
		Self: ident.Node{Instance: "self", Incarnation: 9}, Address: "10.0.0.9:1", Centre: "a",
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	r.SetState(roster.Ready)
	return r
}

const at = time.Minute

func TestLive(t *testing.T) {
	tests := []struct {
		name string
		do   func(*roster.Roster)
		want int // live instances besides the own one
	}{
		{"listed only", func(r *roster.Roster) {
			r.List([]roster.Listed{{Instance: "x", Address: "10.0.0.1:1", Centre: "a"}}, at)
		}, 0},
		{"heard", func(r *roster.Roster) { _ = r.Hear(entry("x", 1, roster.Ready, 0), at) }, 1},
		{"heard of", func(r *roster.Roster) { r.Merge([]roster.Entry{entry("x", 1, roster.Ready, time.Second)}, at) }, 1},
		{"starting", func(r *roster.Roster) { _ = r.Hear(entry("x", 1, roster.Starting, 0), at) }, 0},
		{"one failure", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Failed("x", at+time.Second)
			r.Failed("x", at+time.Second)
		}, 1},
		{"two failures", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Failed("x", at+time.Second)
			r.Failed("x", at+2*time.Second)
		}, 0},
		{"heard after the failures", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Failed("x", at+time.Second)
			r.Failed("x", at+2*time.Second)
			r.Merge([]roster.Entry{entry("x", 1, roster.Ready, time.Second)}, at+6*time.Second)
		}, 1},
		{"heard before the failures", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Failed("x", at+3*time.Second)
			r.Failed("x", at+4*time.Second)
			r.Merge([]roster.Entry{entry("x", 1, roster.Ready, 4*time.Second)}, at+6*time.Second)
		}, 0},
		{"lost to others that heard it as late", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Merge([]roster.Entry{entry("x", 1, roster.Lost, 6*time.Second)}, at+6*time.Second)
		}, 0},
		{"lost to others that heard it earlier", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.Merge([]roster.Entry{entry("x", 1, roster.Lost, 9*time.Second)}, at+6*time.Second)
		}, 1},
		{"listed as departing", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.List([]roster.Listed{{Instance: "x", Address: "10.0.0.1:1", Centre: "a", Departing: true}}, at)
		}, 0},
		{"predecessor listed as departing", func(r *roster.Roster) {
			_ = r.Hear(entry("x", 1, roster.Ready, 0), at)
			r.List([]roster.Listed{{Instance: "x", Address: "10.0.0.2:1", Centre: "a", Departing: true}}, at)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster()
			tt.do(r)
			if got := len(r.Live("a")) - 1; got != tt.want {
				t.Errorf("live besides the own node: %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSuperseded(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	is.NoErr(r.Hear(entry("x", 1, roster.Ready, 0), at))
	is.NoErr(r.Hear(entry("x", 2, roster.Ready, 0), at+time.Second))
	is.True(errors.Is(r.Hear(entry("x", 1, roster.Ready, 0), at+2*time.Second), roster.ErrSuperseded))
	is.True(r.Superseded(ident.Node{Instance: "x", Incarnation: 1}))
	is.True(!r.Superseded(ident.Node{Instance: "x", Incarnation: 2}))

	// What others say of an earlier life makes that life the old one.
	r.Merge([]roster.Entry{entry("x", 3, roster.Ready, 20*time.Second)}, at+2*time.Second)
	is.True(r.Superseded(ident.Node{Instance: "x", Incarnation: 3}))
	n, ok := r.Node("x")
	is.True(ok)
	is.Equal(n.Incarnation, uint64(2))
}

func TestDepartingServers(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.MergeServers([]roster.Gone{{Server: "p1", Age: 2 * time.Second}}, at)
	is.True(r.Departing("p1"))
	is.Equal(len(r.ServerNews(at)), 1)
	r.ListServers(nil, at+time.Second) // the list lags
	is.True(r.Departing("p1"))
	r.ListServers(nil, at+2*time.Minute)
	is.True(!r.Departing("p1"))
	r.MergeServers([]roster.Gone{{Server: "p1", Age: 50 * time.Second}}, at+2*time.Minute)
	is.True(!r.Departing("p1")) // older than the end of the departure
}

func TestNewsIsBounded(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	for i := range 360 {
		_ = r.Hear(entry(ident.Instance("x"+string(rune('a'+i%26))+string(rune('a'+i/26))), 1, roster.Ready, 0), at)
	}
	is.Equal(len(r.News("a", false, at)), 4)
	for range 2200 {
		r.News("a", false, at)
	}
	is.Equal(len(r.News("a", false, at)), 1)
	is.Equal(len(r.News("a", true, at)), 64)
}
