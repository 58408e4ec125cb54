package metric_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/tick"
)

func sample(c ident.Customer, good bool) metric.Sample {
	return metric.Sample{
		Customer: c, Good: good, FirstToken: 40 * time.Millisecond, MaxGap: time.Millisecond,
		OutputTokens: 10, WastedTokens: 3, ComputedTokens: 7, CachedTokens: 2, Prefills: 2, Transfers: 3, Resumes: 4, Restarts: 1, StrayEvents: 5,
	}
}

func export(t *testing.T, m *metric.Meter) string {
	t.Helper()
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	return rec.Body.String()
}

// TestExport guards against metrics that are missing from the text format or have a wrong value or
// type line.
func TestExport(t *testing.T) {
	is := is.New(t)
	m := metric.New(metric.Config{Clock: tick.NewFake(0)})
	for range 3 {
		m.RecordEnded(sample("sur", true))
		m.RecordEnded(sample("norte", false))
	}
	m.RecordEnded(metric.Sample{Customer: "sur", Abandoned: true, WastedTokens: 2})
	m.RecordRejection("sur", fail.CodeRateLimited, false)
	m.RecordRejection("sur", fail.CodeOverloaded, true)
	m.RecordRejection("", fail.CodeInvalidKey, false)
	m.Counter("dropped_total").Inc(2)
	m.Gauge("active").Update(4)
	got := export(t, m)
	for _, line := range []string{
		"# TYPE wasabidock_requests_total counter",
		"wasabidock_requests_total 6",
		"wasabidock_requests_good_total 3",
		"wasabidock_prefill_wasted_tokens_total 20",
		"wasabidock_requests_abandoned_total 1",
		"wasabidock_refusals_within_rate_total 1",
		"wasabidock_prefill_computed_tokens_total 42",
		"wasabidock_prefill_cached_tokens_total 12",
		"wasabidock_prefills_total 12",
		"wasabidock_transfers_total 18",
		"wasabidock_stream_resumes_total 24",
		"wasabidock_restarts_total 6",
		"wasabidock_stray_events_total 30",
		`wasabidock_refusals_total{code="rate_limited"} 1`,
		`wasabidock_refusals_total{code="invalid_key"} 1`,
		`wasabidock_customer_requests_total{customer="norte"} 3`,
		`wasabidock_customer_refusals_within_rate_total{customer="sur"} 1`,
		`wasabidock_customer_output_tokens_total{customer="sur"} 30`,
		`wasabidock_first_token_ms{quantile="0.95"} 40`,
		"wasabidock_first_token_ms_count 6",
		"wasabidock_dropped_total 2",
		"wasabidock_active 4",
		`wasabidock_worst_customer_good_share{customer="norte"} 0`,
	} {
		if !strings.Contains(got, line+"\n") {
			t.Errorf("line %q is missing in the output:\n%s", line, got)
		}
	}
	is.Equal(strings.Count(got, "# TYPE wasabidock_refusals_total "), 1) // one type line for all series
}

// TestWorstServed guards against a window that is dropped too early or kept too long, and against a
// customer with few requests being reported.
func TestWorstServed(t *testing.T) {
	tests := []struct {
		name  string
		wait  time.Duration
		want  ident.Customer
		share float64
		ok    bool
	}{
		{"in the same window", 0, "norte", 0.25, true},
		{"in the next window", 6 * time.Minute, "norte", 0.25, true},
		{"after two windows", 11 * time.Minute, "", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := tick.NewFake(0)
			m := metric.New(metric.Config{Clock: clock})
			for i := range 4 {
				m.RecordEnded(sample("sur", true))
				m.RecordEnded(sample("norte", i == 0))
			}
			m.RecordEnded(sample("seldom", false)) // below the least number of requests
			clock.Advance(tt.wait)
			name, share, ok := m.WorstServed()
			is.Equal(name, tt.want)
			is.Equal(share, tt.share)
			is.Equal(ok, tt.ok)
		})
	}
}

// TestCustomerSeriesAreBounded guards against memory and output that grow with the number of
// customers.
func TestCustomerSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m := metric.New(metric.Config{Clock: tick.NewFake(0), MaxCustomers: 10})
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.RecordEnded(sample(ident.Customer(fmt.Sprintf("c%d", i)), true))
		}()
	}
	wg.Wait()
	got := export(t, m)
	is.Equal(strings.Count(got, "wasabidock_customer_requests_total{"), 11) // ten customers and "other"
	is.True(strings.Contains(got, `wasabidock_customer_requests_total{customer="other"} 90`))
}

func TestLabelValueIsEscaped(t *testing.T) {
	is := is.New(t)
	m := metric.New(metric.Config{Clock: tick.NewFake(0)})
	m.RecordEnded(sample("a\"b\\c\nd", true))
	is.True(strings.Contains(export(t, m), `{customer="a\"b\\c\nd"} 1`))
}
