package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestRequestMetrics checks the metrics of one request in each case. Wrong counts would mislead
// operators and alerts.
func TestRequestMetrics(t *testing.T) {
	plain := map[string]fake.Role{"s1": fake.Plain}
	model := map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode}
	tests := []struct {
		name       string
		servers    map[string]fake.Role
		fault      fake.Fault // fault of all servers
		path       string
		sized      bool
		retryAfter time.Duration // returned by the limiter, 0 to admit
		want       map[string]int64
	}{
		{
			name: "plain", servers: plain, path: "/file/1",
			want: map[string]int64{"requests_total": 1, "requests_good_total": 1, `answers_total{status="200"}`: 1, `writes_total{service="app"}`: 1},
		},
		{
			name: "model", servers: model, path: "/once/1", sized: true,
			want: map[string]int64{
				"requests_total": 1, "requests_good_total": 1, "prefills_total": 1, "transfers_total": 1,
				"prefill_wasted_tokens_total": 0, `writes_total{service="model"}`: 1,
			},
		},
		{
			name: "KV handles expire", servers: model, fault: fake.ExpiredKV, path: "/once/1", sized: true,
			want: map[string]int64{"prefills_total": 1, "transfers_total": 0, "prefill_wasted_tokens_total": 100},
		},
		{
			name: "server fails", servers: plain, fault: fake.InternalError, path: "/file/1",
			want: map[string]int64{"requests_total": 1, "requests_good_total": 0, `answers_total{status="500"}`: 1},
		},
		{
			name: "all servers full", servers: plain, fault: fake.Shed, path: "/file/1",
			want: map[string]int64{"requests_total": 0, `refusals_total{code="no_server"}`: 1, `answers_total{status="503"}`: 1},
		},
		{
			name: "no route", servers: plain, path: "/what/1",
			want: map[string]int64{"requests_total": 0, `refusals_total{code="unknown_route"}`: 1, `answers_total{status="404"}`: 1},
		},
		{
			name: "over the rate limit", servers: plain, path: "/file/1", retryAfter: time.Second,
			want: map[string]int64{`refusals_total{code="rate_limited"}`: 1, "refusals_within_rate_total": 0, `answers_total{status="429"}`: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.servers)
			h.limiter.retryAfter = tt.retryAfter
			for _, s := range h.servers {
				s.SetFault(tt.fault)
			}
			h.send(t, http.MethodPost, tt.path, "body", func(r *http.Request) {
				if tt.sized {
					withTokenCounts(r)
				}
			})
			h.proxy.Close() // waits until the request is counted
			for name, n := range tt.want {
				if got := h.counter(name); got != n {
					t.Errorf("%s is %d, want %d", name, got, n)
				}
			}
			is.True(h.log.decisions() == 1)
		})
	}
}
