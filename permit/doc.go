// Package permit keeps the limits that backend servers name: the number of requests per second that
// a server accepts from all instances together.
//
// Each limited server has a home, the one instance that issues permits for it. An instance claims a
// permit for each request before it sends the request.
//
// # Usage
//
//	limits := permit.NewLimits()
//	issuer := permit.NewIssuer("sierra-a-1", limits) // decides the claims of all instances
//	gate := permit.NewGate(limits, tick.SinceBoot)   // obtains the permits of this instance
//	gate.SetClaimer(claimer)
//
//	p, err := gate.Acquire(ctx, server, permit.Caller{Customer: "sur"})
//	if err != nil {
//		// use another server, or reject the caller with gate.RetryAfter
//	}
//	// connect, and right before the request is written:
//	if err := gate.Check(p); err != nil {
//		// too late
//	}
//	// when the header of the response was received:
//	gate.Record(server, 2.5, true, time.Since(sent))
//
// # The sum
//
// A home issues at most rate*t + burst permits in a time t, and a permit is valid for lifetime. The
// server thus receives at most rate*(t+lifetime) + burst requests, however many instances there are.
// When the home moves, its successor starts with an empty bucket.
//
// # Order of statements
//
// Responses overtake each other. A statement replaces the recorded one only if its request was sent
// after the response with the recorded one was received. Otherwise it may be the older one, and the
// next response decides. Reports of peers only add or lower a limit. A limit ends with a response to
// this instance that names none. It has no other end while the server is listed, because requests
// within the limit find out whether it still holds.
//
// # Claims
//
// A claim is denied at once if there is no permit. While the bucket of a server is not full, urgent
// claims go before others, and customers share the rest by their weights. After a denial the gate
// makes no claim for the server until the instance's turn, so that the number of claims is bounded
// by the limit and not by the demand.
//
// # Concurrency
//
// All types are safe for concurrent use. The package does no I/O.
package permit
