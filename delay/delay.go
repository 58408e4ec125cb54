// Package delay estimates how long something usually takes from how long it
// took before.
//
// # Usage
//
//	b := delay.NewBook()
//	b.Add("notes", took)
//	late := took > b.Usual("notes", 4)
//
// The estimate is a mean and a mean deviation in which older times count less
// and less, as the retransmission timer of TCP keeps them.
package delay

import (
	"sync"
	"time"
)

// meanWeight and deviationWeight are the weights of one more time in the mean
// and in the mean deviation from it.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// Estimate is how long one thing takes. The zero value knows nothing. It is not
// safe for concurrent use; a Book is.
type Estimate struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// Add takes in one more time.
func (e *Estimate) Add(took time.Duration) {
	if !e.known {
		e.known, e.mean, e.deviation = true, took, max(took, -took)/2
		return
	}
	off := took - e.mean
	e.mean += time.Duration(meanWeight * float64(off))
	e.deviation += time.Duration(deviationWeight * float64(max(off, -off)-e.deviation))
}

// UpperBound returns the mean and some deviations more, 0 if nothing is known.
func (e *Estimate) UpperBound(deviations float64) time.Duration {
	return e.mean + time.Duration(deviations*float64(e.deviation))
}

// Estimates keeps estimates by name. It may be used concurrently.
type Estimates struct {
	mu sync.Mutex
	of map[string]*Estimate
}

// NewEstimates returns an empty Book.
func NewEstimates() *Estimates { return &Estimates{of: make(map[string]*Estimate)} }

// Add takes in one more time of a name.
func (b *Estimates) Add(name string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.of[name]
	if !ok {
		e = &Estimate{}
		b.of[name] = e
	}
	e.Add(took)
}

// UpperBound returns the estimate of a name, 0 if nothing is known of it.
func (b *Estimates) UpperBound(name string, deviations float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.of[name]
	if !ok {
		return 0
	}
	return e.UpperBound(deviations)
}
