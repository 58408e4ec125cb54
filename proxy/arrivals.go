package proxy

import "sync"

// arrivals counts the arrivals of one request of a caller at servers that the retry budget counts: each
// write of the request, whether the server runs or rejects it, except for the first prefill that a server
// accepts. The first arrival is free, and each further one takes a retry from the budget. arrivals is safe
// for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	counted int
	retries int // retries taken from the budget
}

// pay makes sure that n more arrivals are free or paid for. It takes the retries that are missing with
// spend. It returns false if there are not enough.
func (a *arrivals) pay(n int, spend func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.payLocked(n, spend)
}

// payLocked is pay for a caller that holds a.mu.
func (a *arrivals) payLocked(n int, spend func() bool) bool {
	for a.retries < a.counted+n-1 {
		if !spend() {
			return false
		}
		a.retries++
	}
	return true
}

// count pays for one more arrival and counts it. It must be called before the request is written. It
// returns false if no retry is left.
func (a *arrivals) count(spend func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.payLocked(1, spend) {
		return false
	}
	a.counted++
	return true
}

// uncount takes back an arrival that turned out not to count. What was paid for it is left for the next
// one.
func (a *arrivals) uncount() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counted--
}
