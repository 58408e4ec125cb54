// Package peer connects the instances of one deployment: a pool of clients by
// instance name and the server that answers them.
//
// # Usage
//
//	pool := peer.NewPool(peer.Config{Address: members.Address})
//	defer pool.Close()
//	c, err := pool.Limit("sierra-a-2")
//	resp, err := c.Charge(ctx, &peerpb.ChargeRequest{Customer: "norte", Tokens: 900})
//
// # Connections
//
// Calls to one instance share one HTTP/2 connection, whose stream numbers tell
// which call an answer is to; HTTP/1.1 is never used. The transport writes each
// call at most once. When a call ends by its own
// limit, the next one dials anew, since the connection may have gone silent. A
// connection on which nothing arrives for PingAfter is probed, and closed if the
// probe is not answered within PingTimeout; that ends calls without a limit of
// their own. Idle connections are closed, which bounds their number to the peers
// that an instance talks to.
//
// # Outcomes
//
// Undialled tells whether an error proves that no byte reached the peer.
package peer
