package admit

import (
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// prefillOverhead is the part of the time to prefill a prompt that does not depend on its
	// length.
	prefillOverhead = 20 * time.Millisecond
	// localPrefillFactor is how many times longer a decode server takes to prefill a prompt than a
	// prefill server.
	localPrefillFactor = 2.5
	// otherCentreCost is added for a server in another data centre of the same region.
	// otherRegionCost is added for a server in another region, because the KV cache and every
	// event cross a link that is slow and charged for.
	otherCentreCost = 2 * time.Millisecond
	otherRegionCost = 150 * time.Millisecond
	// leaveShare is the part of the latency target by which a request must begin earlier to leave a
	// data centre. It is above the jitter of costs, so that requests do not leave by chance.
	leaveShare = 0.05
	// coldServerCost is added for a server that warms up. Such a server is slow, so it is chosen if the
	// others would begin later by as much.
	coldServerCost = 50 * time.Millisecond
	// newConnectionCost is added for a server without an open connection. It covers a round trip
	// and the slot that a new connection may occupy for a while.
	newConnectionCost = 5 * time.Millisecond
	// fullMemoryCost is the cost of a decode server without a free block. The cost is
	// proportional to the used memory, because a server that is nearly out of memory preempts
	// requests.
	fullMemoryCost = 60 * time.Millisecond
	// jitterPerInstance times the number of instances is the range of the random cost that is
	// added for each server, at most maxJitter. With the jitter, servers of similar cost are chosen
	// about equally often. With more instances, more requests are placed before all instances have
	// received the new load. Without jitter, these requests would go to the same server.
	jitterPerInstance = 200 * time.Microsecond
	maxJitter         = 20 * time.Millisecond
	// usableMemoryShare is the part of a server's memory that may be allocated. The rest covers what
	// other instances place at the same time.
	usableMemoryShare = 0.95
	// defaultGapShare is the expected gap between events as a part of the gap target, until gaps
	// of streams have been measured.
	defaultGapShare = 0.5
)

// location is a data centre and its region.
type location struct{ centre, region string }

// crossingCost returns the cost of a server for the traffic between its data centre and p. Crossing takes little time, but the
// links between data centres are shared and paid by volume. A request therefore leaves a data centre if it is expected to begin
// earlier by leaveShare of its latency target. It needs no share of requests to be agreed on: each request that leaves makes
// the other servers less attractive for the next one, and the jitter spreads those that instances send before they hear of each
// other's.
func (p location) crossingCost(r *Request, s *route.Server) time.Duration {
	gain := time.Duration(leaveShare * float64(r.LatencyTarget))
	switch {
	case s.Centre == p.centre:
		return 0
	case s.Region == p.region:
		return max(otherCentreCost, gain)
	default:
		return otherRegionCost + gain
	}
}

// jitterSpan returns the range of the random cost. It returns 0 if costs are compared without
// jitter.
func (b *Balancer) jitterSpan() time.Duration {
	if b.cfg.Instances == nil || b.cfg.Random == nil {
		return 0
	}
	return min(time.Duration(b.cfg.Instances())*jitterPerInstance, maxJitter)
}

// jitter returns a random duration in [0, span).
func (b *Balancer) jitter(span time.Duration) time.Duration {
	if span == 0 {
		return 0
	}
	return time.Duration(b.cfg.Random() * float64(span))
}

// warmupCost returns the cost of a server for being cold, 0 for a warm one.
func (b *Balancer) warmupCost(s *route.Server) time.Duration {
	if b.cfg.Warming == nil || !b.cfg.Warming(s) {
		return 0
	}
	return coldServerCost
}

// connectionCost returns the cost of opening a connection to a server, 0 if one is open.
func (b *Balancer) connectionCost(s *route.Server) time.Duration {
	if b.cfg.Connected == nil || b.cfg.Connected(s.Addr) {
		return 0
	}
	return newConnectionCost
}

// prefillCost returns the expected time until a prefill server has prefilled the prompt.
func (b *Balancer) prefillCost(r *Request, l *serverLoad, now tick.Instant) time.Duration {
	tokens := l.prefillTokens + l.peers.PrefillTokens + r.Prompt
	return prefillOverhead + toDuration(float64(tokens)/l.currentPrefillRate(now))
}

// localPrefillCost returns the expected time until a decode server has prefilled the prompt
// itself, interleaved with the decode steps of its running requests.
func (b *Balancer) localPrefillCost(r *Request, s *route.Server, l *serverLoad, now tick.Instant) time.Duration {
	tokens := l.prefillTokens + l.peers.PrefillTokens + r.Prompt
	factor := localPrefillFactor
	if s.Stage == route.StageBoth {
		factor = 1
	}
	return prefillOverhead + toDuration(float64(tokens)/l.currentPrefillRate(now)*factor)
}

// idlePrefillTime returns the time in which an idle server prefills a prompt.
func idlePrefillTime(r *Request) time.Duration {
	return prefillOverhead + toDuration(float64(r.Prompt)/defaultPrefillRate)
}

// decodeCost returns the cost of a decode server, or false if it has no room.
func (b *Balancer) decodeCost(r *Request, l *serverLoad, engine *route.Engine, now tick.Instant) (time.Duration, bool) {
	room := float64(engine.KVTokens) * usableMemoryShare
	if now < l.fullUntil {
		return 0, false
	}
	used := float64(l.kvTokens + l.peers.KVTokens)
	if used > 0 && used+float64(r.KVTokens()) > room || l.running+l.peers.Running >= engine.Slots {
		return 0, false
	}
	return time.Duration(float64(fullMemoryCost) * used / room), true
}

// stallsStreams reports whether the streams of a decode server would pause for longer than the gap
// target if the server prefilled the prompt itself. The whole prefill time counts as one pause: an
// event may carry several tokens, so several chunks of the prompt may be prefilled between two
// events.
func (b *Balancer) stallsStreams(r *Request, s *route.Server, l *serverLoad, now tick.Instant) bool {
	if r.GapTarget <= 0 || l.running+l.peers.Running == 0 {
		return false
	}
	gap := l.eventGap
	if gap == 0 {
		gap = time.Duration(defaultGapShare * float64(r.GapTarget))
	}
	return gap+b.localPrefillCost(r, s, l, now) > r.GapTarget
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
