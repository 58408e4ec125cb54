// Package proxy forwards the requests of callers to backend servers. It resolves
// the route and the customer, chooses the servers, and passes their response on to the
// caller.
//
// # Usage
//
//	h := proxy.New(proxy.Config{Live: live, Protocol: protocol, Client: client, ...})
//	engine.NoRoute(gin.WrapH(h))
//
// # Outcomes
//
// A 429 or 503 response means that the request has not run and will not run. The router
// sends such a response only if no byte of the request was written to a server, or if
// each server that received the request has reported that it did not run the request. The
// status of any other failure is 502, or 504 after the time limit. A broken stream ends
// without its last chunk, so that the caller cannot mistake it for a complete one.
//
// # Retries
//
// A mutating request, and a stream that is not resumable, is written to one
// server, and to another one only after the first has reported that it did not run it.
// Idempotent requests and resumable streams are retried up to the route's maximum number of
// attempts. Each write after the first takes one retry from the retry budget, except for the first
// prefill that a server accepts. A rejected write counts, and one that did not reach its server does not.
//
// An idempotent request that takes longer than is usual for its plain service is sent to another server beside the first one. It
// takes a retry and counts as an attempt. The first whole response is passed on, a status from 500 only if no other attempt is left.
// The other attempts are ended before that, and their connections closed. None is ended for one that may still fail.
// If the first server has not answered a request since it failed one, or never has, the request is sent to the other server
// while the usual time of a response is left.
//
// A resumable stream whose server is silent goes on at another one only when that has reserved memory for it and the retries are
// paid. Until then the run goes on, and so does the stream if the server does.
//
// Events are passed on only in the order of their IDs and without a gap. A response that continues a
// stream has a seal and the content type of the first response, and begins with the next event.
//
// # Two independent facts
//
// The kind of the route decides how a response is passed on: that of a streaming route event by event, as the events come, that of
// any other route whole. How a server is chosen depends on the service: if it has engines and the request names its tokens, a Placer
// places the request by them, otherwise the server with the fewest requests in flight is chosen, near ones first. Streams of both
// go the same way; whole responses of requests that are not placed may be hedged.
//
// # Stages of a placed request
//
// First, a slot and memory are reserved at a decode server. Then a prefill server prefills
// the prompt, and the decode server fetches the KV cache when it receives the request.
// If the separate prefill fails, the decode server prefills the prompt itself.
//
// # Concurrency
//
// All methods may be called concurrently.
package proxy
