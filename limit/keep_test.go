package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

// TestKeepOnly guards against grants from the share of a lessor whose leases the holder has handed
// over. After KeepOnly, only the leases of the lessor that it names count, even if a late response
// grants a lease of another lessor.
func TestKeepOnly(t *testing.T) {
	group := limit.GroupOf(sur)
	tests := []struct {
		name   string
		before []ident.Instance // lessors that lease a quarter each before KeepOnly
		after  []ident.Instance // lessors whose responses arrive after KeepOnly
		want   int64            // leased share afterwards
		leased int              // number of groups that had a lease
	}{
		{"nothing leased", nil, nil, 0, 0},
		{"lease of the local lessor only", []ident.Instance{"a"}, nil, million / 4, 1},
		{"leases of others end", []ident.Instance{"a", "b", "c"}, nil, million / 4, 1},
		{"no lease of the local lessor", []ident.Instance{"b", "c"}, nil, 0, 1},
		{"late response of another lessor", []ident.Instance{"a"}, []ident.Instance{"b"}, million / 4, 1},
		{"local lessor leases later", []ident.Instance{"b"}, []ident.Instance{"a"}, million / 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := limit.NewHolder(limit.HolderConfig{})
			h.SetLimits(0, []limit.Customer{{Name: sur, Limits: limit.Limits{Rate: 1000, Burst: 4000}}})
			for _, lessor := range tt.before {
				h.RecordLease(0, 0, lessor, []uint32{group}, million/4, leaseTTL)
			}
			is.Equal(len(h.KeepOnly(time.Millisecond, "a")), tt.leased)
			for _, lessor := range tt.after {
				h.RecordLease(2*time.Millisecond, 0, lessor, []uint32{group}, million/4, leaseTTL)
			}
			is.Equal(h.Share(3*time.Millisecond, group), tt.want)
			is.Equal(h.Share(leaseTTL, group), int64(0)) // the kept lease expires like any other
		})
	}
}
