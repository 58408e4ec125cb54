package replay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

const (
	// maxAttempts is the maximum number of placements of one request.
	maxAttempts = 3
	// prefillSlack and transferSlack are added to twice the expected time of a
	// step, which is the timeout of the step.
	prefillSlack  = 250 * time.Millisecond
	transferSlack = 100 * time.Millisecond
	// bindEvery is the time between two attempts to find a decode server without
	// a reservation.
	bindEvery = 20 * time.Millisecond
)

type outcome uint8

const (
	open outcome = iota
	served
	refused
	cancelled
	failed
)

// call is the state of one request at its entry instance.
type call struct {
	w       *world
	req     *Request
	class   pool.Class
	blocks  []uint64
	arrived tick.Instant
	entry   int
	back    bool // a caller's second request after a refusal
	inRate  bool // within its customer's limit when it arrived
	ticket  pool.Ticket

	epoch     int // number of the step; responses to earlier steps are ignored
	attempts  int
	avoid     []ident.Server
	placement place.Placement
	choice    place.Choice
	stage     place.Stage
	job       *job
	kvAt      tick.Instant // end of the prefill
	stream    *stream

	outcome outcome
	code    fail.Code
	begun   tick.Instant // first placement
	first   tick.Instant
	ended   tick.Instant
	run     int64 // prompt tokens prefilled
	wasted  int64 // of these, those whose result was not used
}

func (w *world) newCall(r *Request, n, round int, at tick.Instant) *call {
	c := &call{w: w, req: r, arrived: at, entry: w.rnd.IntN(w.opt.Entries)}
	for _, k := range w.trace.Classes {
		if k.Name == r.Class {
			c.class = k
		}
	}
	c.blocks = blocks(r, n, round)
	return c
}

// blocks returns the block hashes of a prompt. Requests with the same preamble
// share those of the preamble.
func blocks(r *Request, n, round int) []uint64 {
	var out []uint64
	var prev uint64
	for i := int64(0); (i+1)*place.BlockTokens <= r.Prompt; i++ {
		var b [32]byte
		binary.LittleEndian.PutUint64(b[:], prev)
		binary.LittleEndian.PutUint64(b[8:], r.Preamble)
		if (i+1)*place.BlockTokens > r.PreambleTokens {
			binary.LittleEndian.PutUint64(b[16:], uint64(n)+1)
			binary.LittleEndian.PutUint64(b[24:], uint64(round)+1)
		}
		prev = xxhash.Sum64(b[:])
		out = append(out, prev)
	}
	return out
}

func (c *call) arrive() {
	c.w.alive[c.entry][c] = true
	if c.req.CancelAfter > 0 && !c.w.opt.NoCancels {
		c.w.after(c.req.CancelAfter, c.cancel)
	}
	c.ask("")
}

func (c *call) ask(held ident.Server) {
	c.attempts++
	c.epoch++
	epoch := c.epoch
	a := &place.Request{
		Customer:        c.req.Customer,
		Model:           c.w.trace.Model,
		Class:           c.req.Class,
		PromptTokens:    c.req.Prompt,
		MaxOutputTokens: c.req.MaxOutput,
		BlockHashes:     c.blocks,
		Avoid:           c.avoid,
		Resumed:         c.attempts > 1,
		KVSource:        held,
	}
	c.w.after(c.w.policy.distance(), func() {
		if c.epoch != epoch {
			return
		}
		a.Waited = c.w.now - c.arrived
		c.w.policy.submit(c, a, c.w.now)
		c.w.asked = true
	})
}

func (c *call) decided(v *verdict) {
	if v.refusal != nil {
		c.code = v.refusal.Code()
		c.lose()
		c.end(refused)
		c.comeBack(v.refusal.RetryAfter())
		return
	}
	c.epoch++
	if c.begun == 0 {
		c.begun = c.w.now
	}
	c.placement = v.placement
	c.choice = v.choice
	c.stage = place.StagePlaced
	if v.placement.Decode != "" && !c.w.byName[v.placement.Decode].reserve() {
		c.placement.Decode = ""
		c.again(place.StageFailedDecode, v.placement.Decode, "")
		return
	}
	if v.placement.ReusesKV {
		c.transfer()
		return
	}
	c.lose()
	c.prefill()
}

func (c *call) prefill() {
	c.report(place.StagePrefill)
	epoch := c.epoch
	s := c.w.byName[c.placement.Prefill]
	c.job = &job{prompt: c.req.Prompt, blocks: c.blocks, urgent: !c.class.Deferrable}
	c.job.finished = func(j *job) {
		c.run += j.tokens
		if j.silent || c.epoch != epoch {
			c.wasted += j.tokens
			return
		}
		c.kvAt = c.w.now
		c.w.after(hop, func() {
			if c.epoch == epoch {
				c.report(place.StageTransfer)
				c.transfer()
			}
		})
	}
	c.w.after(hop, func() {
		if c.epoch == epoch {
			s.prefill(c.job)
		}
	})
	if c.placement.Decode == "" {
		return
	}
	c.w.after(2*(c.choice.PrefillWait+c.choice.PrefillTime)+prefillSlack, func() {
		if c.epoch == epoch && c.kvAt == 0 {
			c.again(place.StageFailedPrefill, c.placement.Prefill, "")
		}
	})
}

// transfer moves the KV cache to the decode server.
func (c *call) transfer() {
	if c.placement.Decode == "" && !c.bind() {
		return
	}
	if c.w.now-c.kvAt > kvLife {
		c.lose()
		c.again(place.StageFailedTransfer, c.placement.Decode, "")
		return
	}
	c.epoch++
	epoch := c.epoch
	n := c.req.Prompt * c.w.trace.KVBytes
	done := c.w.byName[c.placement.Decode].transfer(n)
	c.w.at(done, func() {
		if c.epoch == epoch {
			c.decode()
		}
	})
	c.w.after(2*c.choice.TransferTime+c.choice.LinkWait+transferSlack, func() {
		if c.epoch == epoch && c.stage == place.StageTransfer && c.stream == nil {
			c.again(place.StageFailedTransfer, c.placement.Decode, c.placement.Prefill)
		}
	})
}

// bind chooses a decode server without a reservation. If none is free, it tries
// again after bindEvery.
func (c *call) bind() bool {
	if c.w.now-c.kvAt > kvLife {
		c.lose()
		c.end(failed)
		return false
	}
	name, ok := c.w.policy.bind(c.w.now)
	if ok && c.w.byName[name].reserve() {
		c.placement.Decode = name
		c.choice.TransferTime = kvLife
		return true
	}
	epoch := c.epoch
	c.w.after(bindEvery, func() {
		if c.epoch == epoch {
			c.transfer()
		}
	})
	return false
}

func (c *call) decode() {
	s := c.w.byName[c.placement.Decode]
	c.stream = s.decode(c.req.Output, func() {
		c.stream = nil
		c.end(served)
	})
	epoch := c.epoch
	c.w.after(s.tokenTime(), func() {
		if c.epoch == epoch {
			c.first = c.w.now
			c.report(place.StageDecode)
		}
	})
}
