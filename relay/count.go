package relay

import (
	"net/http"
	"strconv"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/meter"
)

// Meter counts what comes of requests.
type Meter interface {
	// RecordEnded counts a request that was admitted and has ended.
	RecordEnded(s meter.Sample)
	// RecordRejection counts a refusal. Within tells that the customer's limit had
	// admitted the request.
	RecordRejection(c ident.Customer, code fail.Code, within bool)
	// RecordWork counts what a refused request made the engines do.
	RecordWork(s meter.Sample)
	// Count adds to the series of a counter.
	Count(name, label, value string, n int64)
}

// steps tells where the time of a model request went, which servers had it
// last, and what was done for it.
type steps struct {
	placed  time.Duration // from the request to the last placement
	read    time.Duration // to the end of the prefill
	first   time.Duration // to the first event
	gap     time.Duration // longest pause between events
	prefill string
	decode  string
	reads   int // prefills
	fetched int // KV caches that a decode server fetched
	wasted  int // KV caches that none fetched
}

// measure counts the request.
func (j *job) measure() {
	m := j.h.cfg.Meter
	m.Count("answers_total", "status", strconv.Itoa(j.status), 1)
	if j.service != nil && j.writes > 0 {
		m.Count("writes_total", "service", j.service.Name, int64(j.writes))
	}
	var name ident.Customer
	if j.cust != nil {
		name = ident.Customer(j.cust.Name)
	}
	if j.code != "" {
		m.RecordRejection(name, j.code, j.charged > 0)
		m.RecordWork(j.sample(name))
		return
	}
	s := j.sample(name)
	first, resumes := j.steps.first, max(j.runs-1, 0)
	if j.service.Engine == nil {
		first, resumes = j.h.cfg.Clock.Now()-j.start, 0
	}
	s.Good = j.done && j.status == http.StatusOK && (first <= j.route.LatencyTarget || j.route.LatencyTarget <= 0)
	s.Abandoned = j.gone()
	s.FirstToken, s.MaxGap, s.Resumes = first, j.steps.gap, resumes
	m.RecordEnded(s)
}

// sample tells what the request made the engines do.
func (j *job) sample(name ident.Customer) meter.Sample {
	return meter.Sample{
		Customer:       name,
		PromptTokens:   int64(j.ask.PromptTokens),
		OutputTokens:   max(j.lastID-j.ask.LastEventID, 0),
		ComputedTokens: int64(j.steps.reads * j.ask.PromptTokens),
		WastedTokens:   int64(j.steps.wasted * j.ask.PromptTokens),
		Prefills:       j.steps.reads,
		Transfers:      j.steps.fetched,
	}
}

// repeat takes a repeat from the budget, and counts it or that there was none.
func (j *job) repeat() bool {
	name := "repeats_total"
	ok := j.h.cfg.RetryBudget.Allow(j.service.Name)
	if !ok {
		name = "repeats_missing_total"
	}
	j.h.cfg.Meter.Count(name, "service", j.service.Name, 1)
	return ok
}
