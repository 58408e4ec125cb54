// Package link carries calls to backend servers over kept connections.
//
// # Usage
//
//	c := link.New(link.Config{Clock: clock})
//	a, err := c.Do(ctx, &link.Call{Addr: "10.1.0.9:80", Method: "GET", Path: "/x", ID: "a1"})
//	if err != nil {
//		// fail.Outcome(err) == ident.NotRun: no byte was written
//	}
//	defer a.Close()
//	io.Copy(w, a.Body)
//
// # Invariants
//
// A call is written at most once. The package never repeats one by itself: an
// error tells by its outcome whether a byte of the call may have left.
//
// An answer belongs to its call: where calls carry an ID, an answer with
// another ID is dropped, and the one after it on the same connection is
// awaited. A connection on which anything is left unread, or whose call was
// given up, is closed and never used again.
//
// # Concurrency
//
// All methods may be called concurrently. The pool of each address has its own
// lock, and no lock is held across I/O.
package link
