package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	defaultCustomers = 1000
	shards           = 16
	window           = 5 * time.Minute
	minInWindow      = 3 // requests before a customer can be the worst served
	histogramSize    = 1028
	histogramAlpha   = 0.015
)

// other is the customer whose series those beyond the bound share.
const other ident.Customer = "other"

// Config holds what a Meter needs.
type Config struct {
	Registry     metrics.Registry // nil for a new one
	Clock        tick.Clock
	MaxCustomers int64
}

// Sample is one request to a model that was admitted and has ended.
type Sample struct {
	Customer       ident.Customer
	Model          ident.Model
	Outcome        ident.Outcome
	Good           bool          // whole and within both latency targets
	Abandoned      bool          // the caller left before the end
	FirstToken     time.Duration // zero if there was none
	MaxGap         time.Duration
	PromptTokens   int64 // tokens
	OutputTokens   int64 // tokens
	WastedTokens   int64 // tokens prefilled in vain
	ComputedTokens int64 // prompt tokens prefilled
	CachedTokens   int64 // prompt tokens found in prefix caches
	Prefills       int
	Transfers      int
	Resumes        int   // streams opened again at the offset
	Restarts       int   // runs again after a part was sent
	StrayEvents    int64 // events that were not of the answer, dropped
}

// Meter keeps the measures. Its zero value is not usable.
type Meter struct {
	cfg       Config
	customers atomic.Int64
	shards    [shards]shard

	ended, good, gone, wasted, wrongful metrics.Counter
	computed, cached                    metrics.Counter
	prefills, transfers                 metrics.Counter
	resumes, restarts, stray            metrics.Counter
	firstToken, maxGap                  metrics.Histogram
}

type shard struct {
	mu        sync.Mutex // guards customers
	customers map[ident.Customer]*customer
}

// customer is the account of one customer. Its fields are guarded by the lock
// of its shard.
type customer struct {
	ended, good, refused, wrongful metrics.Counter
	output                         metrics.Counter
	now, before                    served
	turned                         tick.Instant
}

// served counts the requests of one window.
type served struct {
	all, good int64
}

// New returns a Meter.
func New(cfg Config) *Meter {
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.MaxCustomers == 0 {
		cfg.MaxCustomers = defaultCustomers
	}
	m := &Meter{cfg: cfg}
	for i := range m.shards {
		m.shards[i].customers = make(map[ident.Customer]*customer)
	}
	m.ended = m.Counter("requests_total")
	m.good = m.Counter("requests_good_total")
	m.gone = m.Counter("requests_abandoned_total")
	m.wasted = m.Counter("prefill_wasted_tokens_total")
	m.wrongful = m.Counter("refusals_within_rate_total")
	m.computed = m.Counter("prefill_computed_tokens_total")
	m.cached = m.Counter("prefill_cached_tokens_total")
	m.prefills = m.Counter("prefills_total")
	m.transfers = m.Counter("transfers_total")
	m.resumes = m.Counter("stream_resumes_total")
	m.restarts = m.Counter("restarts_total")
	m.stray = m.Counter("stray_events_total")
	m.firstToken = m.histogram("first_token_ms")
	m.maxGap = m.histogram("max_gap_ms")
	return m
}

// Counter returns the counter with the name, which may end in labels as in
// `x_total{code="rate_limited"}`. It is made at the first use.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.cfg.Registry)
}

// BoolValue returns the value of a gauge that tells whether something holds.
func BoolValue(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// Count adds to the series of a counter with one label.
func (m *Meter) Count(name, label, value string, n int64) {
	m.Counter(series(name, label, value)).Inc(n)
}

// Gauge returns the gauge with the name, made at the first use.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.cfg.Registry)
}

// Registry returns the registry of all measures.
func (m *Meter) Registry() metrics.Registry { return m.cfg.Registry }

func (m *Meter) histogram(name string) metrics.Histogram {
	s := metrics.NewExpDecaySample(histogramSize, histogramAlpha)
	return metrics.GetOrRegisterHistogram(name, m.cfg.Registry, s)
}

// RecordEnded counts a request that was admitted and has ended. One whose caller
// left tells nothing about how its customer was served.
func (m *Meter) RecordEnded(s Sample) {
	m.work(s)
	if s.Abandoned {
		m.gone.Inc(1)
		return
	}
	m.ended.Inc(1)
	if s.Good {
		m.good.Inc(1)
	}
	if s.FirstToken > 0 {
		m.firstToken.Update(s.FirstToken.Milliseconds())
		m.maxGap.Update(s.MaxGap.Milliseconds())
	}
	m.with(s.Customer, func(c *customer) {
		c.ended.Inc(1)
		c.output.Inc(s.OutputTokens)
		if s.Good {
			c.good.Inc(1)
		}
		c.note(m.cfg.Clock.Now(), s.Good)
	})
}

// RecordWork counts what a request made the engines do that was refused in the end.
func (m *Meter) RecordWork(s Sample) { m.work(s) }

// work counts what a request made the engines do.
func (m *Meter) work(s Sample) {
	m.wasted.Inc(s.WastedTokens)
	m.computed.Inc(s.ComputedTokens)
	m.cached.Inc(s.CachedTokens)
	m.prefills.Inc(int64(s.Prefills))
	m.transfers.Inc(int64(s.Transfers))
	m.resumes.Inc(int64(s.Resumes))
	m.restarts.Inc(int64(s.Restarts))
	m.stray.Inc(s.StrayEvents)
}

// RecordRejection counts a refusal. Within tells that the request was within its
// customer's rate, so that the customer was served badly.
func (m *Meter) RecordRejection(name ident.Customer, code fail.Code, within bool) {
	m.Counter(series("refusals_total", "code", string(code))).Inc(1)
	if within {
		m.wrongful.Inc(1)
	}
	if name == "" {
		return
	}
	m.with(name, func(c *customer) {
		c.refused.Inc(1)
		if within {
			c.wrongful.Inc(1)
			c.note(m.cfg.Clock.Now(), false)
		}
	})
}

// WorstServed returns the customer with the smallest share of good requests in the
// last minutes, and false if there was too little traffic to tell.
func (m *Meter) WorstServed() (name ident.Customer, share float64, ok bool) {
	now := m.cfg.Clock.Now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for n, c := range s.customers {
			c.turn(now)
			all := c.now.all + c.before.all
			if all < minInWindow {
				continue
			}
			f := float64(c.now.good+c.before.good) / float64(all)
			if !ok || f < share || f == share && n < name {
				name, share, ok = n, f, true
			}
		}
		s.mu.Unlock()
	}
	return name, share, ok
}

// with calls f with the account of the customer under its lock.
func (m *Meter) with(name ident.Customer, f func(*customer)) {
	s := m.shard(name)
	s.mu.Lock()
	c, ok := s.customers[name]
	if !ok && name != other && m.customers.Add(1) > m.cfg.MaxCustomers {
		m.customers.Add(-1)
		s.mu.Unlock()
		m.with(other, f)
		return
	}
	defer s.mu.Unlock()
	if !ok {
		c = m.newCustomer(name)
		s.customers[name] = c
	}
	f(c)
}

func (m *Meter) shard(name ident.Customer) *shard {
	return &m.shards[xxhash.Sum64String(string(name))%shards]
}

func (m *Meter) newCustomer(name ident.Customer) *customer {
	n := string(name)
	return &customer{
		ended:    m.Counter(series("customer_requests_total", "customer", n)),
		good:     m.Counter(series("customer_requests_good_total", "customer", n)),
		refused:  m.Counter(series("customer_refusals_total", "customer", n)),
		wrongful: m.Counter(series("customer_refusals_within_rate_total", "customer", n)),
		output:   m.Counter(series("customer_output_tokens_total", "customer", n)),
		turned:   m.cfg.Clock.Now(),
	}
}

func (c *customer) note(now tick.Instant, good bool) {
	c.turn(now)
	c.now.all++
	if good {
		c.now.good++
	}
}

// turn starts a new window when the current one is over.
func (c *customer) turn(now tick.Instant) {
	age := now - c.turned
	if age < window {
		return
	}
	c.before = c.now
	if age >= 2*window {
		c.before = served{}
	}
	c.now = served{}
	c.turned = now
}
