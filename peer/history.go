package peer

import (
	"strings"
	"time"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// Bounds of the histories that a peer sends. More is ignored.
const (
	maxHistories      = 512
	maxHistoryEntries = 8
	maxHistoryName    = 128
	maxHistoryAge     = 24 * time.Hour
)

// EncodeHistories returns histories in the form sent to peers.
func EncodeHistories(list []crash.History, now tick.Instant) []*peerpb.PartHistory {
	var out []*peerpb.PartHistory
	for _, h := range list {
		w := &peerpb.PartHistory{Part: uint64(h.Part), Name: historyName(h.Name)}
		if h.Begun > 0 {
			age := (now - h.Begun).Microseconds()
			w.BegunAgeUs = &age
		}
		for _, c := range h.Crashes {
			w.Crashes = append(w.Crashes, &peerpb.PartCrash{Server: c.Server, AgeUs: (now - c.At).Microseconds()})
		}
		for _, r := range h.Trials {
			w.Trials = append(w.Trials, &peerpb.PartTrial{Id: r.ID, AgeUs: (now - r.At).Microseconds()})
		}
		out = append(out, w)
	}
	return out
}

// DecodeHistories returns the histories of a peer that were received at now.
func DecodeHistories(list []*peerpb.PartHistory, now tick.Instant) []crash.History {
	var out []crash.History
	for _, w := range list[:min(len(list), maxHistories)] {
		h := crash.History{Part: crash.Part(w.GetPart()), Name: historyName(w.GetName())}
		if w.BegunAgeUs != nil {
			h.Begun = now - historyAge(w.GetBegunAgeUs())
		}
		for _, c := range w.GetCrashes()[:min(len(w.GetCrashes()), maxHistoryEntries)] {
			h.Crashes = append(h.Crashes, crash.Crash{Server: c.GetServer(), At: now - historyAge(c.GetAgeUs())})
		}
		for _, r := range w.GetTrials()[:min(len(w.GetTrials()), maxHistoryEntries)] {
			h.Trials = append(h.Trials, crash.Trial{ID: r.GetId(), At: now - historyAge(r.GetAgeUs())})
		}
		out = append(out, h)
	}
	return out
}

// historyName returns a name as it can be sent. It may contain the ID of a part, which callers choose.
func historyName(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxHistoryName)], "?")
}

// historyAge returns an age that a peer sent. A negative one counts as 0, and one over maxHistoryAge as that.
func historyAge(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxHistoryAge.Microseconds())) * time.Microsecond
}
