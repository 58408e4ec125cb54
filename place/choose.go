package place

import (
	"slices"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// affinityWeight weighs the prefill time that a cached prefix saves, both for this request and for
	// those queued behind it. A server with the prefix is preferred until its queue is longer than that
	// of another server by this multiple of the saving.
	affinityWeight = 2
	// reserveDivisor determines how many prefill servers with a short queue are reserved for other
	// requests: a deferrable request is placed only if more than 1/reserveDivisor of the usable
	// servers have a short queue. A single usable server is not reserved.
	reserveDivisor = 8
	// maxDeferrableWait is the longest expected wait at a prefill server for a deferrable request. No
	// deferrable request is placed at a server with a longer wait.
	maxDeferrableWait = 50 * time.Millisecond
	// fullServerScore is the amount, in seconds, by which the score of a decode server without a free
	// slot exceeds that of an empty one.
	fullServerScore = 0.2
	// gapPenaltyTokens is the number of output tokens for which the score counts the time above the
	// target between tokens.
	gapPenaltyTokens = 20
	// tieThreshold is the difference in seconds up to which scores are equal.
	tieThreshold = 0.001
)

// Query holds the properties of a request on which the choice of servers depends.
type Query struct {
	PromptTokens int64
	BlockHashes  []uint64       // hashes of the whole blocks of the prompt
	Avoid        []ident.Server // servers that are not chosen
	KVSource     ident.Server   // prefill server that holds the KV cache already, empty if none
	Deferrable   bool           // the class of the request can wait
	FirstTokenBy tick.Instant   // latest instant of the first token
	GapTarget    time.Duration  // target for the time between tokens, zero if none
}

// Outcome is the outcome of Choose.
type Outcome uint8

// The outcomes of Choose.
const (
	Chosen     Outcome = iota
	NoCapacity         // no server has capacity now
	TooLate            // the first token would come after its target
	NoServer           // no server may be used at all
)

// Choice is a pair of servers and the figures that led to it. Scores are in seconds; lower is
// better.
type Choice struct {
	Prefill             ident.Server
	Decode              ident.Server
	RunnerUp            ident.Server // second best prefill server
	DecodeRunnerUp      ident.Server
	Score               float64 // score of the prefill server
	RunnerUpScore       float64
	DecodeScore         float64
	DecodeRunnerUpScore float64
	CachedTokens        int64         // prompt tokens expected in the prefix cache
	PrefillWait         time.Duration // expected wait at the prefill server
	PrefillTime         time.Duration
	LinkWait            time.Duration // expected wait between prefill and transfer
	TransferTime        time.Duration
	TTFT                time.Duration // from now to the first token
	BusySlots           int           // decode slots in use at the chosen server
	Slots               int           // all decode slots of the chosen server

	prefillIndex int // -1 if the prefill server is no longer configured
	decodeIndex  int
	transferEnd  tick.Instant
}

// Choose picks servers for the query. The Choice is complete only if the Outcome is Chosen.
func (p *Pool) Choose(q *Query, now tick.Instant) (Choice, Outcome) {
	c := Choice{prefillIndex: -1, decodeIndex: -1}
	ready := now
	if q.KVSource != "" {
		c.Prefill = q.KVSource
		if i, ok := p.byName[q.KVSource]; ok {
			c.prefillIndex = i
		}
	} else {
		if v := p.choosePrefill(q, now, &c); v != Chosen {
			return c, v
		}
		ready += c.PrefillWait + c.PrefillTime
	}
	if v := p.chooseDecode(q, now, ready, &c); v != Chosen {
		return c, v
	}
	c.TTFT = c.transferEnd - now + p.tokenInterval(p.servers[c.decodeIndex])
	if now+c.TTFT > q.FirstTokenBy {
		return c, TooLate
	}
	return c, Chosen
}

// choosePrefill picks a prefill server and sets the prefill fields of c.
func (p *Pool) choosePrefill(q *Query, now tick.Instant, c *Choice) Outcome {
	p.prefixes.match(q.BlockHashes, p.depth)
	limit := p.cfg.MaxPrefillWait
	if q.Deferrable {
		limit = maxDeferrableWait
	}
	usable, shortQueues, late := 0, 0, 0
	r := newRanking()
	skip := p.sample(p.prefill)
	for n, i := range p.prefill {
		s := p.servers[i]
		if !p.usable(s, q, now) {
			continue
		}
		usable++
		wait := s.prefillWait(now)
		if wait <= p.cfg.MaxPrefillWait {
			shortQueues++
		}
		if wait > limit || skip.skips(n) {
			continue
		}
		run := s.prefillTime(q.PromptTokens - p.cachedTokens(i, q))
		if now+wait+run > q.FirstTokenBy {
			late++
			continue
		}
		saved := s.prefillTime(q.PromptTokens) - run
		score := wait + run - (affinityWeight-1)*saved
		r.add(i, score.Seconds(), p)
	}
	switch {
	case usable == 0:
		return NoServer
	case r.best < 0 && late > 0:
		return TooLate
	case r.best < 0:
		return NoCapacity
	case q.Deferrable && usable > 1 && shortQueues <= (usable+reserveDivisor-1)/reserveDivisor:
		return NoCapacity
	}
	s := p.servers[r.best]
	c.prefillIndex = r.best
	c.Prefill = s.spec.Name
	c.Score = r.bestScore
	c.CachedTokens = p.cachedTokens(r.best, q)
	c.PrefillWait = s.prefillWait(now)
	c.PrefillTime = s.prefillTime(q.PromptTokens - c.CachedTokens)
	if r.second >= 0 {
		c.RunnerUp = p.servers[r.second].spec.Name
		c.RunnerUpScore = r.secondScore
	}
	return Chosen
}

// chooseDecode picks a decode server for a KV cache that is complete at the instant ready, and sets
// the decode fields of c.
func (p *Pool) chooseDecode(q *Query, now, ready tick.Instant, c *Choice) Outcome {
	usable := 0
	r := newRanking()
	skip := p.sample(p.decode)
	for n, i := range p.decode {
		s := p.servers[i]
		if !p.usable(s, q, now) {
			continue
		}
		usable++
		busy := s.busySlots()
		if busy >= s.spec.Slots || skip.skips(n) {
			continue
		}
		begin := max(ready, s.linkFreeAt, p.sourceLinkFreeAt(c))
		if begin-ready > p.cfg.MaxTransferWait {
			continue
		}
		score := (begin - ready + p.transferTime(q, p.kvSource(c, s), s)).Seconds()
		score += fullServerScore * float64(busy) / float64(s.spec.Slots)
		if excess := p.tokenInterval(s) - q.GapTarget; q.GapTarget > 0 && excess > 0 {
			score += gapPenaltyTokens * excess.Seconds()
		}
		r.add(i, score, p)
	}
	switch {
	case usable == 0:
		return NoServer
	case r.best < 0:
		return NoCapacity
	}
	s := p.servers[r.best]
	begin := max(ready, s.linkFreeAt, p.sourceLinkFreeAt(c))
	c.decodeIndex = r.best
	c.Decode = s.spec.Name
	c.DecodeScore = r.bestScore
	c.LinkWait = begin - ready
	c.TransferTime = p.transferTime(q, p.kvSource(c, s), s)
	c.transferEnd = begin + c.TransferTime
	c.BusySlots = s.busySlots()
	c.Slots = s.spec.Slots
	if r.second >= 0 {
		c.DecodeRunnerUp = p.servers[r.second].spec.Name
		c.DecodeRunnerUpScore = r.secondScore
	}
	return Chosen
}

// usable reports whether the query may be sent to the server at all.
func (p *Pool) usable(s *serverState, q *Query, now tick.Instant) bool {
	return !s.isDraining() && s.health.available(now) && !slices.Contains(q.Avoid, s.spec.Name)
}

// cachedTokens returns the number of prompt tokens that server i is expected to have cached. At
// least one token is always computed.
func (p *Pool) cachedTokens(i int, q *Query) int64 {
	return max(0, min(int64(p.depth[i])*BlockTokens, q.PromptTokens-1))
}

// kvSource returns the server that the KV cache is transferred from, or d if it is unknown.
func (p *Pool) kvSource(c *Choice, d *serverState) *serverState {
	if c.prefillIndex < 0 {
		return d
	}
	return p.servers[c.prefillIndex]
}

// sourceLinkFreeAt returns the instant at which the link of the prefill server is free, zero if the
// server is unknown.
func (p *Pool) sourceLinkFreeAt(c *Choice) tick.Instant {
	if c.prefillIndex < 0 {
		return 0
	}
	return p.servers[c.prefillIndex].linkFreeAt
}

// transferTime returns the time to transfer the KV cache of the query. It is zero between equal
// servers and if a bandwidth is unknown.
func (p *Pool) transferTime(q *Query, from, to *serverState) time.Duration {
	rate := min(from.spec.LinkBandwidth, to.spec.LinkBandwidth)
	if rate <= 0 || from == to {
		return 0
	}
	return time.Duration(float64(q.PromptTokens*p.spec.KVBytes) / rate * float64(time.Second))
}

// tokenInterval returns the reported time between output tokens, or the configured one if none is
// reported.
func (p *Pool) tokenInterval(s *serverState) time.Duration {
	if s.reported && s.tokenInterval > 0 {
		return s.tokenInterval
	}
	return s.spec.TokenInterval
}
