// Package gossip exchanges state between the router instances of a deployment: the list of members,
// the load that each instance has placed, the tokens that it has charged, and the published
// configuration.
//
// # Usage
//
//	s := gossip.New(gossip.Config{Self: self, Seeds: seeds, Store: store, Loads: scheduler, ...})
//	go s.Run(ctx, done)
//
//	go s.SendLoad(ctx, pc, sent)
//	go s.ReceiveLoads(pc, received)
//
// # Calls and datagrams
//
// Each instance periodically calls a seed and one other member. Both sides report members that
// they know and the revisions that they have in force. An instance that cannot read the platform's
// store, or that sees a newer revision, requests the published configuration and server list from
// the other.
//
// The load on backend servers and the tokens charged to customers are sent in datagrams, several
// times a second while they change. Each datagram holds the whole state of its sender. A lost one
// therefore only delays the state.
//
// # Members
//
// A member is removed if no instance has seen it for memberTimeout. A restarted process has a new
// incarnation and replaces the previous process of its instance. The last load of a
// member that has stopped sending is used for staleAfter.
//
// # Concurrency
//
// All methods of Service may be called concurrently. Run, SendLoad and ReceiveLoads are called once
// each.
package gossip
