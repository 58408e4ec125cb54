// Package permit keeps the limits that backend servers name: the number of requests per second that
// a server accepts from all instances together.
//
// # Usage
//
//	limits := permit.NewLimits()
//	limits.Record(server.Hash(), permit.Statement{Rate: 2.5, Limited: true, Sent: sent, Received: now})
//	if l, ok := limits.Of(server.Hash()); ok {
//		// l.Rate requests per second
//	}
//
// # Order of statements
//
// Responses overtake each other. A statement replaces the recorded one only if its request was sent
// after the response with the recorded one was received. Otherwise it may be the older one, and the
// next response decides.
//
// # Concurrency
//
// All types are safe for concurrent use. The package does no I/O.
package permit
