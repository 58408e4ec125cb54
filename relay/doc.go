// Package relay carries the requests of callers to backend servers: it finds
// the route and the customer, chooses servers, and passes the answer on.
//
// # Usage
//
//	h := relay.New(relay.Config{Live: live, Wire: names, Link: client, ...})
//	engine.NoRoute(gin.WrapH(h))
//
// # Outcomes
//
// An answer of 429 or 503 says that the request has not run and never will:
// it is given only if no byte of the request was written to a server, or if
// each server that got it has said that it did not run it. Any other failure
// is 502, or 504 after the time limit. A stream that breaks ends without its
// last chunk, so that it cannot look complete.
//
// # Repeats
//
// A mutating request, and a stream that is not resumable, is written to one
// server, and to another one only after the first has disowned it. Idempotent
// requests and resumable streams are repeated up to the route's number of
// tries. Each write beyond the first is taken from the retry budget.
//
// # Life of a model request
//
// A place at a decode server is charged first, then the prompt is read at a
// prefill server, and the KV cache goes to the decode server with the request.
// Where the first way fails, the decode server reads the prompt itself.
//
// All methods may be called concurrently.
package relay
