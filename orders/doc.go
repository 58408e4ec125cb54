// Package orders decides which orders engines get: to load or unload a model
// or to change role.
//
// # Usage
//
//	r := orders.NewRunner(orders.RunnerConfig{Source: source, Engines: client, Timer: timer, Owns: owns})
//	r.Start(ctx)
//
// Plan is the decision: a function of the rows of the published table and of
// what the engines report. Two instances with the same input give the same
// orders. Runner gives those that this instance is responsible for.
//
// # What it keeps
//
// Every order says what is to be, not what is to change, so that repeating it
// does nothing. Its fencing number is the published revision: an engine that
// checks it refuses what an older table asked for, and an engine that has seen
// a newer number gets no order at all.
//
// An unload or a change of role never takes the last replica of a model in a
// role that the table still names. A replica counts as remaining only if the
// table wants it to stay, so that instances with different reports of the same
// revision never take two replicas for each other's substitute. A server that
// ignores fencing numbers, or has not seen the present one, may still obey an
// order of an older table, so one of those alone is not enough to rely on.
// Servers that check are shown the present number first.
//
// Loads of one weight store take turns.
package orders
