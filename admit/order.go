package admit

import (
	"strconv"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// maxPriority is the least urgent priority that instances tell apart in each other's queues.
	maxPriority = 9
	// yieldReserve is how much earlier than needed a request stops to yield. It covers the interval of the
	// reports in a fleet of a hundred instances.
	yieldReserve = 200 * time.Millisecond
)

// reportedPriority returns a priority as instances tell it apart in each other's queues.
func reportedPriority(priority int) int { return min(max(priority, 0), maxPriority) }

// queueHash returns the key of the requests of one priority that are queued for a service, in the loads that instances
// report to each other.
func queueHash(service string, priority int) uint64 {
	return route.Hash(service + "#" + strconv.Itoa(reportedPriority(priority)))
}

// before reports whether a goes before b: streams that are resumed come first, as their callers already have a part of the
// response, then requests that can still be on time, then those with the more urgent priority, then those with
// the earlier due time.
func (s *Scheduler) before(a, b *Request, now tick.Instant) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if la, lb := s.late(a, now), s.late(b, now); la != lb {
		return lb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Due < b.Due
}

// late reports whether a request that starts now is expected to have its first event at or after
// its due time. The estimate is based on the delays of recent requests.
func (s *Scheduler) late(r *Request, now tick.Instant) bool {
	return now+s.balancer.expectedTTFT(r) >= r.Due
}

// yields reports whether a queued request leaves the next free place to another instance. It does so if it will be late anyway and
// a request queued at another instance can still be on time. A resumed stream never yields, because its caller already has a part
// of the answer.
func (s *Scheduler) yields(r *Request, now tick.Instant) bool {
	if r.Resumed || !s.late(r, now) {
		return s.yieldsToUrgent(r, now)
	}
	return s.balancer.queuedElsewhere(r.Service, maxPriority) > 0
}

// yieldsToUrgent reports whether a request leaves a free place to a more urgent one that is queued at another instance and can
// still be on time. It does so as long as it can be on time itself, less yieldReserve.
func (s *Scheduler) yieldsToUrgent(r *Request, now tick.Instant) bool {
	if r.Resumed || r.Priority <= 0 || s.late(r, now+yieldReserve) {
		return false
	}
	return s.balancer.queuedElsewhere(r.Service, reportedPriority(r.Priority)-1) > 0
}
