// Package front serves the callers: it knows their keys, admits their
// requests, and relays whole answers or explicit errors.
//
// # Usage
//
//	s, err := front.New(front.Config{Source: source, Limiter: quota, Generator: flow, Plain: plainClient, Keyed: once, Clock: clock, Meter: m, Log: log})
//	l, err := front.Listen(ctx, ":8080")
//	done := s.Serve(l)
//	...
//	s.CancelWithdrawn(stillValid) // with each new table revision
//	...
//	err = s.Drain(ctx)     // at shutdown
//
// # Keys
//
// A key may come as "Authorization: Bearer", as X-Api-Key, in the query
// parameters api_key and key, or in the body field api_key. It is taken out of
// the request wherever it stands, hashed at once and forgotten. A request that
// repeats its key elsewhere is refused, or loses the header that does. Routes
// that are open to all take no notice of keys, right or wrong.
//
// # Answers
//
// A streamed answer ends with "data: [DONE]" only if it is whole; a cut one
// ends with an event named error. Any other answer has its length or is an
// error. Error bodies carry a code, a message, the outcome and the request.
//
// # Callers that go away
//
// A caller that closes its connection, stops reading, or whose key is
// withdrawn ends its request: the context of the work is cancelled.
//
// All methods may be called concurrently. Active requests lie in shards by key,
// each under its own lock.
package front
