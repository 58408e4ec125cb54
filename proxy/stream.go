package proxy

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

// relayResponse passes the response of a decode server on to the caller. It returns true if the
// request has ended.
func (m *modelExchange) relayResponse(resp *link.Response, p *admit.Placement) bool {
	h := m.h
	key := p.Decode.Key()
	if resp.Status != http.StatusOK {
		b, err := m.bufferResponse(resp)
		defer h.bufferedBytes.Add(-int64(len(b)))
		h.cfg.Health.RecordFailure(key, health.BadResponse, h.cfg.Clock.Now())
		m.exclude(p.Decode)
		if m.runs < m.route.MaxAttempts && m.route.Retryable() {
			if err == nil {
				m.savedFailure = &response{status: resp.Status, header: resp.Header, body: b}
			}
			return false
		}
		if err != nil || m.headerWritten {
			m.giveUp(overloadRetry, "the server failed")
			return true
		}
		m.writeResponse(&response{status: resp.Status, header: resp.Header, body: b})
		return true
	}
	err := m.relayStream(resp, p)
	if err == nil {
		h.cfg.Health.RecordSuccess(key, h.cfg.Clock.Now())
		m.summary, m.complete = "answered in full", true
		return true
	}
	h.cfg.Log.Info().Err(err).Str("server", p.Decode.ID).Str("id", m.info.ID).Int64("event", m.lastEventID).
		Msg("relay: stream broke")
	m.recordFailure(p.Decode, health.BadResponse)
	m.exclude(p.Decode)
	return !m.retryOrGiveUp()
}

// errEventOrder reports an event whose ID is not larger than that of the event before it.
var errEventOrder = errors.New("event ID is not larger than the one before it")

// relayStream passes whole events on to the caller until the stream ends. It returns nil if the
// stream ended regularly.
func (m *modelExchange) relayStream(resp *link.Response, p *admit.Placement) error {
	if !m.headerWritten && !m.h.cfg.Protocol.Sealed(resp.Header) {
		return errUnsealed
	}
	rc := http.NewResponseController(m.w)
	var first, last tick.Instant // times of the first and the last flush
	gaps := 0
	s := event.NewScanner(resp.Body, maxEventBytes)
	for s.Scan() {
		if id := s.ID(); id != event.NoID {
			if m.lastEventID != event.NoID && id <= m.lastEventID {
				return errEventOrder
			}
			m.lastEventID = id
			resp.ResetIdleTimeout()
		}
		if !m.headerWritten {
			m.h.cfg.Placer.FirstEvent(p)
			m.stats.first = m.h.cfg.Clock.Now() - m.start
			m.writeHeader(resp)
		}
		if _, err := m.w.Write(s.Bytes()); err != nil {
			return err
		}
		if s.NextBuffered() {
			continue
		}
		if err := rc.Flush(); err != nil {
			return err
		}
		if last = m.recordGap(last); first == 0 {
			first = last
		} else {
			gaps++
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	if gaps > 0 {
		m.h.cfg.Placer.ObserveGap(p, (last-first)/time.Duration(gaps))
	}
	if !m.headerWritten {
		m.writeHeader(resp)
	}
	return rc.Flush()
}

// writeHeader writes the header of a streamed response.
func (m *modelExchange) writeHeader(resp *link.Response) {
	m.copyHeader(resp.Header)
	m.headerWritten, m.status = true, resp.Status
	m.placeReq.Resumed = true
	m.w.WriteHeader(resp.Status)
}

// recordGap records the time since last, the instant at which the previous event was passed on,
// and returns the current instant. last is 0 for the first event.
func (m *modelExchange) recordGap(last tick.Instant) tick.Instant {
	now := m.h.cfg.Clock.Now()
	if last != 0 {
		m.stats.maxGap = max(m.stats.maxGap, now-last)
	}
	return now
}

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20
