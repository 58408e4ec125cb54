package proxy

import (
	"net/http"

	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
)

// eventStream is the media type of a response that consists of events.
const eventStream = "text/event-stream"

// isFailure reports whether a response is that of a server which has failed the request. An engine answers a stream with 200 only, and a
// stream goes on with 200 only.
func (m *modelExchange) isFailure(resp *link.Response) bool {
	if m.streams() && (m.placed() || m.headerWritten) {
		return resp.Status != http.StatusOK
	}
	return resp.Status >= http.StatusInternalServerError
}

// expectsEvents reports whether a response is passed on event by event. A service without engines may answer a stream with a document: a
// response that has a length and another type.
func (m *modelExchange) expectsEvents(resp *link.Response) bool {
	if !m.streams() || resp.Status != http.StatusOK {
		return false
	}
	return m.placed() || m.headerWritten || resp.Length() < 0 || mediaType(resp.Header) == eventStream
}

// relayWhole passes the response of a run on once it is whole.
func (m *modelExchange) relayWhole(run *modelRun) error {
	resp, err := m.readWhole(run)
	if err != nil {
		m.finishHandover()
		return err
	}
	m.stopHandover()
	m.recordBegun()
	m.writeResponse(resp)
	return nil
}

// readWhole reads a response to its end.
func (m *modelExchange) readWhole(run *modelRun) (*response, error) {
	s, resp := run.placement.Decode, run.resp
	second := m.secondConn(m.r.Context(), s, resp)
	defer second.Close()
	b, err := m.bufferResponse(resp)
	err = m.checkEnd(m.r.Context(), s, resp, second, err)
	if err == nil && resp.Status < http.StatusMultipleChoices && !m.h.cfg.Protocol.Sealed(resp.Header) {
		err = errUnsealed
	}
	return &response{status: resp.Status, header: resp.Header, body: b}, err
}

// relayFailure handles the response of a server that has failed the request. It is passed on only if nothing was passed on before and no
// other server is tried. It returns true if the request has ended.
func (m *modelExchange) relayFailure(run *modelRun) bool {
	h, s := m.h, run.placement.Decode
	resp, err := m.readWhole(run)
	m.finishHandover()
	h.cfg.Log.Info().Err(err).Int("status", run.resp.Status).Str("server", s.ID).Str("id", m.info.ID).
		Int64("event", m.lastEventID).Bool("resumed", m.headerWritten).Msg("relay: server did not send a stream")
	h.cfg.Health.RecordFailure(s.Key(), health.BadResponse, h.cfg.Clock.Now())
	m.exclude(s)
	if m.next.isRun() {
		return false
	}
	if m.runCount() < m.route.MaxAttempts && m.route.Retryable() {
		if err == nil {
			m.savedFailure = resp
		}
		return false
	}
	if err != nil || m.headerWritten {
		m.giveUp(overloadRetry, "the server failed")
		return true
	}
	m.writeResponse(resp)
	return true
}
