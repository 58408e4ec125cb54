// Package engine is the client of the inference engines that run on the backend servers. It is the
// only package that knows their protocol: JSON calls and server-sent events over HTTP.
//
// # Usage
//
//	c := engine.New(engine.Config{Clock: clock, Directory: directory})
//	slot, err := c.Reserve(ctx, "sierra-a-d1", flow.ReserveRequest{Attempt: a, Model: m, TTL: ttl})
//	s, err := c.Stream(ctx, "sierra-a-d1", a, 0)
//	defer s.Close()
//	for {
//		ev, err := s.Next()
//		...
//	}
//
// # Connections
//
// The standard transport retries a request on a new connection when a reused one turns out to be
// closed. A call that makes an engine work must not be sent twice without the caller noticing.
// Reserve, Prefill, Import, Stream and Order therefore use a new connection for each call, on which the
// transport never retries. Events uses a new connection as well. The other calls are idempotent and
// share pooled connections. After a failure of one of them, all idle pooled connections are closed.
//
// Each call has an ID in the header field CallIDHeader, which the engine returns. A call fails if its
// response has another ID, or none on a reused connection. A connection on which a response without an ID
// arrived is not reused.
//
// # Stall detection
//
// An engine writes at least every half second on every open response: a token, a comment in an event
// stream, or a newline before a JSON body. If a response makes no progress for Config.StallTimeout, the
// call fails with flow.ErrStalled and the connection is closed.
//
// # Outcomes
//
// Errors are of type fail.Error with the step, the server and the outcome. The outcome is ident.NotRun
// only if no connection was established or the engine itself rejected the call.
//
// # Concurrency
//
// A Client is safe for concurrent use. A stream must be used by one goroutine at a time.
package engine
