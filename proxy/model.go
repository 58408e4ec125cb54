package proxy

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
	// maxPlacements bounds the placements of one request.
	maxPlacements = 5
	// The timeout of a prefill is prefillTimeoutFactor times its expected duration, and
	// at least minPrefillTimeout.
	minPrefillTimeout    = 300 * time.Millisecond
	prefillTimeoutFactor = 2.5
	// kvRetryShare is the fraction of the lifetime of a KV cache within which a second
	// server can still fetch it in time.
	kvRetryShare = 0.5
	// deleteTimeout bounds the call that frees a KV cache or cancels a reservation.
	deleteTimeout = 200 * time.Millisecond
	// defaultOutputShare is the fraction of its maximum output tokens that a request
	// without an estimate is expected to generate.
	defaultOutputShare = 0.5
	// maxUrgency is the largest urgency value that servers accept. It means least urgent.
	maxUrgency = 9
)

// kvCache is a KV cache that is stored at a prefill server and not fetched yet.
type kvCache struct {
	server        *route.Server
	handle        string
	createdAt     tick.Instant
	inUse         bool // a run whose outcome is unknown may fetch it
	failedFetches int  // number of decode servers that did not run the request with this KV cache
}

// reservation is a slot and memory reserved at a decode server.
type reservation struct {
	server *route.Server
	id     string
	echoed string // ID of the request in the response
}

// serveModel serves a model request, or a stream, with up to maxPlacements placements.
func (x *exchange) serveModel(ctx context.Context, placer Placer) {
	x.lastEventID = x.info.LastEventID
	m := &modelExchange{exchange: x, placer: placer, placeReq: x.placementRequest()}
	defer m.freeKV()
	defer m.endSilence()
	defer m.dropNext()
	for ; m.placements < maxPlacements || m.next != nil; m.placements++ {
		if !m.next.isRun() && (m.endIfTooLate() || !m.admitParts(ctx)) {
			return
		}
		p, err := m.place(ctx)
		if err != nil && m.waitForServer(ctx, err) {
			m.placements--
			continue
		}
		if err != nil {
			m.rejectUnplaced(err)
			return
		}
		if m.runPlacement(ctx, p) {
			if m.summary == "" {
				m.giveUp(0, "it waited for a server")
			}
			return
		}
		if ctx.Err() != nil || x.h.cfg.Clock.Now() >= m.placeReq.Deadline && !m.headerWritten && m.next == nil {
			break
		}
	}
	x.giveUp(overloadRetry, "no server has taken the request in time")
}

// place returns a placement for the request: the one that was found while its server was silent, or a new one.
func (m *modelExchange) place(ctx context.Context) (*admit.Placement, error) {
	if n := m.next; n != nil {
		m.next, m.reservation, m.current = nil, n.reservation, n.run
		if m.kv != nil && m.kv.inUse {
			m.dropKV()
		}
		return n.placement, nil
	}
	m.setPlacementDeadline()
	return m.placer.Place(ctx, m.placeReq)
}

// waitForServer waits until a stream that has begun may find a place after the Placer has rejected it. It returns false if its
// caller does not wait for so long, or if no server is left that has not failed the request.
func (m *modelExchange) waitForServer(ctx context.Context, err error) bool {
	r, ok := fail.AsRefusal(err)
	if !ok || !m.headerWritten || r.Code() == fail.CodeNoServer {
		return false
	}
	wait := max(r.RetryAfter(), handoverRetry)
	return m.h.cfg.Clock.Now()+wait <= m.placeReq.Deadline && tick.Sleep(ctx, m.h.cfg.Clock, wait) == nil
}

// setPlacementDeadline sets the deadline of the next placement of a stream that has begun: its caller waits for the next event.
func (m *modelExchange) setPlacementDeadline() {
	if m.headerWritten {
		m.placeReq.Deadline = min(m.deadline, m.progress+patience(m.route))
	}
}

// modelExchange is an exchange with a model service. It adds the state of the placements.
type modelExchange struct {
	*exchange
	placer          Placer
	placeReq        admit.Request
	kv              *kvCache
	reservation     *reservation
	placements      int // number of placements, excluding those that failed at the reservation
	prefillAttempts int // number of prefills that were requested
	// begun states that the server of the current response has begun to answer: it has sent two events.
	begun    bool
	search   *handover     // search for another place, nil if the server is not silent
	silentAt *route.Server // server that was silent, nil if an event has come since then
	left     bool          // the search has ended the last run
	next     *successor    // what the search has found, nil for nothing
	current  *modelRun     // run that was begun beside the last one and goes on alone, nil for none
	progress tick.Instant  // time at which the current run was requested, or of its last event
	counted  bool          // runs includes the current run
	others   int           // runs beside the current one that runs does not include
	// unrecorded is the server whose response has begun and is not recorded yet, as the search uses the state of the
	// exchange, nil for none.
	unrecorded *route.Server
	// avoidLen is the length of placeReq.Avoid before the first server that did not
	// fetch kv was added.
	avoidLen int
}

// placementRequest returns the request to the Placer.
func (x *exchange) placementRequest() admit.Request {
	return admit.Request{
		ID:       x.h.lastPlacementID.Add(1),
		Service:  x.service.Name,
		Prompt:   x.info.PromptTokens,
		Output:   x.expectedOutputTokens(),
		Priority: x.priority(),
		Rescope:  x.scope,
		Due:      x.start + x.route.LatencyTarget,

		LatencyTarget: x.route.LatencyTarget,
		GapTarget:     x.route.GapTarget,
		Deadline:      x.firstEventBy(),
	}
}

// firstEventBy returns the instant from which a response that begins is of no use to the caller.
func (x *exchange) firstEventBy() tick.Instant {
	if x.streams() {
		return min(x.deadline, x.start+patience(x.route))
	}
	return x.deadline
}

// expectedOutputTokens returns the number of tokens that the request is likely to generate.
func (x *exchange) expectedOutputTokens() int {
	if x.info.EstimatedOutputTokens > 0 {
		return min(x.info.EstimatedOutputTokens, x.info.MaxOutputTokens)
	}
	return int(defaultOutputShare * float64(x.info.MaxOutputTokens))
}

// priority returns the priority of the customer, or the priority of the route if the customer
// has none.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// rejectUnplaced answers a request for which the Placer returned an error.
func (m *modelExchange) rejectUnplaced(err error) {
	if r, ok := fail.AsRefusal(err); ok {
		pause, excluded := m.recordIneligible()
		retry := r.RetryAfter()
		if retry == 0 {
			retry = m.retryAfter(pause, excluded)
		}
		if limits, ok := m.retryAfterLimits(); ok {
			retry = max(retry, limits)
		}
		m.giveUp(retry, r.Reason()+m.permits.reason())
		return
	}
	m.giveUp(overloadRetry, "no place was found in time")
}

// runPlacement runs the request on a placement and releases it. It returns true if the request
// has ended.
func (m *modelExchange) runPlacement(ctx context.Context, p *admit.Placement) bool {
	defer m.placer.Release(p)
	defer m.release()
	if m.current == nil && m.endIfTooLate() { // it has waited for the placement
		return true
	}
	m.stats.placed = m.h.cfg.Clock.Now() - m.start
	m.stats.decode, m.stats.prefill = p.Decode.ID, ""
	if p.Prefill != nil {
		m.stats.prefill = p.Prefill.ID
	}
	return m.attempt(ctx, p)
}

// retryOrGiveUp reports whether the request may be written to another server. If not, it
// answers the request.
func (m *modelExchange) retryOrGiveUp() bool {
	reason := m.noRetryReason()
	if m.next.isRun() || reason == "" {
		return true
	}
	m.giveUp(overloadRetry, reason)
	return false
}

// suspectReason is the reason of requests that are not repeated because of the parts of their prompts.
const suspectReason = "the server gave no whole answer, and a part of the prompt may end servers"

// noRetryReason returns why the request may not be written to another server, or an empty string if it may.
func (m *modelExchange) noRetryReason() string {
	switch {
	case m.callerGone():
		return "its server had not given a whole answer"
	case !m.mayHaveRun:
		return ""
	case m.remaining() <= 0:
		return "time is up"
	case !m.route.Retryable():
		return "the server gave no whole answer, and the route allows no other one"
	case m.runCount() >= m.route.MaxAttempts:
		return "the server gave no whole answer, and no attempt is left"
	case m.isSuspect():
		return suspectReason
	default:
		return ""
	}
}

// exclude excludes a server from further placements of the request.
func (m *modelExchange) exclude(s *route.Server) {
	m.placeReq.Avoid = append(m.placeReq.Avoid, s.Key())
}

// handleNotExecuted prepares the next attempt after a decode server did not run the request.
// Either the server had no room, or it could not fetch the KV cache. To determine the cause, the
// request is sent to a second decode server. If the second server does not run the request
// either, or if the KV cache is too old for a second attempt, the prefill server counts as failed.
// The next decode server then prefills the prompt itself. It does so at once if a server that gave no answer
// may have fetched the KV cache before.
func (m *modelExchange) handleNotExecuted(p *admit.Placement) {
	now := m.h.cfg.Clock.Now()
	if m.kv == nil {
		m.exclude(p.Decode)
		return
	}
	if m.kv.failedFetches == 0 {
		m.avoidLen = len(m.placeReq.Avoid)
	}
	m.exclude(p.Decode)
	m.kv.failedFetches++
	maxAge := time.Duration(kvRetryShare * float64(m.service.Engine.HandleTTL))
	if m.kv.inUse {
		m.avoidLen = len(m.placeReq.Avoid) - 1 // without this server, which is not at fault
	} else {
		if m.kv.failedFetches == 1 && now-m.kv.createdAt < maxAge {
			return
		}
		m.h.cfg.Health.RecordFailure(m.kv.server.Key(), health.BadResponse, now)
	}
	m.freeKV()
	m.placeReq.Prefilled = false
	m.placeReq.LocalPrefill = true
	// The KV cache was not available, so the decode servers are not at fault.
	m.placeReq.Avoid = m.placeReq.Avoid[:m.avoidLen]
}
