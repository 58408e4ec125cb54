package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

// prefill requests a prefill from the placement's prefill server and reports whether it
// succeeded. The caller must have counted the arrival. After a failure, the server is excluded from
// further placements of the request. After the second failure, the decode server prefills the prompt.
func (m *modelExchange) prefill(ctx context.Context, p *admit.Placement) bool {
	h := m.h
	s := p.Prefill
	m.prefillAttempts++
	start := h.cfg.Clock.Now()
	timeout := max(minPrefillTimeout, time.Duration(prefillTimeoutFactor*float64(p.ExpectedTTFT)))
	ctx, cancel := context.WithTimeout(ctx, max(timeout, m.placeReq.Deadline-start))
	defer cancel()
	out := m.forwardInfo(s)
	out.PrefillOnly = true
	out.LastEventID = m.lastEventID
	handle, err := m.requestPrefill(ctx, s, out, timeout)
	took := h.cfg.Clock.Now() - start
	if err == nil && m.stats.prefills == 0 || fail.Outcome(err) == ident.NotRun {
		m.arrivals.uncount() // accepted for the first time, or not received
	}
	if isDenied(err) {
		m.prefillAttempts-- // the server got no request
		return m.skipDenied(s)
	}
	if errors.Is(err, crash.ErrNotAdmitted) {
		m.prefillAttempts--
		return false
	}
	if isWithheld(err) {
		m.prefillAttempts--
		return m.skipServer(s)
	}
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.info.ID).Msg("relay: prefill failed; placing the request again")
		m.recordBroken(s, err)
		switch {
		case errors.Is(ctx.Err(), context.Canceled): // nobody waits for it any more
		case fail.IsLocal(err):
		case isTimeout(err):
			h.cfg.Health.RecordSilence(s.Key(), start, h.cfg.Clock.Now())
			m.placer.PrefillSlow(p, took)
		default:
			m.recordError(s, err)
		}
		m.exclude(s)
		m.placeReq.LocalPrefill = m.prefillAttempts > 1
		return false
	}
	h.cfg.Health.RecordSuccess(s.Key(), h.cfg.Clock.Now())
	m.placer.PrefillDone(p, took)
	m.stats.prefilled = h.cfg.Clock.Now() - m.start
	m.stats.prefills++
	m.kv = &kvCache{server: s, handle: handle, createdAt: h.cfg.Clock.Now()}
	m.placeReq.Prefilled = true
	// The first event follows at once from the KV cache, at whichever decode server fetches it.
	m.placeReq.Deadline = max(m.placeReq.Deadline, min(m.deadline, m.kv.createdAt+m.service.Engine.HandleTTL))
	return true
}

// requestPrefill sends the prompt to a prefill server and returns the handle of the KV cache. The
// cache of a resumed request also has the tokens that were generated before. After the timeout, requestPrefill
// returns an error if the retry that follows is paid, and waits on otherwise.
func (m *modelExchange) requestPrefill(ctx context.Context, s *route.Server, out ForwardInfo, timeout time.Duration) (string, error) {
	req := m.serverRequest(s, out)
	req.Distinct = true
	req.HeaderTimeout, req.IdleTimeout = timeout, timeout
	req.EndWait = func() bool { return m.arrivals.pay(1, m.spendRetry) }
	resp, err := m.run(ctx, s, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := m.readControl(resp)
	if err != nil {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	if m.h.cfg.Protocol.WrongServer(resp.Status) {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errWrongServer)
	}
	if resp.Status != http.StatusOK {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errors.Errorf("unexpected status %d", resp.Status))
	}
	handle, tokens, err := m.h.cfg.Protocol.ParseKVHandle(b)
	if err != nil {
		resp.Drop()
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	if tokens < m.info.PromptTokens || tokens > m.info.PromptTokens && out.LastEventID == event.NoID {
		// The KV cache is not freed, because it may be that of another request.
		resp.Drop()
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errors.Errorf("KV cache of %d tokens for a prompt of %d", tokens, m.info.PromptTokens))
	}
	m.stats.handle = handle + "/" + resp.EchoedID()
	return handle, nil
}

// errNoRoom reports that a server has no memory to reserve.
var errNoRoom = errors.New("the server has no room")

// reserve reserves memory at the placement's decode server, so that no prefill is wasted
// on a server without room. It returns false if there is none. The request must then be placed again.
func (m *modelExchange) reserve(ctx context.Context, p *admit.Placement) bool {
	if m.reservation != nil { // see place
		return true
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	r, err := m.reserveAt(ctx, p.Decode, func() bool {
		m.startHandover(ctx, p.Decode, end, false)
		return false
	})
	m.stopHandover()
	switch {
	case m.next != nil:
		m.cancelReservation(r)
		m.placements--
		return false
	case err == nil:
		m.reservation = r
		return true
	case errors.Is(err, errNoRoom):
		// The server may have room again soon, so it is not excluded. The placement is not
		// counted either: another instance may have placed requests at this server that it
		// has not reported yet, so the rejection does not mean that other servers are full.
		m.placements--
		return false
	case isDenied(err):
		return m.skipDenied(p.Decode)
	default:
		return m.skipServer(p.Decode)
	}
}

// reserveAt reserves memory for the request at a server. At a server with a limit, it takes the permit for the request
// instead, because a reservation would count against the limit too. The reservation is nil if the server needs none. The
// error is errNoRoom if the server has no room. If the server has not answered in the time of a call that costs it no work,
// endWait decides whether the wait ends.
func (m *modelExchange) reserveAt(ctx context.Context, s *route.Server, endWait func() bool) (*reservation, error) {
	h := m.h
	if h.cfg.Permits.Limited(s) {
		return nil, m.holdPermit(ctx, s)
	}
	if !m.placed() || m.service.Engine.ReservationTTL <= 0 {
		return nil, nil
	}
	start, timeout := h.cfg.Clock.Now(), 2*m.dialTimeout(s)
	ctx, cancel := context.WithTimeout(ctx, max(timeout, m.placeReq.Deadline-start))
	defer cancel()
	path, body, err := h.cfg.Protocol.ReservationRequest(m.placeReq.KVTokens(), m.service.Engine.ReservationTTL)
	if err != nil {
		h.cfg.Log.Error().Err(err).Msg("relay: cannot encode the reservation; continuing without one")
		return nil, nil
	}
	resp, err := m.do(ctx, s, &link.Request{
		Addr: s.Addr, Method: http.MethodPost, Path: path, Host: m.r.Host, Header: jsonHeader, Body: body, Distinct: true,
		DialTimeout: m.dialTimeout(s), HeaderTimeout: timeout,
		EndWait: func() bool {
			m.recordUnanswered(ctx, s, start)
			return endWait()
		},
	})
	if isDenied(err) || isWithheld(err) {
		return nil, err
	}
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.info.ID).Msg("relay: no reservation")
		if ctx.Err() == nil && (!isTimeout(err) || fail.Outcome(err) == ident.NotRun) {
			// The call costs the server no work, so a server that cannot be called is unreachable.
			m.recordErrorAs(s, err, health.ConnectTimeout)
		}
		return nil, err
	}
	defer resp.Close()
	b, err := m.readControl(resp)
	if err == nil && resp.Status == http.StatusServiceUnavailable {
		m.placer.ServerFull(s)
		return nil, errNoRoom
	}
	if err == nil && resp.Status != http.StatusOK {
		err = errors.Errorf("unexpected status %d", resp.Status)
	}
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.info.ID).Msg("relay: no reservation")
		m.recordWrongServer(s, resp)
		return nil, err
	}
	id, err := h.cfg.Protocol.ParseReservation(b)
	if err != nil {
		resp.Drop()
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Msg("relay: cannot parse the reservation; continuing without one")
		return nil, nil
	}
	if !m.mayServe(s) { // the header of this response closed the server; the reservation expires without a call
		return nil, errClosed
	}
	return &reservation{server: s, id: id, echoed: resp.EchoedID()}, nil
}

// skipServer excludes a server from further placements of the request and does not count the
// current placement. The number of skips is bounded, because the server is not chosen again.
// skipServer returns false.
func (m *modelExchange) skipServer(s *route.Server) bool {
	m.exclude(s)
	m.placements--
	return false
}

// jsonHeader is sent with requests that the router itself creates.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// release cancels a reservation that was not used.
func (m *modelExchange) release() {
	m.cancelReservation(m.reservation)
	m.reservation = nil
}

// cancelReservation cancels a reservation, unless r is nil.
func (m *modelExchange) cancelReservation(r *reservation) {
	if r != nil {
		m.deleteAt(r.server, m.h.cfg.Protocol.ReservationPath(r.id))
	}
}

// freeKV frees a KV cache that no server will fetch. It leaves one to expire that a run may still
// fetch.
func (m *modelExchange) freeKV() {
	kv := m.kv
	m.kv = nil
	if kv == nil {
		return
	}
	m.stats.wasted++
	if kv.inUse || m.h.cfg.Clock.Now()-kv.createdAt > m.service.Engine.HandleTTL {
		return
	}
	m.deleteAt(kv.server, m.h.cfg.Protocol.KVHandlePath(kv.handle))
}

// dropKV is freeKV for a request that is placed again, and is prefilled again.
func (m *modelExchange) dropKV() {
	m.freeKV()
	m.placeReq.Prefilled = false
}

// deleteAt sends a DELETE for a reservation or KV cache of this request to a server. If the call
// fails, the resource expires without it. deleteAt does not call a server that accepts no
// requests or has a limit.
func (m *modelExchange) deleteAt(s *route.Server, path string) {
	if !m.mayServe(s) || m.h.cfg.Permits.Limited(s) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	resp, err := m.do(ctx, s, &link.Request{Addr: s.Addr, Method: http.MethodDelete, Path: path, Host: m.r.Host})
	if err != nil {
		m.h.cfg.Log.Info().Err(err).Str("server", s.ID).Msg("relay: cannot delete a reservation or KV cache; leaving it to expire")
		return
	}
	defer resp.Close()
	m.exchange.release(resp)
}
