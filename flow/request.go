package flow

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Request is one request for generated text.
type Request struct {
	ID               ident.Request
	Customer         ident.Customer
	Model            ident.Model
	Class            ident.Class
	Prompt           string
	BlockHashes      []uint64 // chained hashes of the whole pieces of the prompt
	PromptTokens     int64
	MaxOutput        int64
	Priority         int
	Seed             int64
	Exact            bool          // temperature zero and a seed
	FirstTokenTarget time.Duration // target, 0 for none
	GapTarget        time.Duration // target between tokens, 0 for none
	Arrived          tick.Instant
	Deadline         tick.Instant // 0 for none
	// ChargeValid reports whether the tokens charged for the request may still
	// be spent. It is asked right before the first prefill is sent. Nil means
	// that they may.
	ChargeValid func() bool
}

// Sink takes the output. It is called from the goroutine of Run.
type Sink interface {
	// Token takes the token at an offset. An error means that the caller is
	// gone, and ends the request.
	Token(offset int64, text string) error
}

// Result tells what became of a request, whether it ended whole or not.
type Result struct {
	OutputTokens   int64  // tokens given to the sink
	Reason         string // "stop" or "length" if the answer is whole
	Outcome        ident.Outcome
	FirstToken     time.Duration // from arrival, 0 if no token came
	MaxGap         time.Duration
	Gaps           int64 // between tokens
	LateGaps       int64 // over the target
	OnTime         bool  // whole and within both targets
	WastedTokens   int64 // prompt tokens computed of which no output was sent
	ComputedTokens int64 // prompt tokens computed
	CachedTokens   int64 // prompt tokens found in the prefix cache
	Attempts       int   // placements tried
	Prefills       int
	Transfers      int
	Resumes        int
	Restarts       int // runs again after a part was sent
	Dropped        DroppedEvents
	Prefill        ident.Server // of the last placement
	Decode         ident.Server
	Placement      string
}

// DroppedEvents counts events that did not belong to the answer.
type DroppedEvents struct {
	Duplicate int64 // of the live attempt, at an offset that was there already
	Stale     int64 // of an earlier attempt of the same request
	Foreign   int64 // of another request
}

// finish settles the outcome and whether both targets were met. One gap in
// twenty may be late.
func (r *Result) finish(req Request, o ident.Outcome) {
	const lateShare = 20
	r.Outcome = o
	first := req.FirstTokenTarget == 0 || r.FirstToken <= req.FirstTokenTarget
	gaps := r.LateGaps*lateShare <= r.Gaps
	r.OnTime = o == ident.Done && first && gaps
}
