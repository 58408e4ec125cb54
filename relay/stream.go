package relay

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

// answer passes the answer of a decode server on. It returns true if nothing
// more is to be tried.
func (m *modelJob) answer(a *link.Response, p *admit.Placement) bool {
	h := m.h
	key := p.Decode.Key()
	if a.Status != http.StatusOK {
		b, err := m.whole(a)
		defer h.answers.Add(-int64(len(b)))
		h.cfg.Health.RecordFailure(key, health.BadResponse, h.cfg.Clock.Now())
		m.avoid(p.Decode)
		if m.runs < m.route.MaxAttempts && m.route.Retryable() {
			if err == nil {
				m.saved = &reply{status: a.Status, header: a.Header, body: b}
			}
			return false
		}
		if err != nil || m.began {
			m.giveUp(shedRetry, "the server failed")
			return true
		}
		m.pass(&reply{status: a.Status, header: a.Header, body: b})
		return true
	}
	err := m.stream(a, p)
	if err == nil {
		h.cfg.Health.RecordSuccess(key, h.cfg.Clock.Now())
		m.note, m.done = "answered in full", true
		return true
	}
	h.cfg.Log.Info().Err(err).Str("server", p.Decode.ID).Str("id", m.ask.ID).Int64("event", m.lastID).
		Msg("relay: stream broke")
	m.blame(p.Decode, health.BadResponse)
	m.avoid(p.Decode)
	return !m.repeatable()
}

// errOrder reports an event whose id does not follow.
var errOrder = errors.New("event does not follow the one before it")

// stream passes events on, each one whole, until the stream ends.
func (m *modelJob) stream(a *link.Response, p *admit.Placement) error {
	if !m.began && !m.h.cfg.Protocol.Sealed(a.Header) {
		return errUnsealed
	}
	rc := http.NewResponseController(m.w)
	var first, last tick.Instant // of the events that were passed on
	pauses := 0
	s := event.NewScanner(a.Body, maxEvent)
	for s.Scan() {
		if id := s.ID(); id != event.NoID {
			if m.lastID != event.NoID && id <= m.lastID {
				return errOrder
			}
			m.lastID = id
			a.ResetIdleTimeout()
		}
		if !m.began {
			m.h.cfg.Placer.FirstEvent(p)
			m.steps.first = m.h.cfg.Clock.Now() - m.start
			m.begin(a)
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
		if last = m.pause(last); first == 0 {
			first = last
		} else {
			pauses++
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	if pauses > 0 {
		m.h.cfg.Placer.ObserveGap(p, (last-first)/time.Duration(pauses))
	}
	if !m.began {
		m.begin(a)
	}
	return rc.Flush()
}

// begin writes the head of a stream's answer.
func (m *modelJob) begin(a *link.Response) {
	m.head(a.Header)
	m.began, m.status = true, a.Status
	m.want.Resumed = true
	m.w.WriteHeader(a.Status)
}

// pause notes the time since the last event was passed on, and returns the
// instant of this one.
func (m *modelJob) pause(last tick.Instant) tick.Instant {
	now := m.h.cfg.Clock.Now()
	if last != 0 {
		m.steps.gap = max(m.steps.gap, now-last)
	}
	return now
}

// maxEvent bounds an event of a stream, in bytes.
const maxEvent = 1 << 20
