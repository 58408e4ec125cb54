// Package usual estimates how long requests take by what earlier ones of the same route and service took.
//
// An estimate says what is usual, not what may happen. It suits a choice between two ways that a caller survives, and nothing
// that must hold.
//
// # Usage
//
//	t := usual.NewTimes()
//	k := usual.Key{Route: "notes", Service: "llm"}
//	t.Record(k, usual.Sample{Size: 70, First: 300 * time.Millisecond, Total: 1700 * time.Millisecond})
//	took, ok := t.Of(k, 70)
//
// The size of a request is the number of tokens that it is expected to generate, or 0 if it names none. The time after the first
// event is held to grow with the size.
//
// # Concurrency
//
// Times is safe for concurrent use.
package usual

import (
	"sync"
	"time"

	"wasabidock.dev/dock/delay"
)

const (
	// deviations is the number of mean deviations by which a usual time exceeds the mean.
	deviations = 2
	// maxKeys bounds the keys that are kept.
	maxKeys = 4096
)

// Key names requests that are held to be alike.
type Key struct {
	Route   string
	Service string
	Sized   bool // they name the tokens that they may generate
}

// Sample is what one request took.
type Sample struct {
	Size  int           // see the package comment
	First time.Duration // until the first event, or the whole response if it has no events
	Total time.Duration // until the end
}

// estimate is what is known of a key.
type estimate struct {
	first delay.Estimate
	rest  delay.Estimate // time after the first event, for each unit of the size
}

// Times holds the estimates.
type Times struct {
	mu   sync.Mutex
	keys map[Key]*estimate
}

// NewTimes returns a Times without samples.
func NewTimes() *Times { return &Times{keys: make(map[Key]*estimate)} }

// Record adds a sample.
func (t *Times) Record(k Key, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.keys[k]
	if !ok {
		if len(t.keys) >= maxKeys {
			clear(t.keys)
		}
		e = &estimate{}
		t.keys[k] = e
	}
	e.first.Add(s.First)
	e.rest.Add((s.Total - s.First) / time.Duration(max(s.Size, 1)))
}

// Of returns how long a request of the given size usually takes at most. Ok is false if no such request has ended yet.
func (t *Times) Of(k Key, size int) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.keys[k]
	if !ok {
		return 0, false
	}
	return e.first.UpperBound(deviations) + time.Duration(max(size, 1))*e.rest.UpperBound(deviations), true
}
