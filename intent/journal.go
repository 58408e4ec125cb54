package intent

import (
	"sync"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/tick"
)

// Shards is the number of shards of a journal.
const Shards = 16

// entryBytes is the accounted size of an entry without its answer.
const entryBytes = 256

// Answer is the recorded answer of a finished call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	Partial bool // the body was too large to keep
}

// Header is one header of an Answer.
type Header struct {
	Name, Value string
}

func (a *Answer) size() int64 {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return int64(n)
}

// Entry is one call in a journal.
type Entry struct {
	ID      ID
	Sum     Sum
	At      tick.Instant // when the call was first seen
	Keep    time.Duration
	Serial  uint64  // grows with every change by one owner
	Answer  *Answer // nil while the outcome is open
	Dropped bool    // proved not run: the identifier is free again
	Live    bool    // the call is on its way in this process
}

func (e *Entry) over(now tick.Instant) bool { return now-e.At >= e.Keep }

func (e *Entry) size() int64 { return entryBytes + e.Answer.size() }

// Verdict is what may be done about a call.
type Verdict uint8

// The verdicts of a journal.
const (
	Run    Verdict = iota // fresh: the caller of Begin runs it
	Replay                // finished: the answer is recorded
	Join                  // on its way in this process
	Lost                  // may have run, its answer is not known
	Clash                 // the key came with another call before
	Full                  // no room to remember it
)

// Config bounds a Journal.
type Config struct {
	MaxEntries int64
	MaxBytes   int64 // accounted bytes of entries and answers
	MaxAnswer  int64 // bytes of a recorded body, larger ones are left out
}

// Journal remembers the keyed calls of one seat.
type Journal struct {
	cfg     Config
	serial  atomic.Uint64
	entries atomic.Int64
	bytes   atomic.Int64
	shards  [Shards]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[ID]*Entry
}

// NewJournal returns an empty journal.
func NewJournal(cfg Config) *Journal {
	j := &Journal{cfg: cfg}
	for i := range j.shards {
		j.shards[i].entries = make(map[ID]*Entry)
	}
	return j
}

func (j *Journal) shard(id ID) *shard { return &j.shards[id[0]%Shards] }

// Begin decides about a call that arrived now. If the verdict is Run, the
// returned entry must be copied to a buddy before the call is made.
func (j *Journal) Begin(now tick.Instant, id ID, sum Sum, keep time.Duration) (Verdict, Entry) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if ok && e.over(now) && !e.Live {
		j.remove(s, e)
		ok = false
	}
	if ok {
		return judge(e, sum), *e
	}
	if j.entries.Load() >= j.cfg.MaxEntries || j.bytes.Load()+entryBytes > j.cfg.MaxBytes {
		return Full, Entry{}
	}
	e = &Entry{ID: id, Sum: sum, At: now, Keep: keep, Serial: j.serial.Add(1), Live: true}
	j.put(s, e)
	return Run, *e
}

// Has reports whether the journal holds a call with the identifier.
func (j *Journal) Has(now tick.Instant, id ID) bool {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && (e.Live || !e.over(now))
}

// judge never calls an open entry of a predecessor a clash: buddies may hold an
// outdated sum of it.
func judge(e *Entry, sum Sum) Verdict {
	switch {
	case e.Answer == nil && !e.Live:
		return Lost
	case e.Sum != sum:
		return Clash
	case e.Live:
		return Join
	default:
		return Replay
	}
}

// Finish records the answer of a call and returns the entry to copy.
func (j *Journal) Finish(id ID, a Answer) (Entry, bool) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Entry{}, false
	}
	if int64(len(a.Body)) > j.cfg.MaxAnswer || j.bytes.Load()+a.size() > j.cfg.MaxBytes {
		a.Body, a.Partial = nil, true
	}
	j.bytes.Add(a.size() - e.Answer.size())
	e.Answer, e.Live, e.Serial = &a, false, j.serial.Add(1)
	return *e, true
}

// Lose notes that a call may have run and will never be known better.
func (j *Journal) Lose(id ID) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		e.Live = false
	}
}

// Drop frees the identifier of a call that is proved not to have run, and
// returns the entry to copy.
func (j *Journal) Drop(id ID) (Entry, bool) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Entry{}, false
	}
	j.remove(s, e)
	e.Live, e.Dropped, e.Serial = false, true, j.serial.Add(1)
	return *e, true
}

// Merge takes over an entry that a buddy held for an earlier process of the
// seat. An answer goes before an open outcome.
func (j *Journal) Merge(in Entry) {
	s := j.shard(in.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	in.Live = false
	in.Serial = j.serial.Add(1)
	old, ok := s.entries[in.ID]
	switch {
	case ok && (old.Answer != nil || old.Live || in.Answer == nil):
		return
	case ok:
		j.remove(s, old)
	}
	j.put(s, &in)
}

// Page returns copies of the entries of shard n.
func (j *Journal) Page(n int) []Entry {
	s := &j.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, *e)
	}
	return out
}

// Expire forgets the entries of shard n whose age is over.
func (j *Journal) Expire(now tick.Instant, n int) {
	s := &j.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.over(now) && !e.Live {
			j.remove(s, e)
		}
	}
}

// Len returns the number of entries.
func (j *Journal) Len() int64 { return j.entries.Load() }

// Bytes returns the accounted size of the journal.
func (j *Journal) Bytes() int64 { return j.bytes.Load() }

func (j *Journal) put(s *shard, e *Entry) {
	s.entries[e.ID] = e
	j.entries.Add(1)
	j.bytes.Add(e.size())
}

func (j *Journal) remove(s *shard, e *Entry) {
	delete(s.entries, e.ID)
	j.entries.Add(-1)
	j.bytes.Add(-e.size())
}
