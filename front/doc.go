// Package front is the HTTP server for callers. It authenticates and admits
// their requests, runs them, and sends back complete responses or explicit
// errors.
//
// # Usage
//
//	s, err := front.New(front.Config{Source: source, Limiter: quota, Generator: flow, Plain: plainClient, Keyed: once, Clock: clock, Meter: m, Log: log})
//	l, err := front.Listen(ctx, ":8080")
//	done := s.Serve(l)
//	...
//	s.CancelWithdrawn(stillValid) // after each new revision of the configuration
//	...
//	err = s.Drain(ctx)     // at shutdown
//
// # Keys
//
// A caller may send its API key as "Authorization: Bearer", as X-Api-Key, in the
// query parameters api_key and key, or in the body field api_key. The key is
// removed from the request in all these places, and only its hash is kept. If
// the request repeats the key elsewhere, the headers that contain it are
// removed; a key in the path, the query, the body or the idempotency key
// rejects the request. Public routes ignore keys, valid or not.
//
// # Responses
//
// A streamed response ends with "data: [DONE]" only if it is complete; a
// truncated one ends with an event named error. Any other response has a
// Content-Length or is an error. Error bodies have a code, a message, the
// outcome and the request identifier.
//
// # Cancellation
//
// The context of a request is cancelled when its caller closes the connection
// or stops reading, and when its API key is withdrawn.
//
// # Concurrency
//
// All methods may be called concurrently. The set of active requests is sharded
// by the hash of the API key, with a mutex for each shard.
package front
