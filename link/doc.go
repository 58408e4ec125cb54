// Package link sends HTTP/1.1 requests to backend servers over pooled connections.
//
// # Usage
//
//	c := link.New(link.Config{Clock: clock})
//	res, err := c.Do(ctx, &link.Request{Addr: "10.1.0.9:80", Method: "GET", Path: "/x", ID: "a1"})
//	if err != nil {
//		// fail.Outcome(err) == ident.NotRun: no byte was written
//	}
//	defer res.Close()
//	io.Copy(w, res.Body)
//
// # Invariants
//
// A request is written at most once. The package never retries a request. The outcome
// of an error states whether a byte of the request may have been sent. An error that no server has caused is a fail.LocalError.
//
// A response belongs to its request. A server may send the response to an earlier request of a
// connection once more, at any time. Therefore a connection carries no two requests with the same ID; a
// response with another ID is skipped; and one without an ID counts only if nothing else can have
// caused it (see Request.ID and Request.Distinct). What cannot be told from the responses to later
// requests, such as that to a request without an ID, ends its connection. An error response without
// an ID on a reused connection leaves the outcome of the request unknown.
//
// A connection with unread bytes, or whose request was cancelled, is closed and never reused.
//
// # Concurrency
//
// All methods of Client may be called concurrently. A Response is used by one goroutine at
// a time. The pool of each address has its own lock, and no lock is held across I/O.
package link
