package permit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// BenchmarkDecide measures a decision of a home with 900 customers.
func BenchmarkDecide(b *testing.B) {
	i := NewIssuer("h", NewLimits())
	c := Claim{Report: Report{server, limited(1e6, 0, 0)}}
	now := time.Second
	names := make([]string, 900)
	for n := range names {
		names[n] = fmt.Sprint("customer", n)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		c.Customer = names[n%len(names)]
		now += time.Microsecond
		i.Decide(c, 1, now)
	}
}

// BenchmarkAcquireUnlimited measures what each call to a server without a limit pays.
func BenchmarkAcquireUnlimited(b *testing.B) {
	g := NewGate(NewLimits(), tick.SinceBoot)
	g.Record(&route.Server{ID: "other"}, 2.5, true, time.Millisecond)
	s := route.NewFleet(1, []*route.Server{{ID: "s"}}).All()[0]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Acquire(context.Background(), s, Caller{}); err != nil {
			b.Fatal(err)
		}
		g.Record(s, 0, false, time.Millisecond)
	}
}
