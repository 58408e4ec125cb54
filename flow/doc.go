// Package flow carries one generation request through its life: placement,
// a place at a decode engine, prefill, KV transfer and the relay of the output.
//
// # Usage
//
//	r := flow.New(flow.Config{Node: node, Engines: client, Placer: sched, Holds: keeper, Timer: timer})
//	res, err := r.Run(ctx, flow.Request{ID: id, Model: m, Prompt: p, MaxOutput: 500}, sink)
//	if err != nil {
//		code, retry := flow.Explain(err) // and fail.Outcome(err)
//	}
//
// # What it keeps
//
// Run returns a nil error only if the engine has said how long the output is
// and exactly that many tokens were given to the sink, each once and in order.
// Every other way out is an error: an answer cut short never looks whole.
//
// Each call to an engine bears an attempt that is drawn for one engine and one
// purpose and never used again. A token is accepted only from the attempt that
// is being read and only at the offset that comes next; all others are counted
// and dropped.
//
// Every hold that a call may have left at an engine is noted before the call
// is made, kept alive while it is of use, and given to Holds for release on
// every way out.
//
// A stream that breaks goes on at the exact offset on a new connection to the
// same engine. If that engine has lost the attempt, a request whose output is
// repeatable is run again at an engine of the same build; what the caller has
// already is compared with the new output and left out. Any other request
// that has sent something ends with ErrCut.
//
// # Concurrency
//
// A Runner may be used by many goroutines. Each Run uses the goroutine of its
// caller.
package flow
