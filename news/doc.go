// Package news keeps the entry instances of a deployment in touch: who there
// is, what each has placed and charged, and what is published.
//
// # Usage
//
//	s := news.New(news.Config{Self: self, Seeds: seeds, Book: store, Loads: desk, ...})
//	go s.Run(ctx, done)
//
// # Two ways
//
// Each instance calls the seeds and one other member at a period, and both
// tell all members that they know and the revisions that they have in force.
// Who cannot read the platform's store, or hears of a newer revision, asks for
// what is published and takes it from the other. These are calls.
//
// What an instance has placed on backend servers and charged to customers goes
// to the others in datagrams, several times a second while it changes. Each
// holds the whole state of its sender, so that a lost one costs only time.
//
// # Members
//
// A member that was not heard, itself or through others, for forgetAfter is
// forgotten. A process that starts anew in an instance has a new incarnation
// and replaces the one before it. What a silent member has placed counts for
// staleAfter.
package news
