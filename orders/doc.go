// Package orders brings backend servers to the state that the published configuration asks for. It
// orders them to load or unload a model or to change their role.
//
// # Usage
//
//	r := orders.NewReconciler(orders.ReconcilerConfig{Source: source, Engines: client, Clock: clock, Owns: owns})
//	r.Start(ctx)
//
// Plan is a pure function of the published configuration and of the reports of the servers. Two
// instances with the same input return the same orders. Each Reconciler sends only the orders to the
// servers that its instance owns. Withheld and Done may be called while a Reconciler
// runs.
//
// # Invariants
//
// Every order names the state to reach, not a change, so repeating it has no effect. Its fencing
// number is the published revision. A server that checks the number rejects orders of an older
// configuration. A server that has received a newer number is sent no order at all.
//
// An unload or a role change never removes the last replica, in a role, of a model that the
// configuration still names. A replica counts as remaining only if the configuration says that it
// stays. Otherwise, instances with different reports of the same revision could each remove one of two
// replicas and count on the other. A server that ignores fencing numbers, or has not received the
// present one, may still obey an order of an older configuration. One such server alone is therefore
// not enough. Servers that check the numbers are sent the present one first.
//
// The number of simultaneous loads from one weight store is limited (Limits.MaxLoads).
package orders
