package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/roster"
)

func TestEverywhere(t *testing.T) {
	heard := func(name string, incarnation, revision uint64) roster.Entry {
		return roster.Entry{
			Node:     ident.Node{Instance: ident.Instance(name), Incarnation: incarnation},
			Address:  name + ":1",
			Centre:   "x",
			State:    roster.Ready,
			Revision: revision,
		}
	}
	tests := []struct {
		name  string
		own   uint64
		heard []roster.Entry
		want  bool
	}{
		{"all have it", 7, []roster.Entry{heard("b", 1, 7), heard("c", 1, 8)}, true},
		{"own node is behind", 6, []roster.Entry{heard("b", 1, 7), heard("c", 1, 7)}, false},
		{"one seat is behind", 7, []roster.Entry{heard("b", 1, 6), heard("c", 1, 7)}, false},
		{"one seat was never met", 7, []roster.Entry{heard("b", 1, 7)}, false},
		{"a new process has none yet", 7, []roster.Entry{heard("b", 1, 7), heard("c", 1, 7), heard("c", 2, 0)}, false},
		{"a process without a seat is behind", 7, []roster.Entry{heard("b", 1, 7), heard("c", 1, 7), heard("gone", 1, 6)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{
				Self:   ident.Node{Instance: "a", Incarnation: 1},
				Centre: "x",
				Random: rand.New(rand.NewPCG(1, 1)),
			})
			r.SetRevision(tt.own)
			for i, e := range tt.heard {
				is.NoErr(r.Hear(e, time.Duration(i)*time.Second))
			}
			is.Equal(r.Everywhere([]ident.Instance{"a", "b", "c"}, 7), tt.want)
		})
	}
}
