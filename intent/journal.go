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

// Response is the recorded answer of a finished call.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	Partial bool // the body was too large to keep
}

// Header is one header of an Answer.
type Header struct {
	Name, Value string
}

func (a *Response) size() int64 {
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
	ID          ID
	Fingerprint Fingerprint
	FirstSeen   tick.Instant // when the call was first seen
	TTL         time.Duration
	Serial      uint64    // grows with every change by one owner
	Response    *Response // nil while the outcome is open
	Dropped     bool      // proved not run: the identifier is free again
	InFlight    bool      // the call is on its way in this process
}

func (e *Entry) over(now tick.Instant) bool { return now-e.FirstSeen >= e.TTL }

func (e *Entry) size() int64 { return entryBytes + e.Response.size() }

// Decision is what may be done about a call.
type Decision uint8

// The verdicts of a journal.
const (
	Run            Decision = iota // fresh: the caller of Begin runs it
	Replay                         // finished: the answer is recorded
	Join                           // on its way in this process
	OutcomeUnknown                 // may have run, its answer is not known
	KeyReused                      // the key came with another call before
	Full                           // no room to remember it
)

// Config bounds a Journal.
type Config struct {
	MaxEntries   int64
	MaxBytes     int64 // accounted bytes of entries and answers
	MaxBodyBytes int64 // bytes of a recorded body, larger ones are left out
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
func (j *Journal) Begin(now tick.Instant, id ID, sum Fingerprint, keep time.Duration) (Decision, Entry) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if ok && e.over(now) && !e.InFlight {
		j.remove(s, e)
		ok = false
	}
	if ok {
		return judge(e, sum), *e
	}
	if j.entries.Load() >= j.cfg.MaxEntries || j.bytes.Load()+entryBytes > j.cfg.MaxBytes {
		return Full, Entry{}
	}
	e = &Entry{ID: id, Fingerprint: sum, FirstSeen: now, TTL: keep, Serial: j.serial.Add(1), InFlight: true}
	j.put(s, e)
	return Run, *e
}

// Has reports whether the journal holds a call with the identifier.
func (j *Journal) Has(now tick.Instant, id ID) bool {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && (e.InFlight || !e.over(now))
}

// judge never calls an open entry of a predecessor a clash: buddies may hold an
// outdated sum of it.
func judge(e *Entry, sum Fingerprint) Decision {
	switch {
	case e.Response == nil && !e.InFlight:
		return OutcomeUnknown
	case e.Fingerprint != sum:
		return KeyReused
	case e.InFlight:
		return Join
	default:
		return Replay
	}
}

// Finish records the answer of a call and returns the entry to copy.
func (j *Journal) Finish(id ID, a Response) (Entry, bool) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Entry{}, false
	}
	if int64(len(a.Body)) > j.cfg.MaxBodyBytes || j.bytes.Load()+a.size() > j.cfg.MaxBytes {
		a.Body, a.Partial = nil, true
	}
	j.bytes.Add(a.size() - e.Response.size())
	e.Response, e.InFlight, e.Serial = &a, false, j.serial.Add(1)
	return *e, true
}

// MarkUnknown notes that a call may have run and will never be known better.
func (j *Journal) MarkUnknown(id ID) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		e.InFlight = false
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
	e.InFlight, e.Dropped, e.Serial = false, true, j.serial.Add(1)
	return *e, true
}

// Merge takes over an entry that a buddy held for an earlier process of the
// seat. An answer goes before an open outcome.
func (j *Journal) Merge(in Entry) {
	s := j.shard(in.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	in.InFlight = false
	in.Serial = j.serial.Add(1)
	old, ok := s.entries[in.ID]
	switch {
	case ok && (old.Response != nil || old.InFlight || in.Response == nil):
		return
	case ok:
		j.remove(s, old)
	}
	j.put(s, &in)
}

// ShardEntries returns copies of the entries of shard n.
func (j *Journal) ShardEntries(n int) []Entry {
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
		if e.over(now) && !e.InFlight {
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
