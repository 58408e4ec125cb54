package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/tick"
)

const (
	// blockEpisodes is the number of episodes that block a part.
	blockEpisodes = 3
	// episodeGap is the time within which crashes count as one episode.
	episodeGap = 500 * time.Millisecond
	// sameCrash is the time within which two reports of a crash of one server are about the same crash.
	sameCrash = 2 * time.Second
	// provenTime is how long a sound beginning counts for a part.
	provenTime = 10 * time.Minute
	// endTimeout is how long a broken connection is kept in case its server turns out to have ended.
	endTimeout = 5 * time.Second
	// crashLifetime is how long the crashes of a part count that is not blocked.
	crashLifetime = 10 * time.Minute
	// reportTime is how long a change is sent in datagrams, and clearedTime how long a cleared history
	// is kept to be sent at all.
	reportTime  = 3 * time.Second
	clearedTime = 30 * time.Second

	maxHistories = 512
	maxCrashes   = 8 // of one part
	maxTrials    = 8
	maxPending   = 256
	// maxProven bounds the parts in each of the two maps of sound beginnings.
	maxProven = 32 << 10
)

// Part identifies a part of prompts for one model of one service.
type Part uint64

// NewParts returns the parts with the given IDs.
func NewParts(service, model string, ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]Part, len(ids))
	for i, id := range ids {
		var d xxhash.Digest
		d.Reset()
		for _, s := range []string{service, "\x00", model, "\x00", id} {
			_, _ = d.WriteString(s) // never fails
		}
		parts[i] = Part(d.Sum64())
	}
	return parts
}

// Crash is the end of a server while a request with a part was at its beginning there.
type Crash struct {
	Server uint64 // hash of the server's key
	At     tick.Instant
}

// same reports whether two reports are about the same crash.
func (c Crash) same(o Crash) bool { return c.Server == o.Server && (c.At-o.At).Abs() < sameCrash }

// Trial is a request with a blocked part that was admitted.
type Trial struct {
	ID uint64 // ID of the claim
	At tick.Instant
}

// History is what is known of a part that has been at a crash.
type History struct {
	Part    Part
	Name    string       // service and ID for logs, empty if not known
	Begun   tick.Instant // last sound beginning, 0 if none is known
	Crashes []Crash      // later than Begun, by time
	Trials  []Trial      // later than Begun, by time
}

// history is a History with the state of this instance.
type history struct {
	History
	changed tick.Instant // when this instance last added something
	blocked bool         // the part was blocked at the last observation
	granted Trial        // the last request that this instance admitted as home
}

// pending is a broken connection whose server may have ended.
type pending struct {
	server uint64
	parts  []Part
	names  []string
	at     tick.Instant
}

// Config configures a Tracker.
type Config struct {
	// Observe is called with each change. It may be nil, and must not call the Tracker.
	Observe func(Change)
}

// Tracker holds the evidence of this instance and its peers. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	histories map[Part]*history
	pending   []pending
	// proven and older hold the last sound beginnings. older is replaced by proven when that is full or
	// provenTime has passed.
	proven, older map[Part]tick.Instant
	rotated       tick.Instant
}

// NewTracker returns a Tracker without evidence.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, histories: make(map[Part]*history), proven: make(map[Part]tick.Instant)}
}

// Begun records that a server has begun to answer a request with the given parts.
func (t *Tracker) Begun(parts []Part, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.proven) >= maxProven || now-t.rotated > provenTime {
		t.older, t.proven, t.rotated = t.proven, make(map[Part]tick.Instant), now
	}
	for _, p := range parts {
		t.proven[p] = now
		if h := t.histories[p]; h != nil && now > h.Begun {
			if len(h.Crashes) > 0 {
				h.changed = now
			}
			t.clear(h, now, now)
		}
	}
}

// lastBegun returns the last sound beginning of a part within provenTime, or 0. The caller holds t.mu.
func (t *Tracker) lastBegun(p Part, now tick.Instant) tick.Instant {
	at := max(t.proven[p], t.older[p])
	if h := t.histories[p]; h != nil {
		at = max(at, h.Begun)
	}
	if at == 0 || now-at > provenTime {
		return 0
	}
	return at
}

// clear removes the crashes and trials of a history up to the sound beginning at. The caller holds t.mu.
func (t *Tracker) clear(h *history, at, now tick.Instant) {
	had := len(h.Crashes)
	h.Begun = max(h.Begun, at)
	h.Crashes = slices.DeleteFunc(h.Crashes, func(c Crash) bool { return c.At <= h.Begun })
	h.Trials = slices.DeleteFunc(h.Trials, func(r Trial) bool { return r.At <= h.Begun })
	if had > 0 && len(h.Crashes) == 0 && (at == now || h.blocked) {
		t.observe(h, Cleared, now)
		h.blocked = false
	}
}

// Broke records that the connection of a request with the given parts ended before the server had begun to
// answer. It has no effect unless the server turns out to have ended. names are the names of the parts.
func (t *Tracker) Broke(server uint64, parts []Part, names []string, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxPending {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.pending = append(t.pending, pending{server, parts, names, now})
}

// Confirm records that a server has ended.
func (t *Tracker) Confirm(server uint64, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(func(s uint64) bool { return s == server }, now)
}

// confirm turns the broken connections of servers that have ended into crashes, and drops old ones. The
// caller holds t.mu.
func (t *Tracker) confirm(ended func(server uint64) bool, now tick.Instant) {
	var rest []pending
	for _, b := range t.pending {
		switch {
		case now-b.at > endTimeout:
		case ended(b.server):
			for i, p := range b.parts {
				t.recordCrash(p, b.names[i], Crash{b.server, b.at}, now)
			}
		default:
			rest = append(rest, b)
		}
	}
	t.pending = rest
}

// recordCrash adds a crash that this instance has seen to the history of a part. The caller holds t.mu.
func (t *Tracker) recordCrash(p Part, name string, c Crash, now tick.Instant) {
	begun := t.lastBegun(p, now)
	if begun >= c.At {
		return
	}
	h := t.history(p, now)
	h.Name, h.Begun = name, begun
	if h.addCrash(c) {
		h.changed = now
		t.observe(h, Crashed, now)
	}
	t.observeBlock(h, now)
}

// history returns the history of a part, which it creates at the first use. The caller holds t.mu.
func (t *Tracker) history(p Part, now tick.Instant) *history {
	if h := t.histories[p]; h != nil {
		return h
	}
	if len(t.histories) >= maxHistories {
		t.evict(now)
	}
	h := &history{History: History{Part: p}}
	t.histories[p] = h
	return h
}

// evict removes the history that has changed least recently, a blocked one only if all are. The caller
// holds t.mu.
func (t *Tracker) evict(now tick.Instant) {
	var oldest *history
	var oldestBlocked bool
	for _, h := range t.histories {
		blocked := t.isBlocked(h, now)
		if oldest == nil || oldestBlocked && !blocked || oldestBlocked == blocked && h.latest() < oldest.latest() {
			oldest, oldestBlocked = h, blocked
		}
	}
	delete(t.histories, oldest.Part)
}

// latest returns the instant of the last entry of a history.
func (h *History) latest() tick.Instant {
	at := h.Begun
	if n := len(h.Crashes); n > 0 {
		at = max(at, h.Crashes[n-1].At)
	}
	if n := len(h.Trials); n > 0 {
		at = max(at, h.Trials[n-1].At)
	}
	return at
}

// addCrash adds a crash unless it is known. It returns true if it was not.
func (h *History) addCrash(c Crash) bool {
	if i := slices.IndexFunc(h.Crashes, c.same); i >= 0 {
		h.Crashes[i].At = min(h.Crashes[i].At, c.At)
		return false
	}
	h.Crashes = append(h.Crashes, c)
	slices.SortFunc(h.Crashes, func(a, b Crash) int { return int(a.At - b.At) })
	if len(h.Crashes) > maxCrashes {
		h.Crashes = slices.Delete(h.Crashes, 0, len(h.Crashes)-maxCrashes)
	}
	return true
}

// addTrial adds a trial unless it is known.
func (h *History) addTrial(r Trial) {
	if i := slices.IndexFunc(h.Trials, func(o Trial) bool { return o.ID == r.ID }); i >= 0 {
		h.Trials[i].At = min(h.Trials[i].At, r.At)
		return
	}
	h.Trials = append(h.Trials, r)
	slices.SortFunc(h.Trials, func(a, b Trial) int { return int(a.At - b.At) })
	if len(h.Trials) > maxTrials {
		h.Trials = slices.Delete(h.Trials, 0, 1)
	}
}

// Sweep removes old evidence, and confirms the end of servers that are no longer listed.
func (t *Tracker) Sweep(isListed func(server uint64) bool, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) > 0 {
		t.confirm(func(s uint64) bool { return !isListed(s) }, now)
	}
	for p, h := range t.histories {
		if len(h.Crashes) == 0 && now-max(h.changed, h.Begun) > clearedTime ||
			len(h.Crashes) > 0 && !t.isBlocked(h, now) && now-h.Crashes[len(h.Crashes)-1].At > crashLifetime {
			delete(t.histories, p)
		}
	}
}
