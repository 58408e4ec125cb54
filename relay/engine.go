package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

// prefill has the prompt read at the placement's prefill server.
func (m *modelJob) prefill(ctx context.Context, p *admit.Placement) bool {
	h := m.h
	s := p.Prefill
	if m.reads > 0 && !m.repeat() {
		m.want.LocalPrefill = true
		return false
	}
	m.reads++
	ctx, cancel := context.WithTimeout(ctx, max(prefillLeast, time.Duration(prefillFactor*float64(p.ExpectedTTFT))))
	defer cancel()
	out := m.send(s)
	out.PrefillOnly = true
	out.LastEventID = m.lastID
	start := h.cfg.Clock.Now()
	h.cfg.Health.RecordRequest(s.Key(), start)
	handle, err := m.readPrompt(ctx, s, out)
	took := h.cfg.Clock.Now() - start
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.ask.ID).Msg("relay: prompt was not read")
		m.blame(s, failure(err))
		if errors.Is(err, context.DeadlineExceeded) && !m.gone() {
			h.cfg.Placer.PrefillSlow(p, took)
		}
		m.avoid(s)
		m.want.LocalPrefill = m.reads > 1
		return false
	}
	h.cfg.Health.RecordSuccess(s.Key(), h.cfg.Clock.Now())
	h.cfg.Placer.PrefillDone(p, took)
	m.steps.read = h.cfg.Clock.Now() - m.start
	m.steps.reads++
	m.kv = &cache{server: s, handle: handle, at: h.cfg.Clock.Now()}
	m.want.Prefilled = true
	return true
}

func (m *modelJob) readPrompt(ctx context.Context, s *route.Server, out ForwardInfo) (string, error) {
	c := m.call(s, out)
	c.ID = ""
	a, err := m.do(ctx, s, c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := whole(a.Body, controlBytes)
	if err != nil {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	if m.h.cfg.Protocol.WrongServer(a.Status) {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errElsewhere)
	}
	if a.Status != http.StatusOK {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, errors.Errorf("status %d", a.Status))
	}
	handle, err := m.h.cfg.Protocol.ParseKVHandle(b)
	if err != nil {
		return "", fail.New("relay: prefill", s.ID, ident.Unknown, err)
	}
	return handle, nil
}

// reserve has the placement's decode server set memory aside, so that the
// prompt is not read in vain. A server that has none, or that does not answer,
// is passed over.
func (m *modelJob) reserve(ctx context.Context, p *admit.Placement) bool {
	engine := m.service.Engine
	if engine.ReservationTTL <= 0 {
		return true
	}
	h := m.h
	s := p.Decode
	ctx, cancel := context.WithTimeout(ctx, 2*m.reach(s))
	defer cancel()
	path, body, err := h.cfg.Protocol.ReservationRequest(m.want.KVTokens(), engine.ReservationTTL)
	if err != nil {
		h.cfg.Log.Error().Err(err).Msg("relay: encode reservation")
		return true
	}
	a, err := m.do(ctx, s, &link.Request{
		Addr: s.Addr, Method: http.MethodPost, Path: path, Host: m.r.Host, Header: jsonHeader, Body: body,
		DialTimeout: m.reach(s),
	})
	if err != nil {
		h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.ask.ID).Msg("relay: no reservation")
		// The call costs the server no work: one that does not answer is silent.
		m.blame(s, max(failure(err), health.ConnectTimeout))
		return m.skip(s)
	}
	defer a.Close()
	b, err := whole(a.Body, controlBytes)
	if err == nil && a.Status == http.StatusServiceUnavailable {
		// It may have room again soon. What is placed elsewhere meanwhile is not
		// known here at once, so that this says nothing of the other servers.
		h.cfg.Placer.ServerFull(s)
		m.rounds--
		return false
	}
	if err != nil || a.Status != http.StatusOK {
		h.cfg.Log.Info().Err(err).Int("status", a.Status).Str("server", s.ID).Str("id", m.ask.ID).Msg("relay: no reservation")
		m.misled(s, a)
		return m.skip(s)
	}
	name, err := h.cfg.Protocol.ParseReservation(b)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Msg("relay: reservation cannot be read")
		return true
	}
	m.held = &hold{server: s, name: name}
	if m.closed(s) { // it says so with the reservation
		m.held = nil // which is not worth a call, it lapses
		return m.skip(s)
	}
	return true
}

// skip leaves a server out for the rest of the request, without counting a round:
// it is not asked again, so that this ends by itself. It returns false.
func (m *modelJob) skip(s *route.Server) bool {
	m.avoid(s)
	m.rounds--
	return false
}

// jsonHeader goes with the calls of the router itself.
var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// drop gives up a reservation that was not used.
func (m *modelJob) drop() {
	if m.held == nil {
		return
	}
	m.discard(m.held.server, m.h.cfg.Protocol.ReservationPath(m.held.name))
	m.held = nil
}

// release frees a KV cache that nobody will fetch.
func (m *modelJob) release() {
	kv := m.kv
	m.kv = nil
	if kv == nil {
		return
	}
	m.steps.wasted++
	if m.h.cfg.Clock.Now()-kv.at > m.service.Engine.HandleTTL {
		return // it has lapsed
	}
	m.discard(kv.server, m.h.cfg.Protocol.KVHandlePath(kv.handle))
}

// discard has a server free what it keeps for this request. If that fails, it
// lapses. A server that wants no request is not asked.
func (m *modelJob) discard(s *route.Server, path string) {
	if m.closed(s) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	a, err := m.do(ctx, s, &link.Request{Addr: s.Addr, Method: http.MethodDelete, Path: path, Host: m.r.Host})
	if err != nil {
		m.h.cfg.Log.Info().Err(err).Str("server", s.ID).Msg("relay: not freed, it lapses")
		return
	}
	defer a.Close()
	m.job.drop(a)
}
