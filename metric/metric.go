package metric

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
	defaultMaxCustomers = 1000
	shardCount          = 16
	windowLength        = 5 * time.Minute
	minWindowRequests   = 3 // minimum number of requests in the window for a customer to be the worst-served one
	histogramSize       = 1028
	histogramAlpha      = 0.015
)

// otherCustomers is the name whose series are shared by the customers beyond MaxCustomers.
const otherCustomers ident.Customer = "other"

// Config configures a Meter.
type Config struct {
	Registry     metrics.Registry // nil means a new one
	Clock        tick.Clock
	MaxCustomers int64 // customers with their own series; zero means 1000
}

// Sample describes one request to a model that was admitted and has ended.
type Sample struct {
	Customer       ident.Customer
	Model          ident.Model
	Outcome        ident.Outcome
	Good           bool          // complete and within both latency targets
	Abandoned      bool          // the caller disconnected before the end
	FirstToken     time.Duration // time to first token; zero if there was none
	MaxGap         time.Duration
	PromptTokens   int64 // tokens
	OutputTokens   int64 // tokens
	WastedTokens   int64 // prompt tokens whose prefill did not lead to an answer
	ComputedTokens int64 // prompt tokens prefilled
	CachedTokens   int64 // prompt tokens found in prefix caches
	Prefills       int
	Transfers      int
	Resumes        int   // streams reopened at the offset that was reached
	Restarts       int   // new runs after part of the answer was sent
	StrayEvents    int64 // dropped events that did not belong to the answer
}

// Meter collects the metrics. Its zero value is not usable.
type Meter struct {
	cfg       Config
	customers atomic.Int64
	shards    [shardCount]shard

	ended, good, abandoned, wastedTokens, rejectedWithinRate metrics.Counter
	computedTokens, cachedTokens                             metrics.Counter
	prefills, transfers                                      metrics.Counter
	resumes, restarts, strayEvents                           metrics.Counter
	firstToken, maxGap                                       metrics.Histogram
}

type shard struct {
	mu        sync.Mutex // guards customers
	customers map[ident.Customer]*customer
}

// customer holds the metrics of one customer. Its fields are guarded by the lock of its shard.
type customer struct {
	ended, good, rejected, rejectedWithinRate metrics.Counter
	outputTokens                              metrics.Counter
	current, previous                         windowCounts
	windowStart                               tick.Instant
}

// windowCounts counts the requests of one time window.
type windowCounts struct {
	all, good int64
}

// New returns a Meter.
func New(cfg Config) *Meter {
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.MaxCustomers == 0 {
		cfg.MaxCustomers = defaultMaxCustomers
	}
	m := &Meter{cfg: cfg}
	for i := range m.shards {
		m.shards[i].customers = make(map[ident.Customer]*customer)
	}
	m.ended = m.Counter("requests_total")
	m.good = m.Counter("requests_good_total")
	m.abandoned = m.Counter("requests_abandoned_total")
	m.wastedTokens = m.Counter("prefill_wasted_tokens_total")
	m.rejectedWithinRate = m.Counter("refusals_within_rate_total")
	m.computedTokens = m.Counter("prefill_computed_tokens_total")
	m.cachedTokens = m.Counter("prefill_cached_tokens_total")
	m.prefills = m.Counter("prefills_total")
	m.transfers = m.Counter("transfers_total")
	m.resumes = m.Counter("stream_resumes_total")
	m.restarts = m.Counter("restarts_total")
	m.strayEvents = m.Counter("stray_events_total")
	m.firstToken = m.Histogram("first_token_ms")
	m.maxGap = m.Histogram("max_gap_ms")
	return m
}

// Counter returns the counter with the given name, which may end in labels as in
// `x_total{code="rate_limited"}`. The first use creates it.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.cfg.Registry)
}

// BoolValue returns the value of a gauge for a condition: 1 if on is true, 0 otherwise.
func BoolValue(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// Count adds n to the counter with the given name and label.
func (m *Meter) Count(name, label, value string, n int64) {
	m.Counter(series(name, label, value)).Inc(n)
}

// Gauge returns the gauge with the given name. The first use creates it.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.cfg.Registry)
}

// Registry returns the registry of all metrics.
func (m *Meter) Registry() metrics.Registry { return m.cfg.Registry }

// Histogram returns the histogram with the given name. The first use creates it.
func (m *Meter) Histogram(name string) metrics.Histogram {
	s := metrics.NewExpDecaySample(histogramSize, histogramAlpha)
	return metrics.GetOrRegisterHistogram(name, m.cfg.Registry, s)
}

// RecordEnded records a request that was admitted and has ended. If its caller disconnected, only
// the work of the model servers and the abandoned request are counted, because the request does not
// show how well its customer was served.
func (m *Meter) RecordEnded(s Sample) {
	m.recordWork(s)
	if s.Abandoned {
		m.abandoned.Inc(1)
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
	m.withCustomer(s.Customer, func(c *customer) {
		c.ended.Inc(1)
		c.outputTokens.Inc(s.OutputTokens)
		if s.Good {
			c.good.Inc(1)
		}
		c.countInWindow(m.cfg.Clock.Now(), s.Good)
	})
}

// RecordWork records the work that model servers did for a request that was rejected in the end.
func (m *Meter) RecordWork(s Sample) { m.recordWork(s) }

// recordWork counts the work that model servers did for a request.
func (m *Meter) recordWork(s Sample) {
	m.wastedTokens.Inc(s.WastedTokens)
	m.computedTokens.Inc(s.ComputedTokens)
	m.cachedTokens.Inc(s.CachedTokens)
	m.prefills.Inc(int64(s.Prefills))
	m.transfers.Inc(int64(s.Transfers))
	m.resumes.Inc(int64(s.Resumes))
	m.restarts.Inc(int64(s.Restarts))
	m.strayEvents.Inc(s.StrayEvents)
}

// RecordRejection records a rejected request. The argument within reports whether the request was
// within its customer's rate limit. If it was, it counts in the window as a request that missed the
// latency targets. An empty name means that the customer is not known.
func (m *Meter) RecordRejection(name ident.Customer, code fail.Code, within bool) {
	m.Counter(series("refusals_total", "code", string(code))).Inc(1)
	if within {
		m.rejectedWithinRate.Inc(1)
	}
	if name == "" {
		return
	}
	m.withCustomer(name, func(c *customer) {
		c.rejected.Inc(1)
		if within {
			c.rejectedWithinRate.Inc(1)
			c.countInWindow(m.cfg.Clock.Now(), false)
		}
	})
}

// WorstServed returns the customer with the smallest share of requests that met both latency
// targets in the last minutes, and that share. It returns false if there was too little traffic.
func (m *Meter) WorstServed() (name ident.Customer, share float64, ok bool) {
	now := m.cfg.Clock.Now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for n, c := range s.customers {
			c.rotateWindow(now)
			all := c.current.all + c.previous.all
			if all < minWindowRequests {
				continue
			}
			f := float64(c.current.good+c.previous.good) / float64(all)
			if !ok || f < share || f == share && n < name {
				name, share, ok = n, f, true
			}
		}
		s.mu.Unlock()
	}
	return name, share, ok
}

// withCustomer calls f with the metrics of a customer, under the lock of its shard.
func (m *Meter) withCustomer(name ident.Customer, f func(*customer)) {
	s := m.shard(name)
	s.mu.Lock()
	c, ok := s.customers[name]
	if !ok && name != otherCustomers && m.customers.Add(1) > m.cfg.MaxCustomers {
		m.customers.Add(-1)
		s.mu.Unlock()
		m.withCustomer(otherCustomers, f)
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
	return &m.shards[xxhash.Sum64String(string(name))%shardCount]
}

func (m *Meter) newCustomer(name ident.Customer) *customer {
	n := string(name)
	return &customer{
		ended:              m.Counter(series("customer_requests_total", "customer", n)),
		good:               m.Counter(series("customer_requests_good_total", "customer", n)),
		rejected:           m.Counter(series("customer_refusals_total", "customer", n)),
		rejectedWithinRate: m.Counter(series("customer_refusals_within_rate_total", "customer", n)),
		outputTokens:       m.Counter(series("customer_output_tokens_total", "customer", n)),
		windowStart:        m.cfg.Clock.Now(),
	}
}

func (c *customer) countInWindow(now tick.Instant, good bool) {
	c.rotateWindow(now)
	c.current.all++
	if good {
		c.current.good++
	}
}

// rotateWindow starts a new window if the current one is over.
func (c *customer) rotateWindow(now tick.Instant) {
	age := now - c.windowStart
	if age < windowLength {
		return
	}
	c.previous = c.current
	if age >= 2*windowLength {
		c.previous = windowCounts{}
	}
	c.current = windowCounts{}
	c.windowStart = now
}
