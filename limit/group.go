package limit

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
)

const (
	// GroupCount is the number of groups of customers. A lessor leases its share group by group.
	GroupCount = 16
	// FullShare is the sum of the shares of all lessors, in parts per million.
	FullShare = 1_000_000
	// GrantTTL is the time within which a grant must be used. It starts before the charge is
	// requested.
	GrantTTL = time.Second

	linkPrefix = "link:"
)

// Limits are the rate and the burst of a customer.
type Limits struct {
	Rate  int64 // tokens per second
	Burst int64 // tokens
}

// Customer is a customer with its limits.
type Customer struct {
	Name ident.Customer
	Limits
}

// LinkCustomer returns the customer name under which the traffic over the paid link from one region
// to another is limited. Its limits are in bytes instead of tokens.
func LinkCustomer(from, to ident.Region) ident.Customer {
	return ident.Customer(linkPrefix + string(from) + ":" + string(to))
}

// GroupOf returns the group of a customer, less than GroupCount.
func GroupOf(c ident.Customer) uint32 {
	return uint32(xxhash.Sum64String(string(c)) % GroupCount)
}

// maxHomes is the number of instances in a data centre that are homes of groups. Each home renews a
// lease at every lessor, so the number of messages in a data centre grows with the product of homes
// and lessors.
const maxHomes = 4

// RankHolders returns the instances in the order in which they should hold a group. The first is
// the home of the group; each of the others takes over when those before it fail. All groups have
// their homes among the same maxHomes instances.
func RankHolders(group uint32, live []ident.Instance) []ident.Instance {
	homes := rendezvousOrder("homes/", live)
	n := min(maxHomes, len(homes))
	prefix := strconv.FormatUint(uint64(group), 10) + "/"
	return append(rendezvousOrder(prefix, homes[:n]), homes[n:]...)
}

// rendezvousOrder returns the instances in the order of rendezvous hashing (highest random weight).
func rendezvousOrder(prefix string, live []ident.Instance) []ident.Instance {
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

// driftDivisor limits the difference in speed between two clocks, which is at most 1/driftDivisor
// of the measured time.
const driftDivisor = 100

// extendForDrift returns a duration that lasts at least d on any other clock.
func extendForDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// reduceForDrift returns a duration that lasts at most d on any other clock.
func reduceForDrift(d time.Duration) time.Duration { return d - d/driftDivisor }
