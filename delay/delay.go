// Package delay estimates from samples how long an operation takes.
//
// # Usage
//
//	e := delay.NewEstimates()
//	e.Add("notes", took)
//	late := took > e.UpperBound("notes", 4)
//
// An estimate consists of an exponential moving average and a moving mean deviation, as in
// the retransmission timer of TCP.
//
// # Concurrency
//
// Estimates is safe for concurrent use, an Estimate is not.
package delay

import (
	"sync"
	"time"
)

// meanGain and deviationGain are the weights of a new sample in the mean and in the mean
// deviation from it.
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// Estimate estimates the duration of one operation. The zero value has no samples. It is
// not safe for concurrent use; Estimates is.
type Estimate struct {
	hasSample bool
	mean      time.Duration
	deviation time.Duration
}

// Add adds a sample.
func (e *Estimate) Add(sample time.Duration) {
	if !e.hasSample {
		e.hasSample, e.mean, e.deviation = true, sample, max(sample, -sample)/2
		return
	}
	diff := sample - e.mean
	e.mean += time.Duration(meanGain * float64(diff))
	e.deviation += time.Duration(deviationGain * float64(max(diff, -diff)-e.deviation))
}

// UpperBound returns the mean plus the given number of mean deviations, or 0 if there are no
// samples.
func (e *Estimate) UpperBound(deviations float64) time.Duration {
	return e.mean + time.Duration(deviations*float64(e.deviation))
}

// Estimates holds estimates by name. It is safe for concurrent use.
type Estimates struct {
	mu        sync.Mutex
	estimates map[string]*Estimate
}

// NewEstimates returns an Estimates without samples.
func NewEstimates() *Estimates { return &Estimates{estimates: make(map[string]*Estimate)} }

// Add adds a sample to the estimate of a name.
func (m *Estimates) Add(name string, sample time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.estimates[name]
	if !ok {
		e = &Estimate{}
		m.estimates[name] = e
	}
	e.Add(sample)
}

// UpperBound returns the mean of a name plus the given number of mean deviations, or 0 if the
// name has no samples.
func (m *Estimates) UpperBound(name string, deviations float64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.estimates[name]
	if !ok {
		return 0
	}
	return e.UpperBound(deviations)
}
