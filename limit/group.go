package limit

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
)

const (
	// GroupCount is the number of groups of customers. A seat leases its share
	// group by group.
	GroupCount = 16
	// FullShare is the sum of the shares of all seats, in parts per million.
	FullShare = 1_000_000
	// GrantTTL is the time from before the ask within which a grant must be
	// used.
	GrantTTL = time.Second

	linkPrefix = "link:"
)

// Limits are the rate and the burst of a customer.
type Limits struct {
	Rate  int64 // tokens per second
	Burst int64 // tokens
}

// Customer is a customer with its terms.
type Customer struct {
	Name ident.Customer
	Limits
}

// LinkCustomer returns the name under which the traffic over the paid link from one
// region to another is limited, in bytes in place of tokens.
func LinkCustomer(from, to ident.Region) ident.Customer {
	return ident.Customer(linkPrefix + string(from) + ":" + string(to))
}

// GroupOf returns the group of a customer.
func GroupOf(c ident.Customer) uint32 {
	return uint32(xxhash.Sum64String(string(c)) % GroupCount)
}

// maxHomes is the number of instances of a data centre among which the groups
// are spread. Each home renews a lease at every seat, so the messages of a data
// centre grow with homes times seats.
const maxHomes = 4

// RankHolders returns the instances in the order in which they are to hold a group:
// the first is its home, the others stand in when those before them fail. All
// groups have their homes among the same few instances.
func RankHolders(group uint32, live []ident.Instance) []ident.Instance {
	homes := byScore("homes/", live)
	n := min(maxHomes, len(homes))
	prefix := strconv.FormatUint(uint64(group), 10) + "/"
	return append(byScore(prefix, homes[:n]), homes[n:]...)
}

// byScore returns the instances by rendezvous hashing.
func byScore(prefix string, live []ident.Instance) []ident.Instance {
	type scored struct {
		score uint64
		name  ident.Instance
	}
	set := make([]scored, len(live))
	for i, n := range live {
		set[i] = scored{xxhash.Sum64String(prefix + string(n)), n}
	}
	sort.Slice(set, func(i, j int) bool {
		if set[i].score != set[j].score {
			return set[i].score > set[j].score
		}
		return set[i].name < set[j].name
	})
	ranked := make([]ident.Instance, len(set))
	for i, s := range set {
		ranked[i] = s.name
	}
	return ranked
}

// driftShare is the largest difference in speed between two clocks, as a
// fraction 1/driftShare of the time measured.
const driftShare = 100

// longer returns a time that is at least d on any other clock.
func longer(d time.Duration) time.Duration { return d + d/driftShare }

// shorter returns a time that is at most d on any other clock.
func shorter(d time.Duration) time.Duration { return d - d/driftShare }
