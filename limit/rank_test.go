package limit_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

// TestRankHolders guards against an instance missing from the order, against more homes than
// maxHomes, and against groups that move to any other instance than the next when their home fails.
func TestRankHolders(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		homes     int // largest number of different homes of all groups
	}{
		{"none", 0, 0},
		{"one", 1, 1},
		{"three", 3, 3},
		{"fifteen", 15, 4},
		{"sixty", 60, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var live []ident.Instance
			for i := range tt.instances {
				live = append(live, ident.Instance("a-"+strconv.Itoa(i)))
			}
			homes := make(map[ident.Instance]bool)
			for g := range uint32(limit.GroupCount) {
				ranked := limit.RankHolders(g, live)
				sorted := slices.Clone(ranked)
				slices.Sort(sorted)
				want := slices.Clone(live)
				slices.Sort(want)
				is.True(slices.Equal(sorted, want)) // every instance is ranked once
				if len(ranked) > 0 {
					homes[ranked[0]] = true
				}
				// Without its home, a group moves to the instance that was ranked second.
				if len(ranked) > 1 && len(ranked) <= 4 {
					is.Equal(limit.RankHolders(g, slices.DeleteFunc(slices.Clone(live), func(i ident.Instance) bool { return i == ranked[0] }))[0], ranked[1])
				}
			}
			is.True(len(homes) <= tt.homes)
			if tt.instances > 0 {
				is.True(len(homes) > 0)
			}
		})
	}
}
