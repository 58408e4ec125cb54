package quota

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

// TestFloodUnderWrongViews floods a fleet whose instances disagree about who
// is home, and checks that the bound is kept and that it or what is offered is
// nearly reached.
func TestFloodUnderWrongViews(t *testing.T) {
	const (
		full  = 30 * time.Second // all buckets are full
		flood = 40 * time.Second
	)
	first := limit.RankHolders(limit.GroupOf("sur"), []ident.Instance{"a-1", "a-2", "a-3"})
	tests := []struct {
		name  string
		least int64 // hundredths that must be used of the bound or what is offered
		wrong func(f *fleet, at time.Duration)
	}{
		{"same view", 90, func(*fleet, time.Duration) {}},
		{"two homes", 90, func(f *fleet, _ time.Duration) {
			f.procs[first[1]].wrong[first[0]] = true
		}},
		{"three homes", 90, func(f *fleet, _ time.Duration) {
			f.procs[first[1]].wrong[first[0]] = true
			f.procs[first[2]].wrong[first[0]] = true
			f.procs[first[2]].wrong[first[1]] = true
		}},
		// A holder that is seen dead is not asked for loans.
		{"views that change each second", 80, func(f *fleet, at time.Duration) {
			i := int(at / time.Second)
			clear(f.procs[first[i%3]].wrong)
			f.procs[first[i%3]].wrong[first[(i+1)%3]] = true
		}},
		{"home cut off alone", 90, func(f *fleet, at time.Duration) {
			f.net.alone[first[0]] = at > full+10*time.Second
			f.procs[first[1]].wrong[first[0]] = f.net.alone[first[0]]
			f.procs[first[2]].wrong[first[0]] = f.net.alone[first[0]]
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(7, 1, 3, steady(4))
			f.net.quick = true
			var total, offered int64
			f.traffic = func(f *fleet) {
				if f.now < full {
					return
				}
				for _, s := range f.seats {
					for range 3 {
						offered += 200
						if c, err := f.procs[s].svc.Admit(context.Background(), "r", "sur", 200); err == nil && c.Valid() {
							f.ledger.use(f.now, "sur", 200)
							total += 200
						}
					}
				}
			}
			for f.now < full+flood {
				tt.wrong(f, f.now)
				f.run(time.Second)
			}
			bound := int64(steadyRate * (4 + (f.now - full).Seconds()))
			t.Logf("%d tokens used of %d offered, the bound is %d", total, offered, bound)
			is.Equal(f.ledger.violation(), "")
			is.True(total >= min(offered, bound)*tt.least/100)
		})
	}
}
