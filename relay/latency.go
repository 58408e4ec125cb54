package relay

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of one more answer in the
	// mean time to it and in the mean deviation from that.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is how many mean deviations later than the mean an answer is
	// still usual.
	deviations = 4
)

// latency is how long the servers of a service take.
type latency struct {
	mean      time.Duration
	deviation time.Duration
}

// add takes in the time to one more answer.
func (l *latency) add(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	off := took - l.mean
	l.mean += time.Duration(meanWeight * float64(off))
	l.deviation += time.Duration(deviationWeight * float64(max(off, -off)-l.deviation))
}

// usual returns the time within which an answer usually comes.
func (l *latency) usual() time.Duration { return l.mean + deviations*l.deviation }

// latencies keeps the latency of each service.
type latencies struct {
	mu sync.Mutex
	of map[string]*latency
}

func newLatencies() latencies { return latencies{of: make(map[string]*latency)} }

func (l *latencies) add(service string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.of[service]
	if !ok {
		o = &latency{}
		l.of[service] = o
	}
	o.add(took)
}

func (l *latencies) usual(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.of[service]; ok {
		return o.usual()
	}
	return 0
}
