// Package health judges backend servers by their answers.
//
// # Usage
//
//	b := health.NewBook()
//	if b.Usable(srv.Key(), now) { ... }
//	b.Failed(srv.Key(), now)
//	b.Served(srv.Key(), now)
//
// # Judgment
//
// A server that fails Strikes requests in a row, with no answer between them,
// is set aside. After a pause it is tried again by one request at a time, and
// the pause doubles while it goes on failing. A server that never answers a
// new connection is set aside at once, since nothing can have run there.
//
// The caller decides what to do when all servers are set aside; the book never
// forbids the last one.
package health

import (
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// The parameters of the judgment.
const (
	// Strikes is the number of failures in a row that set a server aside.
	Strikes = 3
	// pauseLeast and pauseMost bound the time for which a server is set aside.
	pauseLeast = time.Second
	pauseMost  = 8 * time.Second
	// forget is the time after which an unused record is dropped.
	forget = time.Minute
)

// record is what is known of one server.
type record struct {
	strikes int
	pause   time.Duration
	until   tick.Instant // set aside until then
	seen    tick.Instant
}

// Book keeps the records of servers. It may be used concurrently.
type Book struct {
	mu      sync.Mutex
	records map[string]*record
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{records: make(map[string]*record)} }

// Usable tells whether a server may be given a request.
func (b *Book) Usable(key string, now tick.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[key]
	if !ok || r.pause == 0 {
		return true
	}
	return now >= r.until
}

// Chosen says that a request goes to the server. Where it was set aside, no
// other one does until the outcome is known or the trial is out of date.
func (b *Book) Chosen(key string, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.records[key]; ok && r.pause > 0 {
		r.until = now + r.pause
	}
}

// Served says that the server answered a request.
func (b *Book) Served(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, key)
}

// Failed says that the server failed a request. With silent set it took no
// connection at all.
func (b *Book) Failed(key string, silent bool, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[key]
	if !ok {
		r = &record{}
		b.records[key] = r
	}
	r.seen = now
	r.strikes++
	if silent {
		r.strikes = max(r.strikes, Strikes)
	}
	if r.strikes < Strikes {
		return
	}
	r.pause = min(max(2*r.pause, pauseLeast), pauseMost)
	r.until = now + r.pause
}

// Sweep drops the records that were not used for long.
func (b *Book) Sweep(now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, r := range b.records {
		if now-r.seen > forget {
			delete(b.records, k)
		}
	}
}
