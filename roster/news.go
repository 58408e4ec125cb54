package roster

import (
	"sort"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// newsEntries bounds the changes in one message.
	newsEntries = 4
	// randomEntries is the number of random nodes in one message.
	randomEntries = 1
	// joinEntries bounds the nodes in an answer to a starting node.
	joinEntries = 64
)

// News returns what to tell a node of the given data centre: changes that were
// passed on least often, and a random node, those of its own data centre
// first. A starting node is told more, also addresses of instances that nobody
// has heard, since it may have no list.
func (r *Roster) News(c ident.Centre, starting bool, now tick.Instant) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	changed := r.changed(c)
	for _, s := range changed {
		s.told--
		out = append(out, s.report(now))
	}
	told := func(s *seat) bool { return s.met && s.told == 0 && s.entry.Centre == c }
	if !starting {
		return append(out, r.some(randomEntries, now, told)...)
	}
	named := make(map[*seat]bool, len(changed))
	for _, s := range changed {
		named[s] = true
	}
	out = append(out, r.some(joinEntries, now, func(s *seat) bool { return s.met && !named[s] })...)
	unmet := func(s *seat) bool { return !s.met }
	return append(out, r.some(max(joinEntries-len(out), 0), now, unmet)...)
}

// changed returns the seats whose changes are to be passed on next.
func (r *Roster) changed(c ident.Centre) []*seat {
	var seats []*seat
	for _, s := range r.order {
		if s.met && s.told > 0 && s.entry.Address != "" {
			seats = append(seats, s)
		}
	}
	r.cfg.Random.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	sort.SliceStable(seats, func(i, j int) bool { return seats[i].urgency(c) > seats[j].urgency(c) })
	if len(seats) > newsEntries {
		seats = seats[:newsEntries]
	}
	return seats
}

// nearUrgency puts changes of the receiver's data centre before all others.
const nearUrgency = 1000

func (s *seat) urgency(c ident.Centre) int {
	if s.entry.Centre == c {
		return s.told + nearUrgency
	}
	return s.told
}

// some returns the entries of up to n wanted seats, beginning at a random one.
func (r *Roster) some(n int, now tick.Instant, wanted func(*seat) bool) []Entry {
	if len(r.order) == 0 {
		return nil
	}
	var out []Entry
	start := r.cfg.Random.IntN(len(r.order))
	for i := range r.order {
		s := r.order[(start+i)%len(r.order)]
		if len(out) == n {
			break
		}
		if s.entry.Address != "" && wanted(s) {
			out = append(out, s.report(now))
		}
	}
	return out
}
