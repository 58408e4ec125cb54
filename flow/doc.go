// Package flow runs generation requests on prefill and decode engines. For each request it gets a
// placement, reserves a slot at the decode engine, runs the prefill, transfers the KV cache and
// relays the output to the caller. It retries failed attempts.
//
// # Usage
//
//	r := flow.New(flow.Config{Node: node, Engines: client, Placer: sched, Holds: keeper, Timer: timer})
//	res, err := r.Run(ctx, flow.Request{ID: id, Model: m, Prompt: p, MaxOutput: 500}, sink)
//	if err != nil {
//		code, retry := flow.ErrorCode(err) // and fail.Outcome(err)
//	}
//
// # Guarantees
//
// Run returns a nil error only if the engine reported the length of the output and the sink
// received exactly that many tokens, each once and in order. In all other cases it returns an
// error, so a truncated answer is never mistaken for a complete one.
//
// Each call to an engine carries an attempt ID. An ID is created for one engine and one purpose and
// is never reused. The stream reader accepts a token only if it belongs to the current attempt and
// has the next offset. It counts and drops all other tokens.
//
// A hold is a resource that an engine may have allocated to an attempt: a decode slot, a running
// prefill or an exported KV cache. Every hold is registered with the HoldKeeper before the call that
// may create it. The HoldKeeper renews a hold while it is useful. The Runner releases every hold,
// however the request ends.
//
// A broken stream is resumed at the exact offset on a new connection to the same engine. If that
// engine has lost the attempt and the output is reproducible, the request is run again on an engine
// of the same build. The tokens that the caller already has are compared with the new output and
// are not sent again. Any other request that has sent tokens ends with ErrTruncated.
//
// # Concurrency
//
// A Runner is safe for concurrent use. Each Run uses the goroutine of its caller.
package flow
