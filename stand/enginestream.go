package stand

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// decode is the output of an attempt. The tokens that are ready are computed from
// the time since the start. Engine.mu guards it.
type decode struct {
	tokens  []string
	reason  string
	started bool
	start   tick.Instant
	step    time.Duration
	stream  context.CancelCauseFunc // cancels the open stream; nil if there is none
	open    uint64                  // serial number of the open stream
	life    *lifetime               // lifetime in which the stream was opened
}

func newDecode(a *attempt, prompt string) *decode {
	tokens, reason := Answer(prompt, a.maxOutput)
	return &decode{tokens: tokens, reason: reason}
}

// produced returns the number of tokens that are ready at now.
func (d *decode) produced(now tick.Instant) int64 {
	if !d.started {
		return 0
	}
	if d.step <= 0 {
		return int64(len(d.tokens))
	}
	return min(int64((now-d.start)/d.step)+1, int64(len(d.tokens)))
}

func (d *decode) finished(now tick.Instant) bool {
	return d.started && d.produced(now) == int64(len(d.tokens))
}

// audible reports whether a stream is open and not affected by FaultSilence.
func (d *decode) audible() bool {
	return d.stream != nil && d.life.muted.Err() == nil
}

var errReplaced = errors.New("stream was replaced or released")

func (d *decode) closeStream() {
	if d.stream != nil {
		d.stream(errReplaced)
		d.stream = nil
	}
}

// openStream is one connection on which a decode is sent.
type openStream struct {
	attempt string
	d       *decode
	ctx     context.Context
	cancel  context.CancelCauseFunc
	serial  uint64
	life    *lifetime
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		refuse(w, http.StatusBadRequest, "body", "offset is not a whole number")
		return
	}
	s := e.openStream(w, r, offset)
	if s == nil {
		return
	}
	defer e.closeStream(s)
	w.Header().Set("Content-Type", "text/event-stream")
	heartbeat(w, ": open\n\n")
	if !e.send(w, r, s, offset) {
		panic(http.ErrAbortHandler)
	}
}

// openStream starts the decode if it has not started, and closes an older stream
// of it.
func (e *Engine) openStream(w http.ResponseWriter, r *http.Request, offset int64) *openStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	name := r.URL.Query().Get("attempt")
	a := e.attempts[name]
	if a == nil || a.decode == nil {
		refuse(w, http.StatusNotFound, engine.CodeUnknownAttempt, "nothing to decode")
		return nil
	}
	d, now := a.decode, e.cfg.Timer.Now()
	a.contact = now
	if !d.started {
		d.started, d.start = true, now
		d.step = e.cfg.TokenTime + time.Duration(e.busy()-1)*e.cfg.TokenSlope
		e.runs[name]++
		e.counts.Decodes++
	}
	if offset > d.produced(now) {
		refuse(w, http.StatusConflict, "offset", "offset is ahead of the output")
		return nil
	}
	d.closeStream()
	ctx, cancel := context.WithCancelCause(e.life.ctx)
	e.serial++
	d.stream, d.open, d.life = cancel, e.serial, e.life
	e.counts.Streams++
	return &openStream{attempt: name, d: d, ctx: ctx, cancel: cancel, serial: d.open, life: e.life}
}

func (e *Engine) closeStream(s *openStream) {
	s.cancel(errReplaced)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.d.open == s.serial {
		s.d.stream = nil
	}
	if a := e.attempts[s.attempt]; a != nil && a.decode == s.d {
		a.contact = e.cfg.Timer.Now()
	}
}

// send writes the tokens from offset on and the end event. It reports whether the
// stream is complete.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *openStream, offset int64) bool {
	beats := e.cfg.Timer.Every(e.cfg.Heartbeat)
	defer beats.Stop()
	total := int64(len(s.d.tokens))
	for {
		ready, wait := e.ready(s.d)
		for ; offset < ready; offset++ {
			if !speak(r, s.life) {
				return false
			}
			e.writeToken(w, s, offset)
		}
		if offset == total {
			end := engine.EndEvent{Attempt: s.attempt, Total: total, Reason: s.d.reason}
			heartbeat(w, "event: end\ndata: "+encode(end)+"\n\n")
			return true
		}
		if !e.await(w, r, s, beats, wait) {
			return false
		}
	}
}

// ready returns the number of tokens that are ready and the time until the next.
func (e *Engine) ready(d *decode) (int64, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Timer.Now()
	n := d.produced(now)
	return n, d.start + time.Duration(n)*d.step - now
}

// await waits for the next token and sends heartbeats meanwhile. It returns false if
// the stream was closed.
func (e *Engine) await(w http.ResponseWriter, r *http.Request, s *openStream, beats tick.Timer, d time.Duration) bool {
	next := e.cfg.Timer.After(max(d, time.Microsecond))
	defer next.Stop()
	for {
		select {
		case <-next.C():
			return true
		case <-beats.C():
			if !speak(r, s.life) {
				return false
			}
			heartbeat(w, ": alive\n\n")
		case <-r.Context().Done():
			return false
		case <-s.ctx.Done():
			return false
		}
	}
}

func (e *Engine) writeToken(w http.ResponseWriter, s *openStream, offset int64) {
	e.mu.Lock()
	crossed := e.takeFault(FaultCross, "")
	e.counts.Tokens++
	e.mu.Unlock()
	if crossed {
		e.writeEvent(w, engine.TokenEvent{Attempt: "stray.1.1", Offset: offset, Text: "stray", Token: 1})
		if offset > 0 {
			e.writeEvent(w, engine.TokenEvent{Attempt: s.attempt, Offset: offset - 1, Text: s.d.tokens[offset-1], Token: 1})
		}
	}
	e.writeEvent(w, engine.TokenEvent{Attempt: s.attempt, Offset: offset, Text: s.d.tokens[offset], Token: 1})
}

func (e *Engine) writeEvent(w http.ResponseWriter, ev engine.TokenEvent) {
	heartbeat(w, fmt.Sprintf("id: %d\ndata: %s\n\n", ev.Offset, encode(ev)))
}
