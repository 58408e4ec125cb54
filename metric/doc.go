// Package metric collects the metrics of the router and serves them in the Prometheus text format.
//
// # Usage
//
//	m := metric.New(metric.Config{Clock: clock})
//	m.RecordEnded(metric.Sample{Customer: "sur", Good: true, OutputTokens: 120})
//	m.RecordRejection("sur", fail.CodeOverloaded, true)
//	m.Counter("engine_answers_dropped_total").Inc(1)
//	mux.Handle("/metrics", m.Handler())
//
// # Metrics
//
//   - goodput: the number of requests that met both latency targets, and of all that ended
//   - wasted prefill: prompt tokens that were prefilled without leading to an answer
//   - the worst-served customer: of the customers with enough traffic in the last minutes, the one
//     with the smallest share of requests that met both latency targets
//   - rejections of requests that were within their customer's rate limit
//
// # Cardinality
//
// The first MaxCustomers customers that occur have their own series. All others share the series of
// the customer "other".
//
// # Concurrency
//
// All methods may be called concurrently. Customers are sharded, with one lock for each shard.
package metric
