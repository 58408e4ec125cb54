package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
)

func TestJudgment(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	b := health.NewBook()
	is.True(b.Usable("s", 0)) // nothing is known
	b.Failed("s", health.Bad, 0)
	b.Failed("s", health.Bad, 0)
	is.True(b.Usable("s", 0)) // two failures are chance
	b.Failed("s", health.Bad, 0)
	is.True(!b.Usable("s", 900*ms))
	is.True(b.Usable("s", 1000*ms)) // one request tries it
	b.Chosen("s", 1000*ms)
	is.True(!b.Usable("s", 1001*ms)) // and no other one meanwhile
	b.Failed("s", health.Bad, 1100*ms)
	is.True(!b.Usable("s", 3000*ms)) // the pause has doubled
	is.True(b.Usable("s", 3100*ms))
	b.Served("s", 1600*ms)
	is.True(b.Usable("s", 1600*ms))
	b.Failed("s", health.Silent, 2000*ms)
	is.True(!b.Usable("s", 2000*ms)) // it took no connection
}

func TestAnswersBetweenFailuresClearThem(t *testing.T) {
	is := is.New(t)
	b := health.NewBook()
	for range 10 {
		b.Failed("s", health.Bad, 0)
		b.Failed("s", health.Bad, 0)
		b.Served("s", 0)
	}
	is.True(b.Usable("s", 0))
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	b := health.NewBook()
	b.Failed("s", health.Silent, 0)
	b.Sweep(2 * time.Minute)
	is.True(b.Usable("s", 0)) // forgotten
}

// TestTold has others tell what they found of a server.
func TestTold(t *testing.T) {
	const ms = time.Millisecond
	s := route.Hash("s")
	absent, silent := health.Doubt{Server: s, Absent: true}, health.Doubt{Server: s}
	tests := []struct {
		name   string
		tell   func(b *health.Book)
		usable bool // 100 ms after the last
	}{
		{"nothing", func(*health.Book) {}, true},
		{"absent", func(b *health.Book) { b.Told(absent, "a", 2000*ms) }, false},
		{"absent, it has just answered", func(b *health.Book) {
			b.Served("s", 1900*ms)
			b.Told(absent, "a", 2000*ms)
		}, true},
		{"absent, it answered long ago", func(b *health.Book) {
			b.Served("s", 500*ms)
			b.Told(absent, "a", 2000*ms)
		}, false},
		{"silent to one", func(b *health.Book) {
			for i := range 5 {
				b.Told(silent, "a", time.Duration(1600+100*i)*ms)
			}
		}, true},
		{"silent to two", func(b *health.Book) {
			b.Told(silent, "a", 1900*ms)
			b.Told(silent, "b", 2000*ms)
		}, false},
		{"silent to two, not at once", func(b *health.Book) {
			b.Told(silent, "a", 500*ms)
			b.Told(silent, "b", 2000*ms)
		}, true},
		{"it answers afterwards", func(b *health.Book) {
			b.Told(absent, "a", 2000*ms)
			b.Served("s", 2050*ms)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := health.NewBook()
			tt.tell(b)
			is.Equal(b.Usable("s", 2100*ms), tt.usable)
			is.True(b.Usable("s", 3100*ms))     // what others tell lasts for a second
			is.Equal(len(b.Doubts(2100*ms)), 0) // and is not told on
		})
	}
}

// TestDoubts checks what is told to others: own findings, for a second.
func TestDoubts(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	b := health.NewBook()
	b.Failed("bad", health.Bad, 100*ms)
	is.Equal(len(b.Doubts(200*ms)), 0)
	b.Failed("gone", health.Absent, 100*ms)
	is.Equal(b.Doubts(1100*ms), []health.Doubt{{Server: route.Hash("gone"), Absent: true}})
	is.Equal(len(b.Doubts(1101*ms)), 0)
	b.Failed("dark", health.Silent, 2000*ms)
	is.Equal(b.Doubts(2000*ms), []health.Doubt{{Server: route.Hash("dark")}})
	b.Served("dark", 2100*ms)
	is.Equal(len(b.Doubts(2100*ms)), 0)
}

// TestClosed has servers that want no request, for a time or for good.
func TestClosed(t *testing.T) {
	const sec = time.Second
	rest := func(b *health.Book) { b.Rest("s", 5*sec, 1*sec) }
	leave := func(b *health.Book) { b.Leaves("s", 1*sec) }
	tests := []struct {
		name string
		do   []func(b *health.Book)
		at   time.Duration
		want time.Duration
	}{
		{name: "nothing is known", at: 1 * sec},
		{name: "for a time", do: []func(b *health.Book){rest}, at: 2 * sec, want: 5 * sec},
		{name: "the time is over", do: []func(b *health.Book){rest}, at: 5 * sec},
		{name: "an earlier request is answered", do: []func(b *health.Book){rest, func(b *health.Book) { b.Served("s", 2*sec) }}, at: 2 * sec, want: 5 * sec},
		{name: "a shorter time after a longer one", do: []func(b *health.Book){rest, func(b *health.Book) { b.Rest("s", 3*sec, 2*sec) }}, at: 4 * sec, want: 5 * sec},
		{name: "unused for long", do: []func(b *health.Book){func(b *health.Book) { b.Rest("s", 200*sec, 1*sec) }, func(b *health.Book) { b.Sweep(190 * sec) }}, at: 190 * sec, want: 200 * sec},
		{name: "leaves", do: []func(b *health.Book){leave}, at: 50 * sec, want: health.Left},
		{name: "leaves, and an earlier request is answered", do: []func(b *health.Book){leave, func(b *health.Book) { b.Served("s", 2*sec) }}, at: 50 * sec, want: health.Left},
		{name: "leaves, unused for minutes", do: []func(b *health.Book){leave, func(b *health.Book) { b.Sweep(300 * sec) }}, at: 300 * sec, want: health.Left},
		{name: "another has told that it leaves", do: []func(b *health.Book){func(b *health.Book) { b.ToldLeaves(route.Hash("s"), 1*sec) }}, at: 50 * sec, want: health.Left},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := health.NewBook()
			for _, do := range tt.do {
				do(b)
			}
			is.Equal(b.Closed("s", tt.at), tt.want)
			is.Equal(b.Closed("another", tt.at), time.Duration(0))
		})
	}
}

// TestLeavers has only own findings told on, and for a time.
func TestLeavers(t *testing.T) {
	is := is.New(t)
	b := health.NewBook()
	b.ToldLeaves(route.Hash("told"), time.Second)
	is.True(b.Leaves("s", time.Second))
	is.True(!b.Leaves("s", 2*time.Second))    // it is no news
	is.True(!b.Leaves("told", 2*time.Second)) // nor is this, which is an own finding now
	is.Equal(len(b.Leavers(3*time.Second)), 2)
	is.Equal(b.Leavers(7*time.Second), []uint64{route.Hash("told")})
	is.Equal(len(b.Leavers(time.Minute)), 0)
}
