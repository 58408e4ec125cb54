package news

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

const (
	// forgetAfter is the time after which a member that nobody hears is
	// forgotten.
	forgetAfter = 10 * time.Second
	// mostTold bounds the members that a message tells one who knows most.
	mostTold = 16
)

// Member is another instance.
type Member struct {
	Instance    string
	Incarnation uint64
	Address     string // for calls
	Datagrams   string // for datagrams
	Centre      string
	Region      string
	Leaving     bool
	heard       tick.Instant
}

// members is the set of the other instances that are known. It may be used
// concurrently.
type members struct {
	mu   sync.Mutex
	self string
	byID map[string]*Member
}

func newMembers(self string) *members {
	return &members{self: self, byID: make(map[string]*Member)}
}

// take takes in what a peer says of a member. An older incarnation and an
// older account are left.
func (m *members) take(w *peerpb.Member, now tick.Instant) {
	age := time.Duration(max(w.GetAgeMs(), 0)) * time.Millisecond
	if w.GetInstance() == "" || w.GetInstance() == m.self || w.GetAddress() == "" || age > forgetAfter {
		return
	}
	heard := now - age
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.byID[w.GetInstance()]
	if ok && (old.Incarnation > w.GetIncarnation() || old.Incarnation == w.GetIncarnation() && old.heard >= heard) {
		return
	}
	m.byID[w.GetInstance()] = &Member{
		Instance: w.GetInstance(), Incarnation: w.GetIncarnation(),
		Address: w.GetAddress(), Datagrams: w.GetDatagrams(),
		Centre: w.GetCentre(), Region: w.GetRegion(),
		Leaving: w.GetLeaving() || ok && old.Leaving && old.Incarnation == w.GetIncarnation(),
		heard:   heard,
	}
}

// heard notes a datagram of a member and returns the member. It returns false
// if the member is not known or was replaced.
func (m *members) heard(instance string, incarnation uint64, leaving bool, now tick.Instant) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.byID[instance]
	if !ok || o.Incarnation != incarnation {
		return Member{}, false
	}
	o.heard = now
	o.Leaving = o.Leaving || leaving
	return *o, true
}

// list returns the members, ordered by name.
func (m *members) list() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.byID))
	for _, o := range m.byID {
		all = append(all, *o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Instance < all[j].Instance })
	return all
}

// sweep forgets the members that were not heard for long.
func (m *members) sweep(now tick.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, o := range m.byID {
		if now-o.heard > forgetAfter {
			delete(m.byID, name)
		}
	}
}

// count returns the number of members.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// wire returns members as they are told to others: all, or most of many.
func (m *members) wire(now tick.Instant, most int) []*peerpb.Member {
	all := m.list()
	if len(all) > most {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:most]
	}
	out := make([]*peerpb.Member, 0, len(all))
	for i := range all {
		o := &all[i]
		out = append(out, &peerpb.Member{
			Instance: o.Instance, Incarnation: o.Incarnation, Address: o.Address, Datagrams: o.Datagrams,
			Centre: o.Centre, Region: o.Region, Leaving: o.Leaving, AgeMs: (now - o.heard).Milliseconds(),
		})
	}
	return out
}
