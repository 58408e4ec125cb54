package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/gossip"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/warmup"
)

// metricsPath is the path at which the metrics are served.
const metricsPath = "/metrics"

// metrics serves the metrics of the meter. At each request, it first updates the gauges that show
// the state of the components.
type metrics struct {
	p     metricsDeps
	start tick.Instant

	mu      sync.Mutex
	limited map[string]bool // gauges of limits in force
}

// metricsDeps are the dependencies of metrics.
type metricsDeps struct {
	fx.In

	Meter     *metric.Meter
	Clock     tick.Clock
	Live      *route.Live
	Link      *link.Client
	Memory    *memory.Budget
	Store     *platform.Watcher
	Scheduler *admit.Scheduler
	Health    *health.Tracker
	Limits    *permit.Limits
	Warmups   *warmup.Tracker
	Crashes   *crash.Gate
	Drain     *drain.Tracker
	Gossip    *gossip.Service
	LogWriter *logs.AsyncWriter
}

func newMeter(clock tick.Clock) *metric.Meter { return metric.New(metric.Config{Clock: clock}) }

func newMetrics(p metricsDeps) *metrics { return &metrics{p: p, start: p.Clock.Now()} }

// ServeHTTP implements http.Handler.
func (m *metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.updateGauges()
	m.p.Meter.Handler().ServeHTTP(w, r)
}

func (m *metrics) updateGauges() {
	p := m.p
	gauge := func(name string, v int64) { p.Meter.Gauge(name).Update(v) }
	gauge("requests_active", p.Drain.Active())
	gauge("requests_waiting", int64(p.Scheduler.Queued()))
	gauge("uptime_seconds", int64((p.Clock.Now()-m.start)/time.Second))
	gauge("instances_heard", int64(len(p.Gossip.Members())))
	gauge("store_cut", metric.BoolValue(p.Store.Unreachable()))
	gauge("evacuated_centres", int64(len(p.Live.Evacuations().Centres())))
	gauge("store_era", p.Store.Era())
	gauge("server_connections_opened", p.Link.DialCount())
	gauge("kept_bytes", p.Memory.Used())
	gauge("kept_bytes_refused", p.Memory.Refused())
	if t := p.Live.Table(); t != nil {
		gauge("table_version", t.Version())
		gauge("table_revision", route.Revision(t.Revision()))
	}
	servers, ejected, cold := p.Live.Fleet().Len(), 0, 0
	for _, s := range p.Live.Fleet().All() {
		if !p.Health.Usable(s.Key(), p.Clock.Now()) {
			ejected++
		}
		if p.Warmups.Warming(s) {
			cold++
		}
	}
	gauge("servers_known", int64(servers))
	gauge("cold_servers", int64(cold))
	gauge("servers_set_aside", int64(ejected))
	suspect, blocked := p.Crashes.Tracker().Counts(p.Crashes.Now())
	gauge("prompt_parts_suspect", int64(suspect))
	gauge("prompt_parts_blocked", int64(blocked))
	m.updateLimits()
	routine, important := p.LogWriter.Dropped()
	gauge(`log_lines_dropped{kind="routine"}`, routine)
	gauge(`log_lines_dropped{kind="important"}`, important)
}

// updateLimits updates the gauges of the limits that servers name. The gauge of a limit that is not
// in force any more is removed.
func (m *metrics) updateLimits() {
	m.mu.Lock()
	defer m.mu.Unlock()
	inForce := make(map[string]bool)
	for _, s := range m.p.Live.Fleet().All() {
		if l, ok := m.p.Limits.Of(s.Hash()); ok {
			name := `server_limit_milli{server="` + s.ID + `"}`
			m.p.Meter.Gauge(name).Update(int64(1000 * l.Rate))
			inForce[name] = true
		}
	}
	for name := range m.limited {
		if !inForce[name] {
			m.p.Meter.Registry().Unregister(name)
		}
	}
	m.limited = inForce
}

// metricsAddr returns the additional address at which the metrics are served: the host of the
// readiness check and the given port.
func metricsAddr(ready, port string) (string, error) {
	host, _, err := net.SplitHostPort(ready)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, port), nil
}
