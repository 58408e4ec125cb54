// Package crash decides which requests may not be sent to servers because a part of their prompts ends
// every server that begins to answer on it.
//
// # Usage
//
//	t := crash.NewTracker(crash.Config{Observe: logChange})
//	g := crash.NewGate(t, clock, sinceBoot)
//	g.SetClaimer(gossip)
//
//	parts := crash.NewParts("service", "model", ids)
//	grant, err := g.Admit(ctx, crash.Claim{ID: id, Parts: parts}) // before a server is chosen
//	err = g.Check(grant, parts)                                   // right before each write
//	t.Begun(parts, now)                                           // the server has begun to answer
//	t.Broke(server, parts, names, now)                            // the connection ended before that
//	t.Confirm(server, now)                                        // the server has ended
//
// # Evidence
//
// A crash counts against the parts of the requests that were at their beginning at the server: written, and
// without a second event. Requests further on are left out, because the server has begun to answer them.
// A broken connection alone is no crash. The server must also refuse a new connection, or be gone from
// the list of servers within endTimeout.
//
// A sound beginning, which is a second event or a complete response, clears the parts of its request of all
// earlier crashes, because a fatal part ends every server whatever else the request has. Crashes within
// episodeGap count once, so that servers that end together for another reason are no proof.
//
// # Verdicts
//
// A part with a crash since its last sound beginning is suspect. Requests with it are sent one at a time, over
// all instances, so that each ends at most one more server. After blockEpisodes episodes the part is
// blocked, and requests with it are rejected. A part that had a sound beginning within provenTime becomes
// suspect and blocked one episode later.
//
// A blocked part is tried again with one request after firstPause, and after a pause trialFactor times as long
// each time. One instance, the home of all suspect parts, admits suspect requests and trials; Decide is its decision.
//
// A crash does not count against a part if it is also one of another blocked part that the request does
// not have.
//
// # Other instances
//
// Histories are exchanged with the other instances and merged by Merge. The result does not depend on the
// order or the number of copies. Instants are those of a clock that includes suspensions, and histories
// are sent with ages, so that the clocks of instances need not agree.
//
// # Concurrency
//
// All methods of Tracker and Gate may be called concurrently.
package crash
