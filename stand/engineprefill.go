package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// tokenBytes is the length of prompt text that counts as one token.
const tokenBytes = 4

// job is a prefill. Engine.mu guards it, except for done.
type job struct {
	attempt  string
	prompt   string
	priority int
	serial   uint64
	ctx      context.Context
	cancel   context.CancelFunc
	finished bool
	done     chan struct{} // closed when the job has ended
	answer   engine.PrefillResponse
}

func promptTokens(prompt string) int64 {
	return int64(len(prompt)+tokenBytes-1) / tokenBytes
}

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	var in engine.PrefillRequest
	if !readJSON(w, r, &in) {
		return
	}
	j, life := e.startPrefill(w, in)
	if j == nil {
		return
	}
	ticks := e.cfg.Timer.Every(e.cfg.Heartbeat)
	defer ticks.Stop()
	for {
		select {
		case <-j.done:
			if speak(r, life) {
				writeJSON(w, e.prefillAnswer(j))
			}
			return
		case <-ticks.C():
			if !speak(r, life) {
				return
			}
			heartbeat(w, "\n")
		case <-r.Context().Done():
			return
		case <-life.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// startPrefill queues the prefill, or returns the one of the same attempt.
func (e *Engine) startPrefill(w http.ResponseWriter, in engine.PrefillRequest) (*job, *lifetime) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if a := e.attempts[in.Attempt]; a != nil && a.job != nil {
		a.contact = e.cfg.Timer.Now()
		return a.job, e.life
	}
	switch {
	case e.draining:
		refuse(w, http.StatusConflict, engine.CodeDraining, "takes nothing new")
		return nil, nil
	case !e.plays(RolePrefill):
		refuse(w, http.StatusConflict, engine.CodeModelNotLoaded, "role is "+e.role)
		return nil, nil
	case !e.serves(in.Model):
		refuse(w, http.StatusConflict, engine.CodeModelNotLoaded, "model is not loaded")
		return nil, nil
	}
	a := e.take(in.Attempt, in.TTLMS)
	if a == nil {
		refuse(w, http.StatusConflict, engine.CodeUnknownAttempt, "attempt was released")
		return nil, nil
	}
	e.serial++
	j := &job{
		attempt:  in.Attempt,
		prompt:   in.Prompt,
		priority: in.Priority,
		serial:   e.serial,
		done:     make(chan struct{}),
	}
	j.ctx, j.cancel = context.WithCancel(e.life.ctx)
	a.job = j
	e.queue = append(e.queue, j)
	e.dispatch()
	return j, e.life
}

// dispatch starts the first queued prefill if none is running.
func (e *Engine) dispatch() {
	for e.running == nil && len(e.queue) > 0 {
		first := 0
		for i, j := range e.queue {
			if j.before(e.queue[first]) {
				first = i
			}
		}
		j := e.queue[first]
		e.queue = append(e.queue[:first], e.queue[first+1:]...)
		if j.ctx.Err() != nil {
			j.end(engine.PrefillResponse{Refusal: engine.Refusal{Code: engine.CodeUnknownAttempt, Message: "released"}})
			continue
		}
		e.running = j
		e.runs[j.attempt]++
		e.counts.Prefills++
		took := e.prefillTime(j)
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.runPrefill(j, took)
		}()
	}
}

func (j *job) before(o *job) bool {
	if j.priority != o.priority {
		return j.priority < o.priority
	}
	return j.serial < o.serial
}

// end records the response of the job. It is called once.
func (j *job) end(answer engine.PrefillResponse) {
	j.finished = true
	j.answer = answer
	j.cancel()
	close(j.done)
}

// prefillTime returns the time for the part of the prompt that is not in the prefix
// cache.
func (e *Engine) prefillTime(j *job) time.Duration {
	j.answer.Tokens = promptTokens(j.prompt)
	j.answer.CachedTokens = min(e.cache.match(e.pieces(j.prompt))*pieceTokens, j.answer.Tokens)
	return time.Duration(j.answer.Tokens-j.answer.CachedTokens) * e.cfg.PrefillToken
}

func (e *Engine) runPrefill(j *job, took time.Duration) {
	err := tick.Sleep(j.ctx, e.cfg.Timer, took)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if e.running == j {
		e.running = nil
		defer e.dispatch()
	}
	a := e.attempts[j.attempt]
	if err != nil || a == nil || a.job != j {
		j.end(engine.PrefillResponse{Refusal: engine.Refusal{Code: engine.CodeUnknownAttempt, Message: "released"}})
		return
	}
	out := j.answer
	e.counts.PrefillTokens += out.Tokens - out.CachedTokens
	e.publish(e.cache.add(e.pieces(j.prompt)))
	a.kv = &export{
		name:    e.nextName("kv"),
		attempt: j.attempt,
		prompt:  j.prompt,
		bytes:   out.Tokens * e.cfg.KVTokenBytes,
		until:   e.cfg.Timer.Now() + e.cfg.KVLife,
	}
	e.exports[a.kv.name] = a.kv
	out.Attempt = j.attempt
	out.KV = a.kv.name
	out.TookMS = took.Milliseconds()
	j.end(out)
}

// prefillAnswer returns the response of a job that has ended, with the time until
// its export expires.
func (e *Engine) prefillAnswer(j *job) engine.PrefillResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := j.answer
	if x := e.exports[out.KV]; x != nil {
		out.TTLMS = max(x.until-e.cfg.Timer.Now(), 0).Milliseconds()
	}
	return out
}

func (e *Engine) pieces(prompt string) []uint64 {
	if e.cfg.Pieces == nil {
		return nil
	}
	return e.cfg.Pieces(prompt)
}

// speak reports whether an open response may be written to. After FaultSilence, it
// waits until the connection is closed and returns false.
func speak(r *http.Request, l *lifetime) bool {
	if l.muted.Err() == nil {
		return l.awaitPause(r)
	}
	select {
	case <-r.Context().Done():
	case <-l.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	return false
}

// awaitPause waits for the end of a pause and reports whether the caller still waits.
func (l *lifetime) awaitPause(r *http.Request) bool {
	paused := l.paused.Load()
	if paused == nil {
		return true
	}
	select {
	case <-(*paused).Done():
		return true
	case <-r.Context().Done():
		return false
	}
}

func heartbeat(w http.ResponseWriter, s string) {
	_, _ = w.Write([]byte(s))
	_ = http.NewResponseController(w).Flush()
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only for types that cannot be encoded
	}
	return string(b)
}
