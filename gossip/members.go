package gossip

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

const (
	// memberTimeout is the time after which a member that no instance has seen is removed.
	memberTimeout = 10 * time.Second
	// formerTimeout is how long a removed member counts as an instance of its data centre, unless it had
	// announced its end. A partition within a data centre may last for longer than memberTimeout.
	formerTimeout = 10 * time.Minute
	// maxMembersSent bounds the members in a message to an instance that already knows most of
	// them.
	maxMembersSent = 16
)

// Member is another instance.
type Member struct {
	Instance    string
	Incarnation uint64
	Address     string // host:port for calls
	Datagrams   string // host:port for datagrams
	Centre      string
	Region      string
	Leaving     bool
	lastSeen    tick.Instant
}

// members is the set of known other instances. It may be used concurrently.
type members struct {
	mu   sync.Mutex
	self string
	byID map[string]*Member
	// former are the members that were removed and have announced no end. Only countIn uses them.
	former map[string]*Member
}

func newMembers(self string) *members {
	return &members{self: self, byID: make(map[string]*Member), former: make(map[string]*Member)}
}

// update records a member that a peer reports. It ignores a report of an older incarnation, and one
// that is not newer than the last report of the member.
func (m *members) update(w *peerpb.Member, now tick.Instant) {
	age := millis(w.GetAgeMs())
	if w.GetInstance() == "" || w.GetInstance() == m.self || w.GetAddress() == "" || age > memberTimeout {
		return
	}
	lastSeen := now - age
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.byID[w.GetInstance()]
	if ok && (old.Incarnation > w.GetIncarnation() || old.Incarnation == w.GetIncarnation() && old.lastSeen >= lastSeen) {
		return
	}
	delete(m.former, w.GetInstance())
	m.byID[w.GetInstance()] = &Member{
		Instance: w.GetInstance(), Incarnation: w.GetIncarnation(),
		Address: w.GetAddress(), Datagrams: w.GetDatagrams(),
		Centre: w.GetCentre(), Region: w.GetRegion(),
		Leaving:  w.GetLeaving() || ok && old.Leaving && old.Incarnation == w.GetIncarnation(),
		lastSeen: lastSeen,
	}
}

// refresh records a datagram of a member and returns the member. It returns false if the member is
// unknown or the datagram is from another incarnation of the member.
func (m *members) refresh(instance string, incarnation uint64, leaving bool, now tick.Instant) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.byID[instance]
	if !ok || o.Incarnation != incarnation {
		return Member{}, false
	}
	o.lastSeen = now
	o.Leaving = o.Leaving || leaving
	return *o, true
}

// get returns a member.
func (m *members) get(instance string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.byID[instance]
	if !ok {
		return Member{}, false
	}
	return *o, true
}

// inCentre reports whether a data centre has a member.
func (m *members) inCentre(centre string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.byID {
		if o.Centre == centre {
			return true
		}
	}
	return false
}

// countIn returns the number of members in a data centre that have not announced their end, including former ones.
func (m *members) countIn(centre string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, list := range []map[string]*Member{m.byID, m.former} {
		for _, o := range list {
			if o.Centre == centre && !o.Leaving {
				n++
			}
		}
	}
	return n
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

// expire removes the members that were not seen for memberTimeout.
func (m *members) expire(now tick.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, o := range m.byID {
		if now-o.lastSeen > memberTimeout {
			delete(m.byID, name)
			if !o.Leaving {
				m.former[name] = o
			}
		}
	}
	for name, o := range m.former {
		if now-o.lastSeen > formerTimeout {
			delete(m.former, name)
		}
	}
}

// count returns the number of members.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// encode returns the members in the form sent to peers. If there are more than limit, it returns
// limit members chosen at random.
func (m *members) encode(now tick.Instant, limit int) []*peerpb.Member {
	all := m.list()
	if len(all) > limit {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:limit]
	}
	out := make([]*peerpb.Member, 0, len(all))
	for i := range all {
		o := &all[i]
		out = append(out, &peerpb.Member{
			Instance: o.Instance, Incarnation: o.Incarnation, Address: o.Address, Datagrams: o.Datagrams,
			Centre: o.Centre, Region: o.Region, Leaving: o.Leaving, AgeMs: (now - o.lastSeen).Milliseconds(),
		})
	}
	return out
}
