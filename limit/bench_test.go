package limit_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

// customersInGroups returns one customer in each of the first n groups.
func customersInGroups(n int) []limit.Customer {
	customers := make([]limit.Customer, n)
	for i, found := 0, 0; found < n; i++ {
		name := ident.Customer(fmt.Sprintf("c%d", i))
		if g := limit.GroupOf(name); int(g) < n && customers[g].Name == "" {
			customers[g] = limit.Customer{Name: name, Limits: limit.Limits{Rate: limit.MaxRate, Burst: limit.MaxBurst}}
			found++
		}
	}
	return customers
}

// BenchmarkCharge charges and settles one token. The name states over how many groups (shards) the
// customers are spread.
func BenchmarkCharge(b *testing.B) {
	for _, shards := range []int{1, 10} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			customers := customersInGroups(shards)
			h := limit.NewHolder(limit.HolderConfig{})
			h.SetLimits(0, customers)
			for _, c := range customers {
				h.RecordLease(0, 0, "a", []uint32{limit.GroupOf(c.Name)}, limit.FullShare, 10*time.Hour)
			}
			var clock, next atomic.Int64
			clock.Store(int64(time.Hour))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				c := customers[int(next.Add(1))%shards].Name
				for pb.Next() {
					now := tick.Instant(clock.Add(int64(time.Microsecond)))
					g, _ := h.Charge(now, c, 1, false)
					h.Settle(now, c, g.Serial, 0)
				}
			})
		})
	}
}

// BenchmarkSetLimits sets the limits of 5,300 customers at a new holder. The bytes allocated are
// the memory of their buckets.
func BenchmarkSetLimits(b *testing.B) {
	customers := make([]limit.Customer, 5300)
	for i := range customers {
		customers[i] = limit.Customer{Name: ident.Customer(fmt.Sprintf("customer-%d", i)), Limits: limit.Limits{Rate: 1000, Burst: 10_000}}
	}
	b.ReportAllocs()
	for b.Loop() {
		limit.NewHolder(limit.HolderConfig{}).SetLimits(0, customers)
	}
}
