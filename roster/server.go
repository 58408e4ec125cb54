package roster

import (
	"sort"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Gone is a backend server that departs.
type Gone struct {
	Server ident.Server
	Age    time.Duration // since that was learnt
}

const (
	// goneNews is the time for which a departure is passed on.
	goneNews = time.Minute
	// goneEntries bounds the departures in one message.
	goneEntries = 4
	// maxGone bounds the departures kept.
	maxGone = 4096
)

// departures knows which backend servers depart, and since when.
type departures struct {
	since   map[ident.Server]tick.Instant
	cleared map[ident.Server]tick.Instant // when the list took a departure back
}

func newDepartures() departures {
	return departures{
		since:   make(map[ident.Server]tick.Instant),
		cleared: make(map[ident.Server]tick.Instant),
	}
}

// Departing reports whether a backend server departs.
func (r *Roster) Departing(s ident.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.servers.since[s]
	return ok
}

// ListServers takes a newer list of departing backend servers from the
// platform. A departure that it no longer names is over.
func (r *Roster) ListServers(departing []ident.Server, now tick.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[ident.Server]bool, len(departing))
	for _, s := range departing {
		listed[s] = true
		r.servers.add(s, now)
	}
	for s, since := range r.servers.since {
		if !listed[s] && now-since > goneNews {
			delete(r.servers.since, s)
			r.servers.cleared[s] = now
		}
	}
	for s, at := range r.servers.cleared {
		if now-at > forgetAge {
			delete(r.servers.cleared, s)
		}
	}
}

// MergeServers takes the departures that a peer passed on.
func (r *Roster) MergeServers(gone []Gone, now tick.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range gone {
		if g.Age >= 0 && g.Age <= goneNews {
			r.servers.add(g.Server, now-g.Age)
		}
	}
}

func (d departures) add(s ident.Server, at tick.Instant) {
	if _, ok := d.since[s]; ok || len(d.since) >= maxGone {
		return
	}
	if cleared, ok := d.cleared[s]; ok && at <= cleared {
		return
	}
	d.since[s] = at
}

// ServerNews returns the departures to pass on, the newest first.
func (r *Roster) ServerNews(now tick.Instant) []Gone {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Gone
	for s, since := range r.servers.since {
		if age := now - since; age <= goneNews {
			out = append(out, Gone{Server: s, Age: age})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Age != out[j].Age {
			return out[i].Age < out[j].Age
		}
		return out[i].Server < out[j].Server
	})
	if len(out) > goneEntries {
		// A random one of the rest takes the last place, so that each is passed on.
		i := goneEntries - 1 + r.cfg.Random.IntN(len(out)-goneEntries+1)
		out[goneEntries-1] = out[i]
		out = out[:goneEntries]
	}
	return out
}
