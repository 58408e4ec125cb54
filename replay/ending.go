package replay

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

// again abandons a step at a server and submits the request again. If the KV
// cache can still be transferred, held is the prefill server that has it.
func (c *call) again(s place.Stage, blamed, held ident.Server) {
	c.report(s)
	c.stopPrefill()
	c.free()
	c.avoid = append(c.avoid, blamed)
	if held != "" && c.w.now-c.kvAt > kvLife/2 {
		held = ""
	}
	if held == "" && c.kvAt > 0 {
		c.lose()
	}
	if c.attempts >= maxAttempts {
		c.lose()
		c.end(failed)
		return
	}
	c.ask(held)
}

// lose counts a prefill whose result is lost as wasted.
func (c *call) lose() {
	if c.kvAt > 0 {
		c.wasted = c.run
		c.kvAt = 0
	}
}

func (c *call) cancel() {
	if c.outcome != open {
		return
	}
	c.w.policy.cancel(c)
	c.end(cancelled)
}

// end releases everything that the request holds and reports its end.
func (c *call) end(o outcome) {
	if c.outcome != open {
		return
	}
	c.outcome = o
	c.ended = c.w.now
	c.stopPrefill()
	if c.stream != nil {
		c.w.byName[c.placement.Decode].stop(c.stream)
	}
	c.free()
	if c.placement.ID != "" {
		c.report(place.StageDone)
	}
	c.epoch++
	delete(c.w.alive[c.entry], c)
}

func (c *call) stopPrefill() {
	if c.job == nil {
		return
	}
	if c.kvAt == 0 {
		n := c.w.byName[c.placement.Prefill].cancel(c.job)
		c.run += n
		c.wasted += n
	}
	c.job = nil
}

// free releases the decode slot.
func (c *call) free() {
	if c.placement.Decode != "" {
		c.w.byName[c.placement.Decode].release()
		c.placement.Decode = ""
	}
}

func (c *call) progress() pool.Progress {
	p := pool.Progress{
		ID:           c.placement.ID,
		Stage:        c.stage,
		Prefill:      c.placement.Prefill,
		Decode:       c.placement.Decode,
		Customer:     c.req.Customer,
		PromptTokens: c.req.Prompt,
	}
	if c.outcome == served {
		p.OutputTokens = c.req.Output
	}
	return p
}

// report reports the stage of the request to the scheduler.
func (c *call) report(s place.Stage) {
	c.stage = s
	p := c.progress()
	if s.Ended() {
		c.placement.ID = ""
	}
	c.w.after(c.w.policy.distance(), func() {
		c.w.policy.progress(c.entry, &p, c.w.now)
		c.w.asked = true
	})
}

// comeBack sends a refused request once more after the Retry-After of the refusal.
func (c *call) comeBack(retry time.Duration) {
	if !c.w.opt.Return || c.back || retry < 0 {
		return
	}
	d := &call{w: c.w, req: c.req, class: c.class, blocks: c.blocks, entry: c.entry, back: true}
	c.w.calls = append(c.w.calls, d)
	c.w.after(retry, func() {
		d.arrived = c.w.now
		d.arrive()
	})
}
