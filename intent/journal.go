package intent

import (
	"sync"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/tick"
)

// Shards is the number of shards of a journal.
const Shards = 16

// entryBytes is the accounted size of an entry without its response.
const entryBytes = 256

// Response is the recorded response of a finished call.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	Partial bool // the body was too large and is left out
}

// Header is one header of a Response.
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

// Entry records one call in a journal. It expires TTL after FirstSeen.
type Entry struct {
	ID          ID
	Fingerprint Fingerprint
	FirstSeen   tick.Instant // when the call arrived first
	TTL         time.Duration
	Serial      uint64    // version of the entry, increases with every change by one owner
	Response    *Response // nil while the outcome is unknown
	Dropped     bool      // the call is proved not to have run, and its identifier may be used again
	InFlight    bool      // this process is running the call
}

func (e *Entry) expired(now tick.Instant) bool { return now-e.FirstSeen >= e.TTL }

func (e *Entry) size() int64 { return entryBytes + e.Response.size() }

// Decision is what the caller of Begin does with a call.
type Decision uint8

// The decisions of a journal.
const (
	Run            Decision = iota // a new call: run it
	Replay                         // finished: return the recorded response
	Join                           // this process is running the call: wait for it
	OutcomeUnknown                 // may have run, and its response is not recorded
	KeyReused                      // the key was used before with a different call
	Full                           // no room to record it
)

// Config bounds a Journal.
type Config struct {
	MaxEntries   int64
	MaxBytes     int64 // accounted size of entries and responses
	MaxBodyBytes int64 // larger response bodies are not recorded
}

// Journal records the keyed calls of one instance. It is safe for concurrent use.
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

// Begin decides about a call that arrived now; its entry expires after ttl. If the decision is Run,
// the returned entry must be replicated to a backup before the call is made. If it is Full, the
// entry is zero.
func (j *Journal) Begin(now tick.Instant, id ID, fp Fingerprint, ttl time.Duration) (Decision, Entry) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if ok && e.expired(now) && !e.InFlight {
		j.remove(s, e)
		ok = false
	}
	if ok {
		return decide(e, fp), *e
	}
	if j.entries.Load() >= j.cfg.MaxEntries || j.bytes.Load()+entryBytes > j.cfg.MaxBytes {
		return Full, Entry{}
	}
	e = &Entry{ID: id, Fingerprint: fp, FirstSeen: now, TTL: ttl, Serial: j.serial.Add(1), InFlight: true}
	j.put(s, e)
	return Run, *e
}

// Has reports whether the journal holds an entry with the identifier that is in flight or
// has not expired.
func (j *Journal) Has(now tick.Instant, id ID) bool {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	return ok && (e.InFlight || !e.expired(now))
}

// decide never returns KeyReused for an unfinished entry of an earlier process, because the
// fingerprint that backups hold of it may be outdated.
func decide(e *Entry, fp Fingerprint) Decision {
	switch {
	case e.Response == nil && !e.InFlight:
		return OutcomeUnknown
	case e.Fingerprint != fp:
		return KeyReused
	case e.InFlight:
		return Join
	default:
		return Replay
	}
}

// Finish records the response of a call and returns the entry to replicate. It returns false if the
// journal holds no such call.
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

// MarkUnknown records that a call may have run and that its outcome will stay unknown.
func (j *Journal) MarkUnknown(id ID) {
	s := j.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		e.InFlight = false
	}
}

// Drop removes a call that is proved not to have run, so that its identifier may be used again. It
// returns the entry to replicate, and false if the journal holds no such call.
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

// Merge adds an entry that a backup held for an earlier process of the instance. A recorded response
// takes precedence over an unknown outcome.
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

// Expire removes the expired entries of shard n, except those of running calls.
func (j *Journal) Expire(now tick.Instant, n int) {
	s := &j.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.expired(now) && !e.InFlight {
			j.remove(s, e)
		}
	}
}

// Len returns the number of entries.
func (j *Journal) Len() int64 { return j.entries.Load() }

// Bytes returns the accounted size of the journal's entries and responses.
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
