package intent_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
)

const keep = time.Minute

var seats = []intent.Member{
	{Instance: "a1", Centre: "a"}, {Instance: "a2", Centre: "a"}, {Instance: "a3", Centre: "a"},
	{Instance: "b1", Centre: "b"}, {Instance: "c1", Centre: "c"},
}

func ExampleHome() {
	id := intent.NewID("sur", "confirm", "pupil-7")
	home, ok := intent.Home(seats, "a", id)
	fmt.Println(home, ok, intent.Backups(seats, home))
	// Output: a3 true [a1 a2]
}

func TestBuddies(t *testing.T) {
	tests := []struct {
		name  string
		seats []intent.Member
		owner ident.Instance
		want  []ident.Instance
	}{
		{"next two", seats, "a1", []ident.Instance{"a2", "a3"}},
		{"around the end", seats, "a3", []ident.Instance{"a1", "a2"}},
		{"alone in its data centre", seats, "b1", []ident.Instance{"c1", "a1"}},
		{"two seats", seats[:2], "a1", []ident.Instance{"a2"}},
		{"one seat", seats[:1], "a1", []ident.Instance{}},
		{"not a seat", seats, "x", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := intent.Backups(tt.seats, tt.owner); !slices.Equal(got, tt.want) {
				t.Errorf("Buddies(%s) = %v, want %v", tt.owner, got, tt.want)
			}
		})
	}
}

func TestStanding(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	first, second := ident.Node{Instance: "a1", Incarnation: 9}, ident.Node{Instance: "a1", Incarnation: 3}
	apply := func(n ident.Node) intent.ProcessState {
		s, _ := c.Apply(0, n, nil)
		return s
	}
	is.Equal(apply(first), intent.Unregistered)
	s, known := c.Register(first)
	is.Equal(s, intent.Current)
	is.True(!known)
	_, known = c.Register(first)
	is.True(known)
	s, _ = c.Register(second) // the one that is met last for the first time
	is.Equal(s, intent.Current)
	is.Equal(apply(first), intent.Superseded)
	s, _ = c.Register(first) // does not come back
	is.Equal(s, intent.Superseded)
	is.Equal(apply(second), intent.Current)
	c.MarkComplete(first, 0)
	_, sure := c.CompleteFor(keep, "a1")
	is.True(!sure) // a superseded process says nothing about the journal
	c.MarkComplete(second, 0)
	d, sure := c.CompleteFor(keep, "a1")
	is.True(sure)
	is.Equal(d, keep)
}

// TestLapse has a buddy that was none for a while take copies again only after
// its owner has met it, and never from an earlier process of the seat.
func TestLapse(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	first, second := ident.Node{Instance: "a1", Incarnation: 9}, ident.Node{Instance: "a1", Incarnation: 3}
	c.Register(first)
	c.Register(second)
	c.MarkComplete(second, 0)
	is.Equal(c.Owners(), []ident.Instance{"a1"})
	c.Invalidate("a1")
	_, sure := c.CompleteFor(keep, "a1")
	is.True(!sure)
	s, _ := c.Apply(0, second, nil)
	is.Equal(s, intent.Unregistered)
	c.MarkComplete(second, 0)
	_, sure = c.CompleteFor(keep, "a1")
	is.True(!sure) // not before they have met again
	s, _ = c.Apply(0, first, nil)
	is.Equal(s, intent.Superseded)
	s, known := c.Register(second)
	is.Equal(s, intent.Current)
	is.True(known)
	s, _ = c.Apply(0, second, nil)
	is.Equal(s, intent.Current)
}

// TestCopiesInAnyOrder applies the copies of one key's life in other orders.
func TestCopiesInAnyOrder(t *testing.T) {
	id := intent.NewID("sur", "confirm", "k")
	other := intent.NewID("sur", "confirm", "l")
	open := func(serial uint64) intent.Entry { return intent.Entry{ID: id, TTL: keep, Serial: serial} }
	drop := func(serial uint64) intent.Entry {
		return intent.Entry{ID: id, TTL: keep, Serial: serial, Dropped: true}
	}
	end := func(serial uint64) intent.Entry {
		return intent.Entry{ID: id, TTL: keep, Serial: serial, Response: &intent.Response{Status: 201}}
	}
	tests := []struct {
		name string
		in   []intent.Entry
		want int // entries held
		done bool
	}{
		{"in order", []intent.Entry{open(1), end(2)}, 1, true},
		{"answer first", []intent.Entry{end(2), open(1)}, 1, true},
		{"dropped", []intent.Entry{open(1), drop(2)}, 0, false},
		{"late drop of an earlier try", []intent.Entry{open(1), open(3), drop(2)}, 1, false},
		{"late drop of an answered call", []intent.Entry{open(3), end(4), drop(2)}, 1, true},
		{"opened late", []intent.Entry{drop(2), open(1)}, 1, false},
		{"another key", []intent.Entry{{ID: other, TTL: keep, Serial: 1}}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
			n := ident.Node{Instance: "a1", Incarnation: 1}
			c.Register(n)
			for _, e := range tt.in {
				_, room := c.Apply(0, n, []intent.Entry{e})
				is.True(room)
			}
			var got []intent.Entry
			for _, e := range c.ShardEntries(0, "a1", int(id[0]%intent.Shards)) {
				if e.ID == id {
					got = append(got, e)
				}
			}
			is.Equal(len(got), tt.want)
			if len(got) > 0 {
				is.Equal(got[0].Response != nil, tt.done)
			}
		})
	}
}

func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	n := ident.Node{Instance: "a1", Incarnation: 1}
	c.Register(n)
	add := func(now time.Duration, key string) bool {
		e := intent.Entry{ID: intent.NewID("sur", "confirm", key), FirstSeen: now, TTL: keep, Serial: 1}
		_, room := c.Apply(now, n, []intent.Entry{e})
		return room
	}
	is.True(add(0, "a"))
	is.True(add(0, "b"))
	is.True(!add(0, "c")) // full: not acknowledged, and nothing forgotten early
	is.True(add(keep, "c"))
}
