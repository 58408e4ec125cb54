package flow

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Request is a request for generated text.
type Request struct {
	ID               ident.Request
	Customer         ident.Customer
	Model            ident.Model
	Class            ident.Class
	Prompt           string
	BlockHashes      []uint64 // chained hashes of the full token blocks of the prompt
	PromptTokens     int64
	MaxOutput        int64
	Priority         int
	Seed             int64
	Exact            bool          // temperature zero and a seed
	FirstTokenTarget time.Duration // latency target, 0 for none
	GapTarget        time.Duration // target between tokens, 0 for none
	Arrived          tick.Instant
	Deadline         tick.Instant // 0 for none
	// ChargeValid reports whether the tokens charged for the request may still be spent. It is
	// called right before the first prefill is sent. If it is nil, the charge is always valid.
	ChargeValid func() bool
}

// Sink receives the output. Its method is called from the goroutine of Run.
type Sink interface {
	// Token receives the token at the given offset. An error means that the caller has
	// disconnected, and ends the request.
	Token(offset int64, text string) error
}

// Result describes how a request ended, whether its answer is complete or not.
type Result struct {
	OutputTokens   int64  // tokens sent to the sink
	Reason         string // "stop" or "length" if the answer is complete
	Outcome        ident.Outcome
	FirstToken     time.Duration // since arrival, 0 if no token was sent
	MaxGap         time.Duration
	Gaps           int64 // number of gaps between tokens
	LateGaps       int64 // number of gaps longer than GapTarget
	OnTime         bool  // complete and within both latency targets
	WastedTokens   int64 // prompt tokens computed without any output being sent
	ComputedTokens int64 // prompt tokens computed
	CachedTokens   int64 // prompt tokens found in the prefix cache
	Attempts       int   // placements tried
	Prefills       int
	Transfers      int
	Resumes        int
	Restarts       int // repeated runs after some tokens were sent
	Dropped        DroppedEvents
	Prefill        ident.Server // prefill server of the last placement
	Decode         ident.Server
	Placement      string
}

// DroppedEvents counts stream events that were not part of the answer.
type DroppedEvents struct {
	Duplicate int64 // events of the current attempt at an offset already read
	Stale     int64 // events of an earlier attempt of the same request
	Foreign   int64 // events of another request
}

// finish sets the outcome and whether both latency targets were met. One gap in twenty may exceed
// its target.
func (r *Result) finish(req Request, o ident.Outcome) {
	const lateGapDivisor = 20
	r.Outcome = o
	first := req.FirstTokenTarget == 0 || r.FirstToken <= req.FirstTokenTarget
	gaps := r.LateGaps*lateGapDivisor <= r.Gaps
	r.OnTime = o == ident.Done && first && gaps
}
