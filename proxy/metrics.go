package proxy

import (
	"net/http"
	"strconv"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/metric"
)

// Meter records the results of requests. Its methods must be safe for concurrent use.
type Meter interface {
	// RecordEnded records a request that was admitted and has ended.
	RecordEnded(s metric.Sample)
	// RecordRejection records a rejected request. If within is set, the customer's rate limit
	// had admitted the request.
	RecordRejection(c ident.Customer, code fail.Code, within bool)
	// RecordWork records the work that engines did for a request that was rejected.
	RecordWork(s metric.Sample)
	// Count adds n to the counter name{label=value}.
	Count(name, label, value string, n int64)
}

// requestStats records the timing of a model request, its last servers, and the work done
// for it. Times run from the start of the request.
type requestStats struct {
	placed    time.Duration // time until the last placement
	prefilled time.Duration // time until the end of the prefill
	first     time.Duration // time until the first event was received
	maxGap    time.Duration // longest interval between two events
	prefill   string        // ID of the last prefill server, empty for none
	decode    string        // ID of the last decode server
	// The last handle and reservation that servers have given, with the IDs of the responses that
	// contained them after a slash.
	handle, reservation string
	prefills            int // completed prefills
	transfers           int // number of KV caches fetched by a decode server
	wasted              int // number of KV caches that were never fetched
}

// recordMetrics records the result of the request in the meter.
func (x *exchange) recordMetrics() {
	m := x.h.cfg.Meter
	m.Count("answers_total", "status", strconv.Itoa(x.status), 1)
	if x.service != nil && x.writes > 0 {
		m.Count("writes_total", "service", x.service.Name, int64(x.writes))
	}
	var name ident.Customer
	if x.customer != nil {
		name = ident.Customer(x.customer.Name)
	}
	if x.code != "" {
		m.RecordRejection(name, x.code, x.chargedTokens > 0)
		m.RecordWork(x.sample(name))
		return
	}
	s := x.sample(name)
	first, resumes := x.stats.first, max(x.runCount()-1, 0)
	if !x.streams() {
		first, resumes = x.h.cfg.Clock.Now()-x.start, 0
	}
	s.Good = x.complete && x.status == http.StatusOK && (first <= x.route.LatencyTarget || x.route.LatencyTarget <= 0)
	s.Abandoned = x.callerGone()
	s.FirstToken, s.MaxGap, s.Resumes = first, x.stats.maxGap, resumes
	m.RecordEnded(s)
}

// countBrokenStart counts a run that its server broke off before the first event.
func (m *modelExchange) countBrokenStart() {
	m.h.cfg.Meter.Count("runs_broken_before_first_event_total", "service", m.service.Name, 1)
}

// sample returns the work that engines did for the request.
func (x *exchange) sample(name ident.Customer) metric.Sample {
	return metric.Sample{
		Customer:       name,
		PromptTokens:   int64(x.info.PromptTokens),
		OutputTokens:   max(x.lastEventID-x.info.LastEventID, 0),
		ComputedTokens: int64(x.stats.prefills * x.info.PromptTokens),
		WastedTokens:   int64(x.stats.wasted * x.info.PromptTokens),
		Prefills:       x.stats.prefills,
		Transfers:      x.stats.transfers,
	}
}

// spendRetry takes one retry from the budget and reports whether one was left. It counts
// granted and missing retries in the metrics.
func (x *exchange) spendRetry() bool {
	name := "repeats_total"
	ok := x.h.cfg.RetryBudget.Allow(x.service.Name)
	if !ok {
		name = "repeats_missing_total"
	}
	x.h.cfg.Meter.Count(name, "service", x.service.Name, 1)
	return ok
}
