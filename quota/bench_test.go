package quota

import (
	"context"
	"testing"

	"wasabidock.dev/dock/limit"
)

// BenchmarkRenew renews the leases of one group at 60 lessors over the network. It measures the
// work of the holder and of all lessors together.
func BenchmarkRenew(b *testing.B) {
	ctx := context.Background()
	w := newCluster(b, 60)
	for range 5 {
		w.renew(ctx)
	}
	holder := w.service(limit.RankHolders(limit.GroupOf("sur"), w.instances)[0])
	b.ReportAllocs()
	for b.Loop() {
		holder.renew(ctx)
	}
}
