package place

import (
	"slices"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// affinityGain weighs the prefill time that a cached prefix saves, at the
	// server and for those behind. A server with the prefix is preferred until
	// its queue is longer than that of another by this multiple of the saving.
	affinityGain = 2
	// openPart is one over the part of the prefill servers that patient
	// requests leave with a short queue.
	openPart = 8
	// patientQueue is the longest wait at a prefill server that a patient
	// request is placed behind.
	patientQueue = 50 * time.Millisecond
	// busyScore is the score in seconds of a decode server with no free place
	// above one that is empty.
	busyScore = 0.2
	// slowTokens is the number of output tokens for which the time above the
	// target counts.
	slowTokens = 20
	// tieScore is the difference in seconds below which scores are equal.
	tieScore = 0.001
)

// Query is what a choice depends on.
type Query struct {
	PromptTokens int64
	BlockHashes  []uint64
	Avoid        []ident.Server
	KVSource     ident.Server  // prefill server that holds the KV cache already
	Deferrable   bool          // the request is of a class that can wait
	FirstTokenBy tick.Instant  // latest instant of the first token
	GapTarget    time.Duration // target for the time between tokens
}

// Outcome is the outcome of a choice.
type Outcome uint8

// The outcomes of a choice.
const (
	Chosen     Outcome = iota
	NoCapacity         // no server has room now
	TooLate            // the first token would come after its target
	NoServer           // no server may be used at all
)

// Choice is a pair of servers and the numbers that led to it.
type Choice struct {
	Prefill             ident.Server
	Decode              ident.Server
	RunnerUp            ident.Server // second best prefill server
	DecodeRunnerUp      ident.Server
	Score               float64 // seconds
	RunnerUpScore       float64
	DecodeScore         float64
	DecodeRunnerUpScore float64
	CachedTokens        int64
	PrefillWait         time.Duration // at the prefill server
	PrefillTime         time.Duration // of the prefill
	LinkWait            time.Duration // between prefill and transfer
	TransferTime        time.Duration
	TTFT                time.Duration // from now to the first token
	BusySlots           int           // decode places taken at the chosen server
	Slots               int

	prefill     int // -1 if the prefill server has left the table
	decode      int
	transferEnd tick.Instant
}

// Choose picks servers for the query.
func (p *Pool) Choose(q *Query, now tick.Instant) (Choice, Outcome) {
	c := Choice{prefill: -1, decode: -1}
	ready := now
	if q.KVSource != "" {
		c.Prefill = q.KVSource
		if i, ok := p.byName[q.KVSource]; ok {
			c.prefill = i
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
	c.TTFT = c.transferEnd - now + p.tokenTime(p.set[c.decode])
	if now+c.TTFT > q.FirstTokenBy {
		return c, TooLate
	}
	return c, Chosen
}

func (p *Pool) choosePrefill(q *Query, now tick.Instant, c *Choice) Outcome {
	p.prefixes.match(q.BlockHashes, p.depth)
	limit := p.cfg.MaxPrefillWait
	if q.Deferrable {
		limit = patientQueue
	}
	usable, short, late := 0, 0, 0
	r := newRanking()
	skip := p.sample(p.prefill)
	for n, i := range p.prefill {
		s := p.set[i]
		if !p.usable(s, q, now) {
			continue
		}
		usable++
		wait := s.wait(now)
		if wait <= p.cfg.MaxPrefillWait {
			short++
		}
		if wait > limit || skip.skips(n) {
			continue
		}
		run := s.prefillTime(q.PromptTokens - p.cached(i, q))
		if now+wait+run > q.FirstTokenBy {
			late++
			continue
		}
		saved := s.prefillTime(q.PromptTokens) - run
		score := wait + run - (affinityGain-1)*saved
		r.offer(i, score.Seconds(), p)
	}
	switch {
	case usable == 0:
		return NoServer
	case r.best < 0 && late > 0:
		return TooLate
	case r.best < 0:
		return NoCapacity
	case q.Deferrable && usable > 1 && short <= (usable+openPart-1)/openPart:
		return NoCapacity
	}
	s := p.set[r.best]
	c.prefill = r.best
	c.Prefill = s.spec.Name
	c.Score = r.bestScore
	c.CachedTokens = p.cached(r.best, q)
	c.PrefillWait = s.wait(now)
	c.PrefillTime = s.prefillTime(q.PromptTokens - c.CachedTokens)
	if r.second >= 0 {
		c.RunnerUp = p.set[r.second].spec.Name
		c.RunnerUpScore = r.secondScore
	}
	return Chosen
}

// chooseDecode picks a decode server for a KV cache that is ready at an
// instant.
func (p *Pool) chooseDecode(q *Query, now, ready tick.Instant, c *Choice) Outcome {
	usable := 0
	r := newRanking()
	skip := p.sample(p.decode)
	for n, i := range p.decode {
		s := p.set[i]
		if !p.usable(s, q, now) {
			continue
		}
		usable++
		taken := s.taken()
		if taken >= s.spec.Slots || skip.skips(n) {
			continue
		}
		begin := max(ready, s.link, p.egress(c))
		if begin-ready > p.cfg.MaxTransferWait {
			continue
		}
		score := (begin - ready + p.transfer(q, p.source(c, s), s)).Seconds()
		score += busyScore * float64(taken) / float64(s.spec.Slots)
		if slow := p.tokenTime(s) - q.GapTarget; q.GapTarget > 0 && slow > 0 {
			score += slowTokens * slow.Seconds()
		}
		r.offer(i, score, p)
	}
	switch {
	case usable == 0:
		return NoServer
	case r.best < 0:
		return NoCapacity
	}
	s := p.set[r.best]
	begin := max(ready, s.link, p.egress(c))
	c.decode = r.best
	c.Decode = s.spec.Name
	c.DecodeScore = r.bestScore
	c.LinkWait = begin - ready
	c.TransferTime = p.transfer(q, p.source(c, s), s)
	c.transferEnd = begin + c.TransferTime
	c.BusySlots = s.taken()
	c.Slots = s.spec.Slots
	if r.second >= 0 {
		c.DecodeRunnerUp = p.set[r.second].spec.Name
		c.DecodeRunnerUpScore = r.secondScore
	}
	return Chosen
}

// usable reports whether the query may be given to the server at all.
func (p *Pool) usable(s *state, q *Query, now tick.Instant) bool {
	return !s.gone() && s.health.open(now) && !slices.Contains(q.Avoid, s.spec.Name)
}

// cached returns the prompt tokens that server i is expected to have cached.
// At least one token is always computed.
func (p *Pool) cached(i int, q *Query) int64 {
	return max(0, min(int64(p.depth[i])*BlockTokens, q.PromptTokens-1))
}

// source returns the server that the KV cache comes from, d if it is unknown.
func (p *Pool) source(c *Choice, d *state) *state {
	if c.prefill < 0 {
		return d
	}
	return p.set[c.prefill]
}

// egress returns the instant at which the link of the prefill server is free.
func (p *Pool) egress(c *Choice) tick.Instant {
	if c.prefill < 0 {
		return 0
	}
	return p.set[c.prefill].link
}

// transfer returns the time to move the KV cache of the query.
func (p *Pool) transfer(q *Query, from, to *state) time.Duration {
	rate := min(from.spec.LinkBandwidth, to.spec.LinkBandwidth)
	if rate <= 0 || from == to {
		return 0
	}
	return time.Duration(float64(q.PromptTokens*p.spec.KVBytes) / rate * float64(time.Second))
}

func (p *Pool) tokenTime(s *state) time.Duration {
	if s.reported && s.tokenTime > 0 {
		return s.tokenTime
	}
	return s.spec.TokenInterval
}
