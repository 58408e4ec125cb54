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
	b := health.NewTracker()
	is.True(b.Usable("s", 0)) // nothing is known
	b.RecordFailure("s", health.BadResponse, 0)
	b.RecordFailure("s", health.BadResponse, 0)
	is.True(b.Usable("s", 0)) // two failures are chance
	b.RecordFailure("s", health.BadResponse, 0)
	is.True(!b.Usable("s", 900*ms))
	is.True(b.Usable("s", 1000*ms)) // one request tries it
	b.RecordRequest("s", 1000*ms)
	is.True(!b.Usable("s", 1001*ms)) // and no other one meanwhile
	b.RecordFailure("s", health.BadResponse, 1100*ms)
	is.True(!b.Usable("s", 3000*ms)) // the pause has doubled
	is.True(b.Usable("s", 3100*ms))
	b.RecordSuccess("s", 1600*ms)
	is.True(b.Usable("s", 1600*ms))
	b.RecordFailure("s", health.ConnectTimeout, 2000*ms)
	is.True(!b.Usable("s", 2000*ms)) // it took no connection
}

func TestAnswersBetweenFailuresClearThem(t *testing.T) {
	is := is.New(t)
	b := health.NewTracker()
	for range 10 {
		b.RecordFailure("s", health.BadResponse, 0)
		b.RecordFailure("s", health.BadResponse, 0)
		b.RecordSuccess("s", 0)
	}
	is.True(b.Usable("s", 0))
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	b := health.NewTracker()
	b.RecordFailure("s", health.ConnectTimeout, 0)
	b.Sweep(2 * time.Minute)
	is.True(b.Usable("s", 0)) // forgotten
}

// TestTold has others tell what they found of a server.
func TestTold(t *testing.T) {
	const ms = time.Millisecond
	s := route.Hash("s")
	absent, silent := health.Report{Server: s, Absent: true}, health.Report{Server: s}
	tests := []struct {
		name   string
		tell   func(b *health.Tracker)
		usable bool // 100 ms after the last
	}{
		{"nothing", func(*health.Tracker) {}, true},
		{"absent", func(b *health.Tracker) { b.RecordPeerReport(absent, "a", 2000*ms) }, false},
		{"absent, it has just answered", func(b *health.Tracker) {
			b.RecordSuccess("s", 1900*ms)
			b.RecordPeerReport(absent, "a", 2000*ms)
		}, true},
		{"absent, it answered long ago", func(b *health.Tracker) {
			b.RecordSuccess("s", 500*ms)
			b.RecordPeerReport(absent, "a", 2000*ms)
		}, false},
		{"silent to one", func(b *health.Tracker) {
			for i := range 5 {
				b.RecordPeerReport(silent, "a", time.Duration(1600+100*i)*ms)
			}
		}, true},
		{"silent to two", func(b *health.Tracker) {
			b.RecordPeerReport(silent, "a", 1900*ms)
			b.RecordPeerReport(silent, "b", 2000*ms)
		}, false},
		{"silent to two, not at once", func(b *health.Tracker) {
			b.RecordPeerReport(silent, "a", 500*ms)
			b.RecordPeerReport(silent, "b", 2000*ms)
		}, true},
		{"it answers afterwards", func(b *health.Tracker) {
			b.RecordPeerReport(absent, "a", 2000*ms)
			b.RecordSuccess("s", 2050*ms)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := health.NewTracker()
			tt.tell(b)
			is.Equal(b.Usable("s", 2100*ms), tt.usable)
			is.True(b.Usable("s", 3100*ms))      // what others tell lasts for a second
			is.Equal(len(b.Reports(2100*ms)), 0) // and is not told on
		})
	}
}

// TestDoubts checks what is told to others: own findings, for a second.
func TestDoubts(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	b := health.NewTracker()
	b.RecordFailure("bad", health.BadResponse, 100*ms)
	is.Equal(len(b.Reports(200*ms)), 0)
	b.RecordFailure("gone", health.Absent, 100*ms)
	is.Equal(b.Reports(1100*ms), []health.Report{{Server: route.Hash("gone"), Absent: true}})
	is.Equal(len(b.Reports(1101*ms)), 0)
	b.RecordFailure("dark", health.ConnectTimeout, 2000*ms)
	is.Equal(b.Reports(2000*ms), []health.Report{{Server: route.Hash("dark")}})
	b.RecordSuccess("dark", 2100*ms)
	is.Equal(len(b.Reports(2100*ms)), 0)
}

// TestClosed has servers that want no request, for a time or for good.
func TestClosed(t *testing.T) {
	const sec = time.Second
	rest := func(b *health.Tracker) { b.Pause("s", 5*sec, 1*sec) }
	leave := func(b *health.Tracker) { b.RecordDraining("s", 1*sec) }
	tests := []struct {
		name string
		do   []func(b *health.Tracker)
		at   time.Duration
		want time.Duration
	}{
		{name: "nothing is known", at: 1 * sec},
		{name: "for a time", do: []func(b *health.Tracker){rest}, at: 2 * sec, want: 5 * sec},
		{name: "the time is over", do: []func(b *health.Tracker){rest}, at: 5 * sec},
		{name: "an earlier request is answered", do: []func(b *health.Tracker){rest, func(b *health.Tracker) { b.RecordSuccess("s", 2*sec) }}, at: 2 * sec, want: 5 * sec},
		{name: "a shorter time after a longer one", do: []func(b *health.Tracker){rest, func(b *health.Tracker) { b.Pause("s", 3*sec, 2*sec) }}, at: 4 * sec, want: 5 * sec},
		{name: "unused for long", do: []func(b *health.Tracker){func(b *health.Tracker) { b.Pause("s", 200*sec, 1*sec) }, func(b *health.Tracker) { b.Sweep(190 * sec) }}, at: 190 * sec, want: 200 * sec},
		{name: "leaves", do: []func(b *health.Tracker){leave}, at: 50 * sec, want: health.Forever},
		{name: "leaves, and an earlier request is answered", do: []func(b *health.Tracker){leave, func(b *health.Tracker) { b.RecordSuccess("s", 2*sec) }}, at: 50 * sec, want: health.Forever},
		{name: "leaves, unused for minutes", do: []func(b *health.Tracker){leave, func(b *health.Tracker) { b.Sweep(300 * sec) }}, at: 300 * sec, want: health.Forever},
		{name: "another has told that it leaves", do: []func(b *health.Tracker){func(b *health.Tracker) { b.RecordPeerDraining(route.Hash("s"), 1*sec) }}, at: 50 * sec, want: health.Forever},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := health.NewTracker()
			for _, do := range tt.do {
				do(b)
			}
			is.Equal(b.ClosedUntil("s", tt.at), tt.want)
			is.Equal(b.ClosedUntil("another", tt.at), time.Duration(0))
		})
	}
}

// TestLeavers has only own findings told on, and for a time.
func TestLeavers(t *testing.T) {
	is := is.New(t)
	b := health.NewTracker()
	b.RecordPeerDraining(route.Hash("told"), time.Second)
	is.True(b.RecordDraining("s", time.Second))
	is.True(!b.RecordDraining("s", 2*time.Second))    // it is no news
	is.True(!b.RecordDraining("told", 2*time.Second)) // nor is this, which is an own finding now
	is.Equal(len(b.DrainingServers(3*time.Second)), 2)
	is.Equal(b.DrainingServers(7*time.Second), []uint64{route.Hash("told")})
	is.Equal(len(b.DrainingServers(time.Minute)), 0)
}
