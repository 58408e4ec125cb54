// Package replay feeds recorded traces through the placement decisions and
// measures what the customers get.
//
// The decisions are the real ones of packages fair, place and pool, on a fake
// clock. The backend servers are small fakes: a prefill server processes a queue
// at a constant rate and has a prefix cache, a decode server runs a batch whose
// token interval increases with its size. There is no network and no process.
//
// # Usage
//
//	t, err := replay.Read(f)
//	r := replay.Run(t, replay.Options{Load: 1.5, Policy: replay.Home, Seed: 1})
//	err = replay.WriteTable(os.Stdout, []replay.Result{r})
//
// The same trace, options and seed give the same result.
//
// # Trace format
//
// A trace is CSV. Lines that start with # are comments. The first column
// names the kind of a record; times are in milliseconds from the start.
//
//	pool,<trace>,<data centre>,<model>,<KV bytes per token>,<length ms>
//	server,<name>,prefill|decode,<slots>,<tokens per second>,<token ms>,<link bytes per second>,<cached blocks>
//	class,<name>,<first token ms>,<between tokens ms>,patient|prompt
//	customer,<name>,<weight>,<rate in tokens per second>,<burst in tokens>
//	event,<at>,depart|silent|stall|loss,<server>,<for ms, 0 for good>
//	request,<at>,<customer>,<class>,<prompt>,<max output>,<output>,<preamble>,<preamble tokens>,<cancelled after ms, 0 never>
//
// An event "silent" loses the responses to all calls that are in progress at the
// server, but not to later calls. An event "stall" stops the transfers into the
// server. An event "loss" replaces the scheduler, whatever the server; the new
// one starts without state, and entry instances send it their waiting requests
// at once.
//
// # Load
//
// At load f the requests arrive f times as fast, and the trace is repeated until
// its length is filled. Each repetition has other bodies and the same preambles.
// The times of events do not change.
package replay
