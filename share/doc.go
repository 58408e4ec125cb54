// Package share keeps what customers use over all instances within their
// limits, and the repeats of requests within the fleet's budget, without a
// message before any decision.
//
// # Usage
//
//	l := share.NewLimits(cfg, clock)
//	wait, ok := l.Admit(ctx, customer, tokens, patience)
//	l.SetPeerUsage("sierra-a-2/7", map[string]int64{"sur": 90_000}, now)
//
//	r := share.NewRepeats(cfg, clock)
//	r.RecordRequest("notes")
//	if r.Allow("notes") { ... }
//
// # Limits
//
// Each instance keeps a copy of the bucket of each customer, takes its own
// charges from it at once and those of the others when it hears of them, some
// hundred milliseconds later. What is charged twice in that time is at most
// the rate times the delay, far below the tolerance that operators publish.
//
// An instance that hears only some of the others fills its buckets in the same
// proportion: both sides of a cut together fill them once. When the sides meet
// again, what each has charged beyond its part is taken off at the other.
//
// A customer that is over its limit for a moment is not refused: its requests
// wait in a line, those that can wait least first, if their tokens come within
// their patience. What cannot be served by then is refused as soon as that is
// known.
//
// # Repeats
//
// Each instance has its part of the fleet's extra repeats, and the ratio of
// its own requests. Both are known without any message, so the sum holds under
// every cut.
package share
