// Package plain calls plain services and reports whether a failed call may have
// run.
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
// Each attempt has its own connection, which records the first byte that is
// handed to the operating system. A failure before that byte, of the dial, the
// TLS handshake or the caller's gate, has the outcome "not run". After it, a
// complete answer is "done" and everything else is "unknown". The HTTP transport
// cannot send a call a second time: its connection is never reused and its body
// cannot be rewound.
//
// An idempotent call is retried at other servers, each time on a new connection,
// up to the maximum number of attempts and its deadline. Other calls are retried
// only while their outcome is "not run".
//
// # Silent connections
//
// A connection on which nothing is read or written for the progress limit is
// closed, and the call on it fails.
//
// All methods may be called concurrently.
package plain
