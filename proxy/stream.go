package proxy

import (
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

// Errors for responses that are not, or no longer, the stream that the request asked for.
var (
	errStreamType   = errors.New("response has another content type than the one that began the stream")
	errNoEventID    = errors.New("event has no ID")
	errEventOrder   = errors.New("event ID is not larger than the one before it")
	errMissingEvent = errors.New("an event is missing before this one")
	errSuperseded   = errors.New("another run has sent the next event")
	errNoEvents     = errors.New("response that continues the stream has no events")
)

// relayResponse passes the response of a run on to the caller. It returns true if the request has ended.
func (m *modelExchange) relayResponse(run *modelRun) bool {
	if m.isFailure(run.resp) {
		return m.relayFailure(run)
	}
	h, p := m.h, run.placement
	resumed := m.headerWritten
	m.begun = false
	relay := m.relayWhole
	if m.expectsEvents(run.resp) {
		relay = m.relayStream
	}
	err := relay(run)
	if err == nil {
		h.cfg.Health.RecordSuccess(p.Decode.Key(), h.cfg.Clock.Now())
		m.recordUsual(m.stats.first)
		return true
	}
	h.cfg.Log.Info().Err(err).Str("server", p.Decode.ID).Str("id", m.info.ID).Int64("event", m.lastEventID).
		Bool("resumed", resumed).Strs("parts", m.info.Parts).Dur("silent", h.cfg.Clock.Now()-m.progress).
		Str("by", m.endedBy()).Msg("relay: stream broke")
	if m.lastEventID == m.info.LastEventID {
		m.countBrokenStart()
	}
	if !m.begun {
		m.recordBroken(p.Decode, err)
	}
	m.leave(p.Decode, err)
	return !m.retryOrGiveUp()
}

// streamRelay passes on the events of one response.
type streamRelay struct {
	*modelExchange
	resp        *link.Response
	placement   *admit.Placement
	second      *link.SecondConn // see exchange.secondConn
	events      *event.Scanner
	scanned     bool // see modelRun
	flusher     *http.ResponseController
	resumed     bool         // another response has begun the stream
	passed      bool         // an event of this response was passed on
	first, last tick.Instant // times of the first and the last flush
	gaps        int          // number of flushes after the first
}

// relayStream passes whole events on to the caller until the stream ends. It returns nil if the
// stream ended regularly.
func (m *modelExchange) relayStream(run *modelRun) error {
	if run.events == nil {
		run.events = event.NewScanner(run.resp.Body, maxEventBytes, m.h.cfg.Memory.Account())
	}
	r := &streamRelay{
		modelExchange: m, resp: run.resp, placement: run.placement, resumed: m.headerWritten,
		events: run.events, scanned: run.scanned, flusher: http.NewResponseController(m.w),
	}
	if err := r.checkHeader(run.resp); err != nil {
		m.finishHandover()
		return err
	}
	r.second = m.secondConn(m.r.Context(), run.placement.Decode, run.resp)
	defer r.second.Close()
	err := r.relayEvents()
	if err == nil {
		err = r.checkWhole()
	} else {
		err = r.checkEnd(r.r.Context(), run.placement.Decode, run.resp, r.second, err)
	}
	if err == nil || r.lacksOnlyEnd(err) {
		r.stopHandover()
		return r.end()
	}
	if m.headerWritten {
		_ = r.flusher.Flush() // the events before the failure; err is the error to report
	}
	r.finishHandover()
	return err
}

// mediaType returns the content type without its parameters.
func mediaType(h http.Header) string {
	v := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(v); err == nil {
		return t
	}
	return v
}

// relayEvents passes on the events up to the end of the body. Of a response that continues a
// stream, comments before the first event are dropped, because only an event shows that it is the
// same stream. So are those of a silent server, as the response of another one may be the one to begin the stream.
func (r *streamRelay) relayEvents() error {
	for r.scan() {
		comment := r.events.Comment()
		if comment && !r.passed && (r.resumed || r.search != nil) {
			continue
		}
		if !comment {
			if err := r.recordEvent(r.events.ID()); err != nil {
				return err
			}
		}
		if err := r.pass(); err != nil {
			return err
		}
	}
	return r.events.Err()
}

// scan reads the next event, unless the first one was already read.
func (r *streamRelay) scan() bool {
	if r.scanned {
		r.scanned = false
		return true
	}
	return r.events.Scan()
}

// recordEvent records the event that is passed on next. It returns an error unless the event is
// the one after the last. Servers number the events of a request 1, 2, 3 and so on, so a gap means
// that an event is missing, even within the response of one server.
func (r *streamRelay) recordEvent(id int64) error {
	if err := r.checkEvent(id); err != nil {
		return err
	}
	r.stopHandover()
	if r.next != nil {
		r.left = true
		return errSuperseded
	}
	if r.lastEventID == r.info.LastEventID {
		r.placer.FirstEvent(r.placement)
		r.stats.first = r.h.cfg.Clock.Now() - r.start
	}
	if r.passed && !r.begun {
		r.begun = true
		r.recordBegun()
	}
	r.lastEventID, r.passed = id, true
	r.progress = r.h.cfg.Clock.Now()
	r.recordSound(r.placement.Decode)
	r.resp.SetIdleTimeout(r.silenceLimit())
	return nil
}

// silenceLimit returns how long the server may be silent now, see fallSilent. A response that may lack only its end is waited for
// as long as its caller waits.
func (m *modelExchange) silenceLimit() time.Duration {
	if m.outputExhausted() {
		return min(patience(m.route), time.Duration(callersPatience*float64(m.remaining())))
	}
	return maxSilence(m.route)
}

// checkEvent returns an error unless an event with the ID may follow the last one.
func (m *modelExchange) checkEvent(id int64) error {
	switch next := max(m.lastEventID, 0) + 1; {
	case id == event.NoID:
		return errNoEventID
	case id < next:
		return errEventOrder
	case id > next:
		return errMissingEvent
	default:
		return nil
	}
}

// pass writes the current event to the caller, and flushes it unless the next one has been read.
func (r *streamRelay) pass() error {
	if !r.headerWritten {
		r.writeHeader(r.resp)
	}
	if _, err := r.w.Write(r.events.Bytes()); err != nil {
		return err
	}
	if r.events.NextBuffered() {
		return nil
	}
	if err := r.flusher.Flush(); err != nil {
		return err
	}
	if r.last = r.recordGap(r.last); r.first == 0 {
		r.first = r.last
	} else {
		r.gaps++
	}
	return nil
}

// checkWhole returns an error unless the regular end of the body is the end of the stream. If a response continues a stream and
// has no events, its end is not the end of the stream, unless no further event is possible.
func (r *streamRelay) checkWhole() error {
	if r.outputExhausted() { // the last token proves the end
		return nil
	}
	if (r.resumed || !r.resp.Framed()) && !r.passed {
		return errNoEvents
	}
	return r.checkEnd(r.r.Context(), r.placement.Decode, r.resp, r.second, nil)
}

// lacksOnlyEnd reports whether a response that was waited for in vain has all that may come but its end: it has as many events
// as the request allows tokens, and no part of another one.
func (r *streamRelay) lacksOnlyEnd(err error) bool {
	return isTimeout(err) && r.passed && r.outputExhausted() && !r.events.Partial()
}

// end ends the stream.
func (r *streamRelay) end() error {
	if !r.begun {
		r.recordBegun()
	}
	if r.gaps > 0 {
		r.placer.ObserveGap(r.placement, (r.last-r.first)/time.Duration(r.gaps))
	}
	if !r.headerWritten {
		r.writeHeader(r.resp)
	}
	if err := r.flusher.Flush(); err != nil {
		return err
	}
	r.summary, r.complete = "answered in full", true
	return nil
}

// outputExhausted reports whether the events so far contain all output tokens that the request
// allows. Each event of an engine contains at least one token.
func (m *modelExchange) outputExhausted() bool {
	return m.placed() && m.info.MaxOutputTokens > 0 && m.lastEventID >= int64(m.info.MaxOutputTokens)
}

// writeHeader writes the header of a streamed response.
func (m *modelExchange) writeHeader(resp *link.Response) {
	m.advance(stateWaiting, stateAnswering)
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
