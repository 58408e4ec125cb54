package admit

import (
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// readFixed is the time of reading a prompt that does not depend on its
	// length.
	readFixed = 20 * time.Millisecond
	// selfFactor is how much longer a decode server takes to read a prompt.
	selfFactor = 2.5
	// farCost is added for a server in another data centre of the region, and
	// abroadCost for one in another region, where the KV cache and every event
	// travel a link that is slow and paid.
	farCost    = 2 * time.Millisecond
	abroadCost = 150 * time.Millisecond
	// dialCost is added for a server to which no connection is open: a round
	// trip, and the slot that a new connection may hold for a while.
	dialCost = 5 * time.Millisecond
	// fullCost is the penalty of a decode server without a free block,
	// proportional below: memory that is nearly used up preempts.
	fullCost = 60 * time.Millisecond
	// blurEach is by how much costs that differ count as alike, for each
	// instance: the more there are, the more requests are placed before all hear
	// of them, and the more would go to the one server that looks best. It is
	// blurMost at most.
	blurEach = 200 * time.Microsecond
	blurMost = 20 * time.Millisecond
	// memoryShare is the part of a server's memory that is handed out. The
	// rest covers what other instances place at the same time.
	memoryShare = 0.95
	// pauseDefault is the expected pause between events as a part of the
	// longest one that is on time, until streams tell.
	pauseDefault = 0.5
)

func (b *Balancer) distance(s *route.Server) time.Duration {
	switch {
	case s.Centre == b.cfg.Centre:
		return 0
	case s.Region == b.cfg.Region:
		return farCost
	}
	return abroadCost
}

// blur returns the span within which costs count as alike.
func (b *Balancer) blur() time.Duration {
	if b.cfg.Instances == nil || b.cfg.Random == nil {
		return 0
	}
	return min(time.Duration(b.cfg.Instances())*blurEach, blurMost)
}

// random returns a part of the span.
func (b *Balancer) random(span time.Duration) time.Duration {
	if span == 0 {
		return 0
	}
	return time.Duration(b.cfg.Random() * float64(span))
}

// dial returns the cost of opening a connection to a server.
func (b *Balancer) dial(s *route.Server) time.Duration {
	if b.cfg.Connected == nil || b.cfg.Connected(s.Addr) {
		return 0
	}
	return dialCost
}

// readCost returns the expected time until a prefill server has read the
// prompt.
func (b *Balancer) readCost(w *Request, s *route.Server, l *serverLoad, now tick.Instant) time.Duration {
	tokens := l.reading + l.peers.PrefillTokens + w.Prompt
	return b.distance(s) + readFixed + span(float64(tokens)/l.pace(now))
}

// selfCost returns the expected time until a decode server has read the prompt
// itself, between the tokens of what runs there.
func (b *Balancer) selfCost(w *Request, s *route.Server, l *serverLoad, now tick.Instant) time.Duration {
	tokens := l.reading + l.peers.PrefillTokens + w.Prompt
	factor := selfFactor
	if s.Stage == route.StageBoth {
		factor = 1
	}
	return readFixed + span(float64(tokens)/l.pace(now)*factor)
}

// reading returns the time in which an idle server reads a prompt.
func reading(w *Request) time.Duration { return readFixed + span(float64(w.Prompt)/speedDefault) }

// decodeCost returns the penalty of a decode server, false if it has no room.
func (b *Balancer) decodeCost(w *Request, s *route.Server, l *serverLoad, engine *route.Engine, now tick.Instant) (time.Duration, bool) {
	room := float64(engine.KVTokens) * memoryShare
	if now < l.full {
		return 0, false
	}
	used := float64(l.memory + l.peers.KVTokens)
	if used > 0 && used+float64(w.KVTokens()) > room || l.running+l.peers.Running >= engine.Slots {
		return 0, false
	}
	return b.distance(s) + time.Duration(float64(fullCost)*used/room), true
}

// stalls tells whether the streams that run at a decode server would pause for
// longer than is on time if it read the prompt itself. Several pieces of a
// prompt may fall between two events, since an event may carry several tokens.
func (b *Balancer) stalls(w *Request, s *route.Server, l *serverLoad, now tick.Instant) bool {
	if w.GapTarget <= 0 || l.running+l.peers.Running == 0 {
		return false
	}
	pause := l.pause
	if pause == 0 {
		pause = time.Duration(pauseDefault * float64(w.GapTarget))
	}
	return pause+b.selfCost(w, s, l, now) > w.GapTarget
}

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
