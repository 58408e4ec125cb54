package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

// TestKeep has a holder give up the leases of all seats but one: of the others
// nothing may be granted from then on, also when a late answer brings one.
func TestKeep(t *testing.T) {
	group := limit.GroupOf(sur)
	tests := []struct {
		name string
		from []ident.Instance // seats that lease a quarter each before
		late []ident.Instance // seats whose answers arrive after
		want int64            // share afterwards
		held int              // groups that had a lease
	}{
		{"nothing leased", nil, nil, 0, 0},
		{"own seat alone", []ident.Instance{"a"}, nil, million / 4, 1},
		{"others end", []ident.Instance{"a", "b", "c"}, nil, million / 4, 1},
		{"own seat not leased", []ident.Instance{"b", "c"}, nil, 0, 1},
		{"late answer of another", []ident.Instance{"a"}, []ident.Instance{"b"}, million / 4, 1},
		{"own seat renewed", []ident.Instance{"b"}, []ident.Instance{"a"}, million / 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := limit.NewHolder(limit.HolderConfig{})
			h.SetLimits(0, []limit.Customer{{Name: sur, Limits: limit.Limits{Rate: 1000, Burst: 4000}}})
			for _, seat := range tt.from {
				h.RecordLease(0, 0, seat, []uint32{group}, million/4, life)
			}
			is.Equal(len(h.KeepOnly(time.Millisecond, "a")), tt.held)
			for _, seat := range tt.late {
				h.RecordLease(2*time.Millisecond, 0, seat, []uint32{group}, million/4, life)
			}
			is.Equal(h.Share(3*time.Millisecond, group), tt.want)
			is.Equal(h.Share(life, group), int64(0)) // the kept lease ends like any other
		})
	}
}
