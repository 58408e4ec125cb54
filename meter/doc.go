// Package meter keeps the measures of the router and serves them in the text
// form that Prometheus scrapers read.
//
// # Usage
//
//	m := meter.New(meter.Config{Clock: clock})
//	m.RecordEnded(meter.Sample{Customer: "sur", Good: true, Output: 120})
//	m.RecordRejection("sur", fail.CodeOverload, true)
//	m.Counter("engine_answers_dropped_total").Inc(1)
//	mux.Handle("/metrics", m.Handler())
//
// # Measures
//
//   - goodput: requests that met both latency targets, of all that ended
//   - wasted prefill: prompt tokens that were prefilled and led to no answer
//   - the worst-served customer: the smallest share of good requests among the
//     customers of the last minutes
//   - refusals of requests that were within their customer's rate
//
// # Bounds
//
// At most MaxCustomers customers have series of their own, those that come
// first; the others share the series of the customer "other".
//
// All methods may be called concurrently. Customers lie in shards, each under
// its own lock.
package meter
