// Package engine is the client of the inference engines. It is the only
// package that knows their wire form: JSON calls and server-sent events over
// HTTP.
//
// # Usage
//
//	c := engine.New(engine.Config{Timer: timer, Directory: directory})
//	seat, err := c.Reserve(ctx, "sierra-a-d1", flow.Reservation{Attempt: a, Model: m, Hold: hold})
//	s, err := c.Stream(ctx, "sierra-a-d1", a, 0)
//	defer s.Close()
//	for {
//		ev, err := s.Next()
//		...
//	}
//
// # Connections
//
// The standard transport repeats a request on a fresh connection when a reused
// one turns out to be closed. No call that makes an engine work may be written
// twice without the caller knowing, so Reserve, Prefill, Import, Stream and
// Order each open a connection of their own: the transport never repeats on
// those. The remaining calls are repeatable and share pooled connections, all
// of which are closed after a failure.
//
// # Progress
//
// An engine writes something at least every half second on every open answer:
// a token, a comment on a stream, a newline ahead of a JSON body. An answer
// that stays silent for Config.Silence is given up with flow.ErrSilent, and
// the connection is closed.
//
// # Outcomes
//
// Errors are of type fail.Error with the step, the server and the outcome. The
// outcome is "not run" only if no connection came about or the engine itself
// refused the call.
package engine
