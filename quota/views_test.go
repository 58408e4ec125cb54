package quota

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

// TestFloodWithInconsistentViews floods a fleet whose instances disagree about the home of a
// customer. It guards against use beyond the bound, and against much less use than the bound or the
// offered load permits.
func TestFloodWithInconsistentViews(t *testing.T) {
	const (
		fillTime  = 30 * time.Second // time until all buckets are full
		floodTime = 40 * time.Second
	)
	first := limit.RankHolders(limit.GroupOf("sur"), []ident.Instance{"a-1", "a-2", "a-3"})
	tests := []struct {
		name      string
		least     int64 // least use in hundredths of the smaller of bound and offered load
		wrongView func(f *fleet, at time.Duration)
	}{
		{"same view", 90, func(*fleet, time.Duration) {}},
		{"two homes", 90, func(f *fleet, _ time.Duration) {
			f.procs[first[1]].wrongView[first[0]] = true
		}},
		{"three homes", 90, func(f *fleet, _ time.Duration) {
			f.procs[first[1]].wrongView[first[0]] = true
			f.procs[first[2]].wrongView[first[0]] = true
			f.procs[first[2]].wrongView[first[1]] = true
		}},
		// A holder that an instance considers dead receives no loan requests from it.
		{"views that change each second", 80, func(f *fleet, at time.Duration) {
			i := int(at / time.Second)
			clear(f.procs[first[i%3]].wrongView)
			f.procs[first[i%3]].wrongView[first[(i+1)%3]] = true
		}},
		{"home isolated", 90, func(f *fleet, at time.Duration) {
			f.net.isolated[first[0]] = at > fillTime+10*time.Second
			f.procs[first[1]].wrongView[first[0]] = f.net.isolated[first[0]]
			f.procs[first[2]].wrongView[first[0]] = f.net.isolated[first[0]]
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(7, 1, 3, steady(4))
			f.net.noDelay = true
			var total, offered int64
			f.traffic = func(f *fleet) {
				if f.now < fillTime {
					return
				}
				for _, s := range f.instances {
					for range 3 {
						offered += 200
						if c, err := f.procs[s].svc.Admit(context.Background(), "r", "sur", 200); err == nil && c.Valid() {
							f.ledger.use(f.now, "sur", 200)
							total += 200
						}
					}
				}
			}
			for f.now < fillTime+floodTime {
				tt.wrongView(f, f.now)
				f.run(time.Second)
			}
			bound := int64(steadyRate * (4 + (f.now - fillTime).Seconds()))
			t.Logf("%d tokens used of %d offered, the bound is %d", total, offered, bound)
			is.Equal(f.ledger.violation(), "")
			is.True(total >= min(offered, bound)*tt.least/100)
		})
	}
}
