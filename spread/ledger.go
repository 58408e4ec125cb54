package spread

import (
	"crypto/sha256"
	"strconv"
	"sync"

	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

const (
	// maxRefused bounds the versions that are remembered as refused.
	maxRefused = 8
	// maxFaults bounds the faults that are shown of a refused version.
	maxFaults = 50
)

// ledger holds the version in force and decides what may replace it.
type ledger struct {
	mu      sync.Mutex
	version Version
	table   *table.Table
	head    []byte
	parts   map[[sha256.Size]byte][]byte
	since   tick.Instant
	refused []refusal // oldest first
	badHead string    // why the platform's last head could not be read
}

// refusal is a version that was kept out.
type refusal struct {
	version Version
	faults  []string
}

// wants reports whether v would replace the version in force and has not been
// refused.
func (l *ledger) wants(v Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return v.After(l.version) && !l.isRefused(v)
}

func (l *ledger) isRefused(v Version) bool {
	for _, r := range l.refused {
		if r.version == v {
			return true
		}
	}
	return false
}

func (l *ledger) current() (Version, *table.Table, tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.table, l.since
}

// value returns a value of the version in force by its sum.
func (l *ledger) value(sum [sha256.Size]byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sum == l.version.Sum && l.head != nil {
		return l.head
	}
	return l.parts[sum]
}

// take puts a version in force if it passes every check. The parts are in the
// order of the head.
func (l *ledger) take(v Version, headData []byte, head table.Head, parts [][]byte, now tick.Instant) bool {
	t, faults := table.Load(head, parts)
	if len(faults) > 0 {
		l.refuse(v, faults)
		return false
	}
	held := make(map[[sha256.Size]byte][]byte, len(parts))
	for i, p := range head.Parts {
		held[p.Sum] = parts[i]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !v.After(l.version) {
		return false
	}
	l.version, l.table, l.head, l.parts, l.since = v, t, headData, held, now
	return true
}

// refuse remembers why a version is kept out.
func (l *ledger) refuse(v Version, faults []table.Fault) {
	r := refusal{version: v}
	for i, f := range faults {
		if i == maxFaults {
			r.faults = append(r.faults, "and "+strconv.Itoa(len(faults)-maxFaults)+" more")
			break
		}
		r.faults = append(r.faults, f.String())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isRefused(v) {
		return
	}
	l.refused = append(l.refused, r)
	if len(l.refused) > maxRefused {
		l.refused = l.refused[1:]
	}
}

// setBadHead remembers why the platform's head cannot be read, empty if it
// can.
func (l *ledger) setBadHead(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.badHead = reason
}

// refusals returns the newest refused revision that concerns the one in force,
// zero if there is none, and its faults.
func (l *ledger) refusals() (revision uint64, faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last refusal
	for _, r := range l.refused {
		concerns := r.version.Revision >= l.version.Revision
		if concerns && r.version.After(last.version) {
			last = r
		}
	}
	if l.badHead != "" {
		faults = append(faults, l.badHead)
	}
	return last.version.Revision, append(faults, last.faults...)
}
