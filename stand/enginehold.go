package stand

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/tick"
)

// attempt is the state of one attempt at the engine. Engine.mu guards it.
type attempt struct {
	name    string
	contact tick.Instant // time of the last contact by a router
	life    time.Duration

	job *job    // prefill, queued or running
	kv  *export // result of the prefill

	place     string // name of the decode slot
	maxOutput int64
	transfer  *transfer // import, in progress or completed
	decode    *decode
}

// drop stops everything that runs for the attempt.
func (a *attempt) drop() {
	if a.job != nil {
		a.job.cancel()
	}
	if a.transfer != nil {
		a.transfer.cancel()
	}
	if a.decode != nil {
		a.decode.closeStream()
	}
}

// kinds returns the kinds of the attempt's holds.
func (a *attempt) kinds(now tick.Instant) []string {
	var ks []string
	if a.job != nil && !a.job.finished {
		ks = append(ks, engine.HoldPrefill)
	}
	if a.kv != nil {
		ks = append(ks, engine.HoldKV)
	}
	if a.place != "" && (a.decode == nil || !a.decode.finished(now)) {
		ks = append(ks, engine.HoldSlot)
	}
	if a.decode != nil {
		ks = append(ks, engine.HoldStream)
	}
	return ks
}

// expire releases the holds that have expired.
func (e *Engine) expire() {
	now := e.cfg.Timer.Now()
	for name, x := range e.exports {
		if x.readers == 0 && now >= x.until {
			e.dropExport(name)
		}
	}
	for name, a := range e.attempts {
		if a.decode != nil && a.decode.audible() && !e.cfg.TouchOnly {
			a.contact = now
		}
		if now-a.contact > a.life {
			e.counts.Expired++
			e.release(name)
		}
	}
	for name, until := range e.gone {
		if now >= until {
			delete(e.gone, name)
		}
	}
}

func (e *Engine) dropExport(name string) {
	x := e.exports[name]
	delete(e.exports, name)
	if a := e.attempts[x.attempt]; a != nil && a.kv == x {
		a.kv = nil
		if a.place == "" {
			delete(e.attempts, a.name)
		}
	}
}

// release releases all holds of an attempt and returns their number. Later calls
// for the attempt are rejected.
func (e *Engine) release(name string) int {
	now := e.cfg.Timer.Now()
	e.gone[name] = now + tombstoneLife
	a := e.attempts[name]
	if a == nil {
		return 0
	}
	n := len(a.kinds(now))
	a.drop()
	if a.kv != nil {
		delete(e.exports, a.kv.name)
	}
	delete(e.attempts, name)
	return n
}

// take returns the state of an attempt and records the contact. It returns nil
// if the attempt has been released.
func (e *Engine) take(name string, holdMS int64) *attempt {
	if _, gone := e.gone[name]; gone {
		return nil
	}
	a := e.attempts[name]
	if a == nil {
		life := time.Duration(holdMS) * time.Millisecond
		if life <= 0 || life > e.cfg.HoldLife || e.cfg.IgnoreHold {
			life = e.cfg.HoldLife
		}
		a = &attempt{name: name, life: life}
		e.attempts[name] = a
	}
	a.contact = e.cfg.Timer.Now()
	return a
}

// busy returns the number of slots taken.
func (e *Engine) busy() int {
	now := e.cfg.Timer.Now()
	n := 0
	for _, a := range e.attempts {
		if a.place != "" && (a.decode == nil || !a.decode.finished(now)) {
			n++
		}
	}
	return n
}

func (e *Engine) reserve(w http.ResponseWriter, r *http.Request) {
	var in engine.ReserveRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if a := e.attempts[in.Attempt]; a != nil && a.place != "" {
		a.contact = e.cfg.Timer.Now()
		writeJSON(w, engine.ReserveResponse{Slot: a.place, Build: e.cfg.Build})
		return
	}
	switch {
	case e.draining:
		refuse(w, http.StatusConflict, engine.CodeDraining, "takes nothing new")
		return
	case !e.plays(RoleDecode):
		refuse(w, http.StatusConflict, engine.CodeModelNotLoaded, "role is "+e.role)
		return
	case !e.serves(in.Model):
		refuse(w, http.StatusConflict, engine.CodeModelNotLoaded, "model is not loaded")
		return
	case e.busy() >= e.cfg.Places:
		e.counts.Full++
		refuse(w, http.StatusConflict, engine.CodeFull, "no place left")
		return
	}
	a := e.take(in.Attempt, in.TTLMS)
	if a == nil {
		refuse(w, http.StatusConflict, engine.CodeUnknownAttempt, "attempt was released")
		return
	}
	a.place = e.nextName("place")
	a.maxOutput = in.MaxOutput
	writeJSON(w, engine.ReserveResponse{Slot: a.place, Build: e.cfg.Build})
}

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	var in engine.CancelRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	e.counts.Cancels++
	if a := e.attempts[in.Attempt]; in.IdleOverMS > 0 && a != nil {
		if idle := e.cfg.Timer.Now() - a.contact; idle <= time.Duration(in.IdleOverMS)*time.Millisecond {
			writeJSON(w, engine.CancelResponse{})
			return
		}
	}
	writeJSON(w, engine.CancelResponse{Released: e.release(in.Attempt)})
}

func (e *Engine) touch(w http.ResponseWriter, r *http.Request) {
	var in engine.TouchRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	out := engine.TouchResponse{Gone: []string{}}
	for _, name := range in.Attempts {
		a := e.attempts[name]
		if a == nil {
			out.Gone = append(out.Gone, name)
			continue
		}
		a.contact = e.cfg.Timer.Now()
	}
	writeJSON(w, out)
}

func (e *Engine) holds(w http.ResponseWriter, r *http.Request) {
	over := int64(-1)
	if q := r.URL.Query().Get("idle_over_ms"); q != "" {
		var err error
		if over, err = strconv.ParseInt(q, 10, 64); err != nil {
			refuse(w, http.StatusBadRequest, "body", "idle_over_ms is not a whole number")
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, slices.DeleteFunc(e.account(), func(h engine.HoldEntry) bool { return h.IdleMS <= over }))
}

// Holds returns the holds in the order of their attempts.
func (e *Engine) Holds() []engine.HoldEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.account()
}

// account lists the holds in the order of their attempts.
func (e *Engine) account() []engine.HoldEntry {
	e.expire()
	now := e.cfg.Timer.Now()
	out := []engine.HoldEntry{}
	for _, a := range e.attempts {
		for _, k := range a.kinds(now) {
			out = append(out, engine.HoldEntry{
				Attempt: a.name,
				Kind:    k,
				IdleMS:  (now - a.contact).Milliseconds(),
				TTLMS:   (a.life - (now - a.contact)).Milliseconds(),
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Attempt != out[j].Attempt {
			return out[i].Attempt < out[j].Attempt
		}
		return out[i].Kind < out[j].Kind
	})
	return out
}
