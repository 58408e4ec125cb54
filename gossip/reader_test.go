package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/peerpb"
)

// TestStateCrossesRegionsOncePerDataCentre guards against all instances of a region requesting a new configuration over
// the link between the regions, which delays it for all of them.
func TestStateCrossesRegionsOncePerDataCentre(t *testing.T) {
	tests := []struct {
		name   string
		region string // of the instance that has newer state
		reader bool   // another instance of the data centre proves that it reads the store
		late   bool   // the state has been known for long
		want   int    // requests
	}{
		{name: "same region", region: "r", reader: true, want: 1},
		{name: "other region, another instance reads", region: "r2", reader: true, want: 0},
		{name: "other region, this instance reads", region: "r2", want: 1},
		{name: "other region, not received in time", region: "r2", reader: true, late: true, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHomeHarness()
			newer := &peerpb.Load{Instance: "b1", Incarnation: 1, Table: 9, TableVersion: 9}
			receive := func() {
				now := h.clock.Now()
				h.members.update(&peerpb.Member{Instance: "b1", Incarnation: 1, Address: "127.0.0.1:3", Centre: "b", Region: tt.region}, now)
				newer.Serial++
				h.receiveLoad(newer)
			}
			reads := func(l *peerpb.Load) {
				if tt.reader {
					l.ReadAgeMs = proto.Int64(100)
				}
			}
			h.hear("a0", 1, reads)
			h.WatchesStore()
			h.clock.Advance(300 * time.Millisecond) // the turn of the second instance
			if tt.late {
				receive()
				h.clock.Advance(time.Second)
				h.hear("a0", 2, reads)
			}
			receive()
			is.Equal(len(h.pull), tt.want)
		})
	}
}
