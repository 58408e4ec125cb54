// Package plain calls plain services and tells truthfully whether a call ran.
//
// # Usage
//
//	c := plain.New(plain.Config{Servers: servers, Clock: clock, Log: log})
//	answer, err := c.Call(ctx, call)
//	switch fail.Outcome(err) {
//	case ident.NotRun:
//		// no byte of the call left this process
//	case ident.Unknown:
//		// the call may have run: it is not repeated
//	}
//
// # Outcomes
//
// A call that may not be repeated travels on a connection of its own. The
// connection notes the first byte that is handed to the operating system.
// Before that byte every failure, of the dial, of the TLS handshake or of the
// caller's own gate, is "not run"; after it only a whole answer is "done" and
// all else is "unknown". The HTTP transport gets no chance to send such a call
// again: its connection is never reused and its body can't be rewound.
//
// A call that may be repeated goes to another server, on a fresh connection,
// within a budget of attempts and its deadline.
//
// # Silent connections
//
// A connection on which nothing is read or written for the progress limit is
// closed, and the call on it fails.
//
// All methods may be called concurrently.
package plain
