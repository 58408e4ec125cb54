package crash

import (
	"slices"

	"wasabidock.dev/dock/tick"
)

// Merge adds the evidence of a peer.
func (t *Tracker) Merge(list []History, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range list {
		t.merge(&list[i], now)
	}
}

// merge adds the evidence of a peer on one part. The caller holds t.mu.
func (t *Tracker) merge(w *History, now tick.Instant) {
	own := t.lastBegun(w.Part, now)
	begun := max(own, w.Begun)
	blocked := w.episodes() >= blockEpisodes
	fresh := slices.ContainsFunc(w.Crashes, func(c Crash) bool { return c.At > begun && (blocked || now-c.At <= crashLifetime) })
	h := t.histories[w.Part]
	if h == nil && !fresh && (own <= w.Begun || len(w.Crashes) == 0) {
		return // nothing that this instance does not know, or that the peer does not
	}
	if h == nil {
		h = t.history(w.Part, now)
		h.Begun = begun
	}
	if h.Name == "" {
		h.Name = w.Name
	}
	if w.Begun > h.Begun {
		t.clear(h, min(w.Begun, now), now)
	}
	for _, c := range w.Crashes {
		c.At = min(c.At, now)
		if c.At > h.Begun {
			h.addCrash(c)
		}
	}
	for _, r := range w.Trials {
		if r.At > h.Begun {
			h.addTrial(r)
		}
	}
	if own > w.Begun && slices.ContainsFunc(w.Crashes, func(c Crash) bool { return c.At <= own }) && now-h.changed > reportTime {
		h.changed = now // the peer does not know the sound beginning
	}
	t.observeBlock(h, now)
}

// Histories returns all histories, ordered by part.
func (t *Tracker) Histories() []History { return t.list(func(*history) bool { return true }) }

// Recent returns the histories to which this instance has added something within reportTime, ordered by
// part.
func (t *Tracker) Recent(now tick.Instant) []History {
	return t.list(func(h *history) bool { return h.changed != 0 && now-h.changed <= reportTime })
}

// Of returns the histories of the given parts.
func (t *Tracker) Of(parts []Part) []History {
	return t.list(func(h *history) bool { return slices.Contains(parts, h.Part) })
}

// list returns copies of the chosen histories, ordered by part.
func (t *Tracker) list(chosen func(*history) bool) []History {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []History
	for _, h := range t.histories {
		if chosen(h) {
			c := h.History
			c.Crashes, c.Trials = slices.Clone(h.Crashes), slices.Clone(h.Trials)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b History) int {
		if a.Part < b.Part {
			return -1
		}
		return 1
	})
	return out
}

// Counts returns the number of parts that are suspect and blocked.
func (t *Tracker) Counts(now tick.Instant) (suspect, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, h := range t.histories {
		switch t.verdict(p, []Part{p}, now) {
		case Clear:
		case Suspect:
			suspect++
		case Blocked:
			if h.blocked {
				blocked++
			}
		}
	}
	return suspect, blocked
}
