package crash

import (
	"slices"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// firstPause is the time from the last crash of a blocked part to its first trial. Each further trial
	// comes after a pause trialFactor times as long, maxPause at most.
	firstPause  = 20 * time.Second
	trialFactor = 9
	maxPause    = 6 * time.Hour
	// grantTime is how long an admitted request may take until it is known whether its server has begun to
	// answer.
	grantTime = 2 * time.Second
	// pollTime is the pause before a request that waits for another one asks again.
	pollTime = 50 * time.Millisecond
)

// Verdict is what the evidence says of a part.
type Verdict int

// Verdicts, mildest first.
const (
	Clear   Verdict = iota // requests are sent freely
	Suspect                // one request at a time
	Blocked                // no requests except trials
)

// String returns the name of the verdict for logs and metrics.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "blocked"}[v] }

// ChangeKind is the kind of a Change. Logs and metrics contain it.
type ChangeKind string

// The kinds of changes.
const (
	Crashed   ChangeKind = "crash"     // a server ended under a request with the part
	Cleared   ChangeKind = "cleared"   // a server has begun to answer on the part
	BlockedAt ChangeKind = "blocked"   // requests with the part are rejected from now on
	Tried     ChangeKind = "trial"     // a request with the blocked part is admitted
	Unblocked ChangeKind = "unblocked" // requests with the part are no longer rejected
)

// ChangeKinds are all kinds of changes.
var ChangeKinds = []ChangeKind{Crashed, Cleared, BlockedAt, Tried, Unblocked}

// Change is a change of the evidence on a part, for logs and metrics. A crash, a clearing and a trial are
// reported by the instance that saw it, and the begin and end of a block by each instance.
type Change struct {
	Kind     ChangeKind
	Part     Part
	Name     string
	Episodes int           // that count against the part, 0 if it was cleared
	Servers  []uint64      // that ended, as hashes of their keys
	Oldest   time.Duration // age of the first crash
	Newest   time.Duration // age of the last crash
}

// observe passes a change to the observer. The caller holds t.mu.
func (t *Tracker) observe(h *history, k ChangeKind, now tick.Instant) {
	if t.cfg.Observe == nil {
		return
	}
	if k == Cleared && h.blocked {
		k = Unblocked
	}
	c := Change{Kind: k, Part: h.Part, Name: h.Name, Episodes: h.episodes()}
	for _, e := range h.Crashes {
		c.Servers = append(c.Servers, e.Server)
	}
	if n := len(h.Crashes); n > 0 {
		c.Oldest, c.Newest = now-h.Crashes[0].At, now-h.Crashes[n-1].At
	}
	t.cfg.Observe(c)
}

// observeBlock reports a part that has just been blocked. The caller holds t.mu.
func (t *Tracker) observeBlock(h *history, now tick.Instant) {
	if blocked := t.isBlocked(h, now); blocked && !h.blocked {
		h.blocked = true
		t.observe(h, BlockedAt, now)
	}
}

// episodes returns the number of crashes that are more than episodeGap apart.
func (h *History) episodes() int {
	n := 0
	var last tick.Instant
	for i, c := range h.Crashes {
		if i == 0 || c.At-last > episodeGap {
			n++
			last = c.At
		}
	}
	return n
}

// allowance returns the number of episodes that do not count against a part: one if it had a sound
// beginning lately. The caller holds t.mu.
func (t *Tracker) allowance(p Part, now tick.Instant) int {
	if t.lastBegun(p, now) > 0 {
		return 1
	}
	return 0
}

// isBlocked reports whether a part is blocked for requests that have no other part. The caller holds t.mu.
func (t *Tracker) isBlocked(h *history, now tick.Instant) bool {
	return h.blocked && len(h.Crashes) > 0 || h.episodes() >= blockEpisodes+t.allowance(h.Part, now)
}

// verdict returns the verdict on a part for a request with the given parts. The caller holds t.mu.
func (t *Tracker) verdict(p Part, parts []Part, now tick.Instant) Verdict {
	h := t.histories[p]
	if h == nil || len(h.Crashes) == 0 {
		return Clear
	}
	allowance := t.allowance(p, now)
	switch own := t.unexplained(h, parts, now); {
	case own == 0 && allowance == 0:
		return Suspect // all crashes are also those of the other part, but it had no sound beginning
	case own <= allowance:
		return Clear
	case t.isBlocked(h, now):
		return Blocked
	default:
		return Suspect
	}
}

// unexplained returns the number of episodes of a part without the crashes that are also those of another blocked part,
// which a request with the given parts does not have. The caller holds t.mu.
func (t *Tracker) unexplained(h *history, parts []Part, now tick.Instant) int {
	own := History{}
	for _, c := range h.Crashes {
		if !t.isExplained(c, h, parts, now) {
			own.Crashes = append(own.Crashes, c)
		}
	}
	return own.episodes()
}

// isExplained reports whether a crash of h is also that of another blocked part that a request with the given parts
// does not have. The caller holds t.mu.
func (t *Tracker) isExplained(c Crash, h *history, parts []Part, now tick.Instant) bool {
	for _, o := range t.histories {
		if o != h && slices.ContainsFunc(o.Crashes, c.same) && !slices.Contains(parts, o.Part) && t.isBlocked(o, now) {
			return true
		}
	}
	return false
}

// Verdict returns the gravest verdict on the parts of a request and the part to which it applies. For a
// blocked part, due is the instant of its next trial.
func (t *Tracker) Verdict(parts []Part, now tick.Instant) (v Verdict, worst Part, due tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.histories) == 0 {
		return Clear, 0, 0
	}
	for _, p := range parts {
		g := t.verdict(p, parts, now)
		if g == Clear || g < v {
			continue
		}
		d := tick.Instant(0)
		if g == Blocked {
			d = t.histories[p].due()
		}
		if g > v || d > due {
			v, worst, due = g, p, d
		}
	}
	return v, worst, due
}

// due returns the instant of the next trial of a blocked part.
func (h *History) due() tick.Instant {
	last, pause := h.Crashes[len(h.Crashes)-1].At, firstPause
	for range h.Trials {
		pause = min(pause*trialFactor, maxPause)
	}
	if n := len(h.Trials); n > 0 {
		last = max(last, h.Trials[n-1].At)
	}
	return last + pause
}

// crashedSince reports whether a crash of one of the parts is later than an instant.
func (t *Tracker) crashedSince(parts []Part, at tick.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if h := t.histories[p]; h != nil && len(h.Crashes) > 0 && h.Crashes[len(h.Crashes)-1].At > at {
			return true
		}
	}
	return false
}

// Claim asks for a request to be admitted.
type Claim struct {
	ID    uint64 // identifies the request among those of all instances
	Parts []Part
}

// Answer is the decision on a Claim.
type Answer struct {
	Granted bool
	Blocked bool          // the request has a blocked part whose trial is not due
	Wait    time.Duration // time until another claim may be granted, if not granted
}

// Decide decides a claim as the home of the parts. If trials is false, it admits no trials, because another
// instance may be the home.
func (t *Tracker) Decide(c Claim, trials bool, now tick.Instant) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var admit []*history
	a := Answer{Granted: true}
	for _, p := range c.Parts {
		v := t.verdict(p, c.Parts, now)
		if v == Clear {
			continue
		}
		h := t.histories[p]
		admit = append(admit, h)
		if h.granted.ID == c.ID && now-h.granted.At < grantTime {
			continue // it was admitted for an earlier write
		}
		if left := h.undecided(now); left > 0 {
			a.Granted, a.Wait = false, max(a.Wait, min(left, pollTime))
		}
		if v == Blocked && (now < h.due() || !trials) {
			a.Granted, a.Blocked, a.Wait = false, true, max(a.Wait, h.due()-now, pollTime)
		}
	}
	if !a.Granted {
		return a
	}
	for _, h := range admit {
		if h.granted.ID == c.ID && now-h.granted.At < grantTime {
			continue
		}
		h.granted = Trial{c.ID, now}
		if t.verdict(h.Part, c.Parts, now) == Blocked {
			h.addTrial(h.granted)
			h.changed = now
			t.observe(h, Tried, now)
		}
	}
	return a
}

// undecided returns the time for which the last admitted request may still show whether the part is
// fatal, or 0 if it has ended a server or taken too long.
func (h *history) undecided(now tick.Instant) time.Duration {
	if h.granted.At == 0 || len(h.Crashes) > 0 && h.Crashes[len(h.Crashes)-1].At > h.granted.At {
		return 0
	}
	return max(h.granted.At+grantTime-now, 0)
}
