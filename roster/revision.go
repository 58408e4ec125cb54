package roster

import "wasabidock.dev/dock/ident"

// SetRevision sets the revision that the own node reports to have in force.
func (r *Roster) SetRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// Everywhere reports whether the current process of each seat, and every other
// process that is not lost, is known to have the revision or a later one in
// force. A process that has not been met does not.
func (r *Roster) Everywhere(seats []ident.Instance, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision < revision {
		return false
	}
	for _, name := range seats {
		if name == r.cfg.Self.Instance {
			continue
		}
		s, ok := r.seats[name]
		if !ok || !s.met || s.entry.Revision < revision {
			return false
		}
	}
	for _, s := range r.seats {
		if s.met && s.entry.State != Lost && s.entry.Revision < revision {
			return false
		}
	}
	return true
}
