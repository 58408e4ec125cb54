package relay

import (
	"context"
	"time"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// maxRounds bounds the placements of one request.
	maxRounds = 5
	// prefillLeast and prefillFactor bound the wait for a prefill: a multiple
	// of what was expected, and no less than the least.
	prefillLeast  = 300 * time.Millisecond
	prefillFactor = 2.5
	// handleShare is the part of the life of a KV cache within which a second
	// server may still be in time to fetch it.
	handleShare = 0.5
	// silentLimit is how long a resumable stream may be silent at least before
	// it goes on at another server, and silentGaps the pauses that are still on
	// time for which it may be.
	silentLimit = time.Second
	silentGaps  = 2
	// patience is the part of the objective for which callers wait for the
	// first event: they leave after a multiple of the objective.
	patience = 3.6
	// freeLimit bounds the call that frees a KV cache.
	freeLimit = 200 * time.Millisecond
	// unhintedShare is the part of the most tokens that a request without an
	// estimate is expected to make.
	unhintedShare = 0.5
	// urgencyMost is the least urgent rank that servers know.
	urgencyMost = 9
)

// cache is a KV cache that waits at a prefill server.
type cache struct {
	server *route.Server
	handle string
	at     tick.Instant // when it was made
	tries  int          // decode servers that did not fetch it
}

// hold is a reservation at a decode server.
type hold struct {
	server *route.Server
	name   string
}

// model serves a request of a model.
func (j *job) model(ctx context.Context) {
	j.lastID = j.ask.LastEventID
	m := &modelJob{job: j, want: j.want()}
	defer m.release()
	for ; m.rounds < maxRounds; m.rounds++ {
		p, err := j.h.cfg.Placer.Place(ctx, m.want)
		if err != nil {
			m.unplaced(err)
			return
		}
		if m.round(ctx, p) {
			return
		}
		if ctx.Err() != nil || j.h.cfg.Clock.Now() >= m.want.Deadline && !m.began {
			break
		}
	}
	j.giveUp(shedRetry, "no server has taken the request in time")
}

// modelJob is a model request on its way through servers.
type modelJob struct {
	*job
	want   admit.Request
	kv     *cache
	held   *hold
	rounds int // placements that came to more than a reservation
	reads  int // prefills that were asked for
	// blamed is the number of servers in want.Avoid before the first one that
	// did not fetch kv.
	blamed int
}

func (j *job) want() admit.Request {
	w := admit.Request{
		ID:        j.h.serial.Add(1),
		Service:   j.service.Name,
		Prompt:    j.ask.PromptTokens,
		Output:    j.expect(),
		Priority:  j.priority(),
		Due:       j.start + j.route.LatencyTarget,
		GapTarget: j.route.GapTarget,
		Deadline:  min(j.until, j.start+time.Duration(patience*float64(j.route.LatencyTarget))),
	}
	return w
}

// expect returns the tokens that a request is likely to make.
func (j *job) expect() int {
	if j.ask.EstimatedOutputTokens > 0 {
		return min(j.ask.EstimatedOutputTokens, j.ask.MaxOutputTokens)
	}
	return int(unhintedShare * float64(j.ask.MaxOutputTokens))
}

func (j *job) priority() int {
	if j.cust != nil && j.cust.HasPriority {
		return j.cust.Priority
	}
	return j.route.Priority
}

// unplaced answers a request for which no place was found.
func (m *modelJob) unplaced(err error) {
	if r, ok := fail.AsRefusal(err); ok {
		m.giveUp(r.RetryAfter(), r.Reason())
		return
	}
	m.giveUp(shedRetry, "no place was found in time")
}

// round runs the request once and gives its places back.
func (m *modelJob) round(ctx context.Context, p *admit.Placement) bool {
	defer m.h.cfg.Placer.Release(p)
	m.steps.placed = m.h.cfg.Clock.Now() - m.start
	m.steps.decode, m.steps.prefill = p.Decode.ID, ""
	if p.Prefill != nil {
		m.steps.prefill = p.Prefill.ID
	}
	return m.try(ctx, p)
}

// try runs the request on the servers of a placement. It returns true if
// nothing more is to be tried.
func (m *modelJob) try(ctx context.Context, p *admit.Placement) bool {
	if !m.reserve(ctx, p) {
		return m.gone()
	}
	defer m.drop()
	if p.Prefill != nil && !m.prefill(ctx, p) {
		return m.gone()
	}
	if m.closed(p.Decode) { // since it was chosen
		m.avoid(p.Decode)
		return m.gone()
	}
	if !m.mayRepeat() {
		m.giveUp(shedRetry, "no repeat is left")
		return true
	}
	out := m.send(p.Decode)
	out.LastEventID = m.lastID
	out.HasUrgency, out.Urgency = true, min(max(m.want.Priority, 0), urgencyMost)
	if m.kv != nil {
		out.KVSource = m.kv.server.Addr + "/" + m.kv.handle
	}
	if m.held != nil {
		out.ReservationID = m.held.name
	}
	c := m.call(p.Decode, out)
	if m.route.Resumable && m.runs+1 < m.route.MaxAttempts {
		c.IdleTimeout = max(silentLimit, silentGaps*m.route.GapTarget)
		c.HeaderTimeout = max(m.want.Due-m.h.cfg.Clock.Now(), c.IdleTimeout)
	}
	m.h.cfg.Health.RecordRequest(p.Decode.Key(), m.h.cfg.Clock.Now())
	a, err := m.do(ctx, p.Decode, c)
	if err != nil {
		m.lost(p.Decode, err)
		m.avoid(p.Decode)
		return !m.repeatable()
	}
	defer a.Close()
	m.writes++
	if m.h.cfg.Protocol.NotExecuted(a.Status, a.Header) {
		m.misled(p.Decode, a)
		m.job.drop(a)
		m.disowned(p)
		return false
	}
	if m.kv != nil {
		m.steps.fetched++
	}
	m.kv = nil   // it was fetched, or the server runs without it
	m.held = nil // it was used
	m.sent = true
	m.runs++
	return m.answer(a, p)
}

// repeatable tells whether another server may get the request, and answers it
// otherwise.
func (m *modelJob) repeatable() bool {
	if m.gone() || m.sent && (!m.route.Retryable() || m.runs >= m.route.MaxAttempts) {
		m.giveUp(shedRetry, "the server gave no answer")
		return false
	}
	return true
}

func (m *modelJob) avoid(s *route.Server) { m.want.Avoid = append(m.want.Avoid, s.Key()) }

// disowned decides on the second way after a server did not run the request:
// it had no room, or it could not fetch the KV cache. A second server tells
// which.
func (m *modelJob) disowned(p *admit.Placement) {
	now := m.h.cfg.Clock.Now()
	if m.kv == nil {
		m.avoid(p.Decode)
		return
	}
	if m.kv.tries == 0 {
		m.blamed = len(m.want.Avoid)
	}
	m.avoid(p.Decode)
	m.kv.tries++
	life := time.Duration(handleShare * float64(m.service.Engine.HandleTTL))
	if m.kv.tries == 1 && now-m.kv.at < life {
		return
	}
	m.h.cfg.Health.RecordFailure(m.kv.server.Key(), health.BadResponse, now)
	m.release()
	m.want.Prefilled = false
	m.want.LocalPrefill = true
	// The decode servers could not fetch what was not there.
	m.want.Avoid = m.want.Avoid[:m.blamed]
}
