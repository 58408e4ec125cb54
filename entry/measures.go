package main

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/meter"
	"wasabidock.dev/dock/news"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/relay"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// measuresPath is where the measures are served.
const measuresPath = "/metrics"

// measures shows the state of the parts among what the meter counts, as it is
// when somebody asks.
type measures struct {
	p     measureParts
	start tick.Instant
}

// measureParts are the parts whose state is shown.
type measureParts struct {
	fx.In

	Meter   *meter.Meter
	Clock   tick.Clock
	Live    *route.Live
	Link    *link.Client
	Store   *platform.Watcher
	Desk    *admit.Scheduler
	Health  *health.Tracker
	Handler *relay.Handler
	News    *news.Service
	Lines   *logs.AsyncWriter
}

func newMeter(clock tick.Clock) *meter.Meter { return meter.New(meter.Config{Clock: clock}) }

func newMeasures(p measureParts) *measures { return &measures{p: p, start: p.Clock.Now()} }

// ServeHTTP implements http.Handler.
func (m *measures) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.set()
	m.p.Meter.Handler().ServeHTTP(w, r)
}

func (m *measures) set() {
	p := m.p
	gauge := func(name string, v int64) { p.Meter.Gauge(name).Update(v) }
	gauge("requests_active", p.Handler.Active())
	gauge("requests_waiting", int64(p.Desk.Queued()))
	gauge("uptime_seconds", int64((p.Clock.Now()-m.start)/time.Second))
	gauge("instances_heard", int64(len(p.News.Members())))
	gauge("store_cut", meter.BoolValue(p.Store.Unreachable()))
	gauge("server_connections_opened", p.Link.DialCount())
	if t := p.Live.Table(); t != nil {
		gauge("table_version", t.Version())
		gauge("table_revision", t.Revision())
	}
	servers, aside := p.Live.Fleet().Len(), 0
	for _, s := range p.Live.Fleet().All() {
		if !p.Health.Usable(s.Key(), p.Clock.Now()) {
			aside++
		}
	}
	gauge("servers_known", int64(servers))
	gauge("servers_set_aside", int64(aside))
	routine, important := p.Lines.Dropped()
	gauge(`log_lines_dropped{kind="routine"}`, routine)
	gauge(`log_lines_dropped{kind="important"}`, important)
}

// measuresAddr returns where the measures are served beside the address of the
// readiness check: on the same host, at the port given.
func measuresAddr(ready, port string) (string, error) {
	host, _, err := net.SplitHostPort(ready)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, port), nil
}
