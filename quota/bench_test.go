package quota

import (
	"context"
	"testing"

	"wasabidock.dev/dock/limit"
)

// BenchmarkRenew renews the leases of one group at 60 seats over the wire. It
// counts the work of the holder and of all seats.
func BenchmarkRenew(b *testing.B) {
	ctx := context.Background()
	w := newWire(b, 60)
	for range 5 {
		w.renew(ctx)
	}
	holder := w.service(limit.RankHolders(limit.GroupOf("sur"), w.seats)[0])
	b.ReportAllocs()
	for b.Loop() {
		holder.renew(ctx)
	}
}
