// Package quota admits requests within their customers' rate and burst. It carries the decisions of
// package limit between the instances of a deployment.
//
// # Usage
//
//	s := quota.New(quota.Config{Node: self, Centre: "sierra-a", Source: c, Membership: m, Dialer: d, Clock: clock, Log: l})
//	mux.Handle(peerpbconnect.NewLimitServiceHandler(s))
//	go func() { done <- s.Run(ctx) }()
//
//	c, err := s.Admit(ctx, request, "sur", prompt+maxOutput)
//	if err != nil {
//		return err // a *fail.Refusal
//	}
//	if !c.Valid() {
//		// the process was paused: settle with zero and admit again
//	}
//	c.Settle(used)
//
// In each data centre a group of customers has a home: the live instance that limit.RankHolders
// ranks first for the group. The home leases shares of the group from the lessors of its data
// centre. An instance that receives a request (the entry instance) charges the tokens at the home. A
// home that has too few tokens borrows from the homes of the other data centres. Instances may
// disagree about which one is the home. One of them then holds fewer leases and borrows more; the
// bound of package limit still holds.
//
// # Concurrency
//
// A Service is safe for concurrent use. Run starts the goroutines that deliver settlements, renews
// leases itself, and returns after these goroutines have ended.
package quota
