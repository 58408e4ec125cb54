package roster

import (
	"sort"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Listed is one instance of the platform's list, which lags.
type Listed struct {
	Instance  ident.Instance
	Address   string
	Centre    ident.Centre
	Departing bool
}

// List takes the platform's list of instances. It gives addresses of nodes
// that have not been heard; an instance that it calls departing drains, unless
// the process in the seat has another address by now.
func (r *Roster) List(items []Listed, now tick.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasList = true
	for _, s := range r.seats {
		s.listed = false
	}
	for _, item := range items {
		if item.Instance == r.cfg.Self.Instance {
			continue
		}
		if s := r.open(item.Instance); s != nil {
			r.listed(s, item)
		}
	}
	r.forget(now)
}

func (r *Roster) listed(s *seat, item Listed) {
	s.listed = true
	if !s.met {
		s.entry.Address = item.Address
		s.entry.Centre = item.Centre
	}
	departing := item.Departing && s.entry.Address == item.Address
	if departing && s.met && s.entry.State < Draining {
		s.entry.State = Draining
		r.announce(s)
	}
}

// forget drops the processes of seats that have been silent for long. The
// superseded incarnations of a seat stay known.
func (r *Roster) forget(now tick.Instant) {
	for i := 0; i < len(r.order); i++ {
		s := r.order[i]
		gone := !s.met || s.entry.State == Lost && now-s.heard > forgetAge
		if s.listed || !gone {
			continue
		}
		if len(s.old) > 0 {
			continue
		}
		delete(r.seats, s.name())
		r.order = append(r.order[:i], r.order[i+1:]...)
		i--
	}
}

// Listed reports whether the platform's list has been taken.
func (r *Roster) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasList
}

// Candidates returns the instances of a data centre that may be there, sorted
// by name: those that are up, and those that have not been heard and whose
// address is known.
func (r *Roster) Candidates(c ident.Centre) []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []ident.Instance
	if c == r.cfg.Centre {
		names = append(names, r.cfg.Self.Instance)
	}
	for _, s := range r.order {
		if s.near(c) && (!s.met || s.entry.State < Draining) {
			names = append(names, s.name())
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Seed takes the address of an instance from the settings, for a start without
// the platform.
func (r *Roster) Seed(name ident.Instance, address string, c ident.Centre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.cfg.Self.Instance {
		return
	}
	s := r.open(name)
	if s == nil || s.met {
		return
	}
	s.listed = true
	s.entry.Address = address
	s.entry.Centre = c
}

const (
	// outsidePeriod is the number of rounds for one exchange with another data
	// centre.
	outsidePeriod = 4
	// newcomerContacts is the number of exchanges that all instances together
	// have in a round with those that nobody has heard.
	newcomerContacts = 8
	// lostPeriod is the number of rounds for one exchange with a lost node.
	lostPeriod = 5
)

// Next returns the instances to talk to in this round: one of the own data
// centre, each in turn, one that failed to answer once, and now and then one
// that has not been heard yet, one of another data centre or a lost one.
func (r *Roster) Next() []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rounds++
	var targets []ident.Instance
	if name, ok := r.turn(); ok {
		targets = append(targets, name)
	}
	targets = append(targets, r.pick(1, func(s *seat) bool { return s.failures > 0 && !s.lost() })...)
	targets = append(targets, r.pick(r.newcomers(), func(s *seat) bool { return !s.met && !s.lost() })...)
	if r.rounds%outsidePeriod == 0 || len(targets) == 0 {
		targets = append(targets, r.pick(1, func(s *seat) bool { return s.entry.Centre != r.cfg.Centre && !s.lost() })...)
	}
	if r.rounds%lostPeriod == 0 || len(targets) == 0 {
		targets = append(targets, r.pick(1, func(s *seat) bool { return s.lost() })...)
	}
	return targets
}

// newcomers returns how many instances that nobody has heard to talk to in
// this round, so that all that are there together have a bounded number of
// such contacts.
func (r *Roster) newcomers() int {
	share := 1
	for _, s := range r.order {
		if s.met && !s.lost() {
			share++
		}
	}
	n := newcomerContacts / share
	if r.cfg.Random.IntN(share) < newcomerContacts%share {
		n++
	}
	return n
}

// Spread returns instances to tell of a change at once: near ones of the own
// data centre and far ones of others.
func (r *Roster) Spread(near, far int) []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := r.pick(near, func(s *seat) bool { return s.entry.Centre == r.cfg.Centre && !s.lost() })
	return append(targets, r.pick(far, func(s *seat) bool { return s.entry.Centre != r.cfg.Centre && !s.lost() })...)
}

func (s *seat) lost() bool {
	return s.entry.State == Lost || s.failures >= lossFailures
}

// turn returns the next instance of the own data centre in a shuffled order
// in which each comes once.
func (r *Roster) turn() (ident.Instance, bool) {
	for fresh := false; ; {
		for len(r.ring) > 0 {
			name := r.ring[len(r.ring)-1]
			r.ring = r.ring[:len(r.ring)-1]
			if s, ok := r.seats[name]; ok && s.near(r.cfg.Centre) {
				return name, true
			}
		}
		if fresh {
			return "", false
		}
		fresh = true
		for _, s := range r.order {
			if s.near(r.cfg.Centre) {
				r.ring = append(r.ring, s.name())
			}
		}
		r.cfg.Random.Shuffle(len(r.ring), func(i, j int) { r.ring[i], r.ring[j] = r.ring[j], r.ring[i] })
	}
}

func (s *seat) near(c ident.Centre) bool {
	return s.entry.Centre == c && s.entry.Address != "" && !s.lost()
}

// pick returns the names of up to n random instances that are wanted.
func (r *Roster) pick(n int, wanted func(*seat) bool) []ident.Instance {
	seats := r.shuffled(wanted)
	if len(seats) > n {
		seats = seats[:n]
	}
	names := make([]ident.Instance, len(seats))
	for i, s := range seats {
		names[i] = s.name()
	}
	return names
}

// shuffled returns the wanted seats that have an address in random order.
func (r *Roster) shuffled(wanted func(*seat) bool) []*seat {
	var seats []*seat
	for _, s := range r.order {
		if s.entry.Address != "" && wanted(s) {
			seats = append(seats, s)
		}
	}
	r.cfg.Random.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	return seats
}

const (
	// newsEntries bounds the changes in one message.
	newsEntries = 4
	// randomEntries is the number of random nodes in one message.
	randomEntries = 1
	// joinEntries bounds the nodes in an answer to a starting node.
	joinEntries = 64
)

// News returns what to tell a node of the given data centre: changes that were
// passed on least often, those of its own data centre first, and a random
// node. A starting node is told more, also addresses of instances that nobody
// has heard, since it may have no list.
func (r *Roster) News(c ident.Centre, starting bool, now tick.Instant) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, others := newsEntries, randomEntries
	if starting {
		others = joinEntries
	}
	seats := r.shuffled(func(s *seat) bool { return s.met || starting })
	sort.SliceStable(seats, func(i, j int) bool { return seats[i].urgency(c) > seats[j].urgency(c) })
	var out []Entry
	for _, s := range seats {
		switch {
		case s.told > 0 && changes > 0:
			changes--
			s.told--
		case others > 0 && (s.told == 0 || starting):
			others--
		default:
			continue
		}
		out = append(out, s.report(now))
	}
	return out
}

// nearUrgency puts changes of the receiver's data centre before all others.
const nearUrgency = 1000

func (s *seat) urgency(c ident.Centre) int {
	switch {
	case !s.met:
		return -1
	case s.told > 0 && s.entry.Centre == c:
		return s.told + nearUrgency
	}
	return s.told
}
