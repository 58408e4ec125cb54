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

const ttl = time.Minute

var members = []intent.Member{
	{Instance: "a1", Centre: "a"}, {Instance: "a2", Centre: "a"}, {Instance: "a3", Centre: "a"},
	{Instance: "b1", Centre: "b"}, {Instance: "c1", Centre: "c"},
}

func ExampleHome() {
	id := intent.NewID("sur", "confirm", "pupil-7")
	home, ok := intent.Home(members, "a", id)
	fmt.Println(home, ok, intent.Backups(members, home))
	// Output: a3 true [a1 a2]
}

func TestBackups(t *testing.T) {
	tests := []struct {
		name    string
		members []intent.Member
		owner   ident.Instance
		want    []ident.Instance
	}{
		{"next two", members, "a1", []ident.Instance{"a2", "a3"}},
		{"around the end", members, "a3", []ident.Instance{"a1", "a2"}},
		{"only member in its data centre", members, "b1", []ident.Instance{"c1", "a1"}},
		{"two members", members[:2], "a1", []ident.Instance{"a2"}},
		{"one member", members[:1], "a1", []ident.Instance{}},
		{"not a member", members, "x", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := intent.Backups(tt.members, tt.owner); !slices.Equal(got, tt.want) {
				t.Errorf("Backups(%s) = %v, want %v", tt.owner, got, tt.want)
			}
		})
	}
}

// TestProcessState guards against an earlier process of an instance changing the replica after a later
// one has registered. Incarnation numbers give no order: the last to register is current.
func TestProcessState(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	first, second := ident.Node{Instance: "a1", Incarnation: 9}, ident.Node{Instance: "a1", Incarnation: 3}
	apply := func(n ident.Node) intent.ProcessState {
		s, _ := c.Apply(0, n, nil)
		return s
	}
	is.Equal(apply(first), intent.Unregistered)
	s, wasCurrent := c.Register(first)
	is.Equal(s, intent.Current)
	is.True(!wasCurrent)
	_, wasCurrent = c.Register(first)
	is.True(wasCurrent)
	s, _ = c.Register(second) // the last process to register becomes the current one
	is.Equal(s, intent.Current)
	is.Equal(apply(first), intent.Superseded)
	s, _ = c.Register(first) // a superseded process does not become current again
	is.Equal(s, intent.Superseded)
	is.Equal(apply(second), intent.Current)
	c.MarkComplete(first, 0)
	_, complete := c.CompleteFor(ttl, "a1")
	is.True(!complete) // a superseded process cannot mark the replica complete
	c.MarkComplete(second, 0)
	d, complete := c.CompleteFor(ttl, "a1")
	is.True(complete)
	is.Equal(d, ttl)
}

// TestInvalidate guards against a backup accepting entries after it was not a backup for a while. It
// must accept them only after the owner has registered again, and never from an earlier process.
func TestInvalidate(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	first, second := ident.Node{Instance: "a1", Incarnation: 9}, ident.Node{Instance: "a1", Incarnation: 3}
	c.Register(first)
	c.Register(second)
	c.MarkComplete(second, 0)
	is.Equal(c.Owners(), []ident.Instance{"a1"})
	c.Invalidate("a1")
	_, complete := c.CompleteFor(ttl, "a1")
	is.True(!complete)
	s, _ := c.Apply(0, second, nil)
	is.Equal(s, intent.Unregistered)
	c.MarkComplete(second, 0)
	_, complete = c.CompleteFor(ttl, "a1")
	is.True(!complete) // not before the process has registered again
	s, _ = c.Apply(0, first, nil)
	is.Equal(s, intent.Superseded)
	s, wasCurrent := c.Register(second)
	is.Equal(s, intent.Current)
	is.True(wasCurrent)
	s, _ = c.Apply(0, second, nil)
	is.Equal(s, intent.Current)
}

// TestApplyInAnyOrder guards against a late or reordered message replacing a newer entry of the same
// key by an older one.
func TestApplyInAnyOrder(t *testing.T) {
	id := intent.NewID("sur", "confirm", "k")
	other := intent.NewID("sur", "confirm", "l")
	open := func(serial uint64) intent.Entry { return intent.Entry{ID: id, TTL: ttl, Serial: serial} }
	drop := func(serial uint64) intent.Entry {
		return intent.Entry{ID: id, TTL: ttl, Serial: serial, Dropped: true}
	}
	end := func(serial uint64) intent.Entry {
		return intent.Entry{ID: id, TTL: ttl, Serial: serial, Response: &intent.Response{Status: 201}}
	}
	tests := []struct {
		name string
		in   []intent.Entry
		want int // entries held
		done bool
	}{
		{"in order", []intent.Entry{open(1), end(2)}, 1, true},
		{"response first", []intent.Entry{end(2), open(1)}, 1, true},
		{"dropped", []intent.Entry{open(1), drop(2)}, 0, false},
		{"late drop of an earlier attempt", []intent.Entry{open(1), open(3), drop(2)}, 1, false},
		{"late drop of a finished call", []intent.Entry{open(3), end(4), drop(2)}, 1, true},
		{"opened late", []intent.Entry{drop(2), open(1)}, 1, false},
		{"another key", []intent.Entry{{ID: other, TTL: ttl, Serial: 1}}, 0, false},
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

func TestReplicasAreBounded(t *testing.T) {
	is := is.New(t)
	c := intent.NewReplicas(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20})
	n := ident.Node{Instance: "a1", Incarnation: 1}
	c.Register(n)
	add := func(now time.Duration, key string) bool {
		e := intent.Entry{ID: intent.NewID("sur", "confirm", key), FirstSeen: now, TTL: ttl, Serial: 1}
		_, room := c.Apply(now, n, []intent.Entry{e})
		return room
	}
	is.True(add(0, "a"))
	is.True(add(0, "b"))
	is.True(!add(0, "c")) // full: reported as no room, and nothing is removed before it expires
	is.True(add(ttl, "c"))
}
