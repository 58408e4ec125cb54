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
// Each instance periodically calls a seed and one other member. Caller and callee report to each
// other the members that they know and the revisions that they have in force. An instance
// requests the published configuration and the server list from the other one if the other one has a
// newer revision, or if it cannot read the platform's store itself. The configuration is sent in compressed form,
// since instances with a slow link pass it on to others. A peer that sends large state to others leaves out the
// server list first.
//
// The load on backend servers and the tokens charged to customers are sent in datagrams, several
// times a second while they change. Each datagram contains the whole state of its sender. A lost
// datagram therefore only delays the state.
//
// # Reading the store
//
// One instance of each data centre reads the platform's store for the others, see package elect. WatchesStore
// tells whether this one does. The datagrams tell how long ago the store answered their sender.
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
