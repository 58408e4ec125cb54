// Package quota admits requests by their customers' rate and burst. It carries
// the decisions of package limit between the instances of a deployment.
//
// # Usage
//
//	s := quota.New(quota.Config{Node: self, Centre: "sierra-a", Table: t, View: v, Dialer: d, Time: clock, Log: l})
//	mux.Handle(peerpbconnect.NewLimitServiceHandler(s))
//	go func() { done <- s.Run(ctx) }()
//
//	c, err := s.Admit(ctx, request, "sur", prompt+maxOutput)
//	if err != nil {
//		return err // a *fail.Refusal
//	}
//	if !c.Fresh() {
//		// the process paused: settle with zero and admit again
//	}
//	c.Settle(used)
//
// In each data centre the customers of a group have a home: the instance that
// comes first for the group among the live seats. The entry instance charges
// at the home. A home that is short borrows from the homes of the other data
// centres. Instances may disagree about who is home: then one of them holds
// fewer leases and borrows more, and the bound of package limit holds all the
// same.
//
// # Concurrency
//
// A Service is safe for concurrent use. Run owns the goroutines that renew
// leases and deliver settlements, and returns after their end.
package quota
