package main

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/gossip"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/proxy"
	"wasabidock.dev/dock/rate"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/spill"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/warmup"
)

const (
	// dispatchPeriod is the period at which queued requests are dispatched.
	dispatchPeriod = 50 * time.Millisecond
	// maintenancePeriod is the period of maintenance that is less urgent.
	maintenancePeriod = time.Second
	// unusedConnTimeout is how long the connection pool of an unused address is kept.
	unusedConnTimeout = 30 * time.Second
	// memoryLimitShare is the share of the process's memory that is set as the soft memory limit of
	// the Go runtime, near which the garbage collector runs more often. The rest is for stacks and
	// unread socket data.
	memoryLimitShare = 0.7
	// budgetShare is the share of the process's memory that requests and responses may use together. Garbage that is
	// not collected yet comes on top.
	budgetShare = 0.4
	// startTimeout and stopTimeout bound the start and stop hooks of the components.
	startTimeout = 10 * time.Second
	stopTimeout  = 30 * time.Second
	// maxLogBytes bounds the memory of log lines that wait to be written.
	maxLogBytes = 1 << 20
	// logFlushTimeout bounds the wait at exit for a log output that no longer accepts data.
	logFlushTimeout = 100 * time.Millisecond
)

// settingsPath returns the path of the settings file. The platform may set it in the environment
// variable platform.SettingsEnv; otherwise it is defaultSettings.
func settingsPath() string {
	if p := os.Getenv(platform.SettingsEnv); p != "" {
		return p
	}
	return defaultSettings
}

// runApp runs the daemon until stop is closed and its requests have ended or the shutdown grace
// period is over. The hooks are called at each log line, before it is written.
func runApp(ctx context.Context, f flags, set *platform.Settings, out io.Writer, stop <-chan struct{}, hooks ...zerolog.Hook) error {
	lines := logs.NewAsyncWriter(out, maxLogBytes)
	root, err := logs.New(lines, f.logLevel)
	if err != nil {
		return err
	}
	root = root.Hook(hooks...)
	logCtx, stopLog := context.WithCancel(context.Background())
	written := make(chan struct{})
	go lines.Run(logCtx, written)
	defer func() {
		stopLog()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}()
	var d *daemon
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(set, root, lines, f),
		components(),
		fx.Populate(&d),
	)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	d.waitDrained(stop)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// components provides the parts of the daemon. It needs the settings, the log and the flags.
func components() fx.Option {
	return fx.Provide(
		func() tick.Clock { return tick.NewReal() },
		drain.New, route.NewLive, health.NewTracker, permit.NewLimits, newFilter, newWarmups, newTracker, newCrashGate, newGate, newIssuer, newMemory,
		newLink, newStore, rate.NewLimiter, newRetryBudget, newScheduler, newHandler, newGossip, newMeter, newMetrics, newDaemon,
	)
}

// setMemoryLimit applies the memory limit of the settings to the process and to what requests and responses share.
func setMemoryLimit(set *platform.Settings, b *memory.Budget) {
	most := float64(set.MemoryLimit())
	debug.SetMemoryLimit(int64(memoryLimitShare * most))
	b.SetMax(int64(budgetShare * most))
}

func newMemory(set *platform.Settings) *memory.Budget {
	b := memory.NewBudget(0)
	setMemoryLimit(set, b)
	return b
}

func newLink(clock tick.Clock, budget *memory.Budget, meter *metric.Meter, log zerolog.Logger) *link.Client {
	return link.New(linkConfig(clock, budget, meter, log))
}

// linkConfig returns the configuration of a client whose findings are counted and logged. A nil budget has no bound.
func linkConfig(clock tick.Clock, budget *memory.Budget, meter *metric.Meter, log zerolog.Logger) link.Config {
	log = logs.Component(log, "link")
	return link.Config{Clock: clock, IDHeader: platform.AttemptHeader, Memory: budget, Observe: func(f link.Finding) {
		meter.Count("server_response_findings_total", "kind", string(f.Kind), 1)
		if f.Kind == link.FindingNoProof {
			return
		}
		log.Info().Str("kind", string(f.Kind)).Str("addr", f.Addr).Str("id", f.Sent).Str("got", f.Got).
			Int("status", f.Status).Int("use", f.Use).Dur("idle", f.Idle).
			Msg("link: connection has something else than the response to its last request")
	}}
}

// newStore returns the reader of the store. It has a client of its own, which does not share the memory of requests, so
// that changes come into force also while that is full.
func newStore(set *platform.Settings, clock tick.Clock, live *route.Live, tracker *health.Tracker, warmups *warmup.Tracker, meter *metric.Meter, log zerolog.Logger) *platform.Watcher {
	for _, s := range platform.Sources() {
		meter.Count("configurations_total", "source", string(s), 0)
	}
	return platform.NewWatcher(platform.WatcherConfig{
		Address: set.StoreAddr(), Link: link.New(linkConfig(clock, nil, meter, log)), Clock: clock, Live: live, Region: set.Region,
		HasRegion: set.HasRegion, Evacuations: set.HasEvacuations(),
		Returned: func(centre string) {
			for _, s := range live.Fleet().All() {
				if s.Centre == centre {
					warmups.Presume(s.Hash())
				}
			}
		},
		Applied: func(s platform.Source, age time.Duration) {
			meter.Count("configurations_total", "source", string(s), 1)
			meter.Histogram("configuration_age_ms").Update(age.Milliseconds())
		},
		Listed:    func(s *route.Server) { warmups.Listed(s.Hash(), s.ColdFor) },
		Heartbeat: set.HeartbeatInterval(),
		Draining:  func(key string) { tracker.RecordDraining(key, clock.Now()) },
		Log:       logs.Component(log, "platform"),
	})
}

func newRetryBudget(set *platform.Settings, clock tick.Clock, l *rate.Limiter) *rate.FleetRetryBudget {
	ratio, extra, window := set.RetryBudget()
	return rate.NewFleetRetryBudget(rate.FleetRetryBudgetConfig{Ratio: ratio, Extra: extra, Window: window}, clock, l.InstanceCount)
}

// modelServers is the admit.Source of the scheduler. It reads the configuration in force.
type modelServers struct{ live *route.Live }

// Servers returns the servers of a service and their engine parameters, or nil if the service is
// unknown.
func (m modelServers) Servers(service string) ([]*route.Server, *route.Engine) {
	t := m.live.Table()
	if t == nil {
		return nil, nil
	}
	s, ok := t.Service(service)
	if !ok {
		return nil, nil
	}
	return m.live.Fleet().ServersOf(service), s.Engine
}

func newFilter(live *route.Live, tracker *health.Tracker) *filter.Filter {
	return filter.New(live, tracker)
}

func newGate(l *permit.Limits, w *warmup.Tracker) *permit.Gate {
	g := permit.NewGate(l, tick.SinceBoot)
	g.SetWarmups(w)
	return g
}

// newWarmups returns the tracker of cold servers. A server that could not be reached may have restarted, and is
// presumed cold.
func newWarmups(set *platform.Settings, live *route.Live, tracker *health.Tracker) *warmup.Tracker {
	excess, slack := set.WarmupBound()
	w := warmup.NewTracker(warmup.Config{Excess: excess, Slack: slack}, live, tick.SinceBoot)
	tracker.OnUnreachable(w.Presume)
	return w
}

func newIssuer(set *platform.Settings, l *permit.Limits) *permit.Issuer {
	return permit.NewIssuer(set.Instance(), l)
}

// newTracker returns the evidence on parts of prompts that end servers. Each change is logged and counted.
func newTracker(meter *metric.Meter, live *route.Live, log zerolog.Logger) *crash.Tracker {
	log = logs.Component(log, "crash")
	for _, k := range crash.ChangeKinds {
		meter.Count("prompt_part_changes_total", "kind", string(k), 0)
	}
	return crash.NewTracker(crash.Config{Observe: func(c crash.Change) {
		meter.Count("prompt_part_changes_total", "kind", string(c.Kind), 1)
		log.Info().Str("change", string(c.Kind)).Str("prompt_part", c.Name).Int("episodes", c.Episodes).Strs("servers", serverNames(live, c.Servers)).
			Dur("oldest", c.Oldest).Dur("newest", c.Newest).Msg("crash: evidence on a part of prompts has changed")
	}})
}

// serverNames returns the IDs of the servers with the given hashes, and the hash of a server that is not
// listed any more.
func serverNames(live *route.Live, hashes []uint64) []string {
	ids := make(map[uint64]string)
	for _, s := range live.Fleet().All() {
		ids[s.Hash()] = s.ID
	}
	names := make([]string, len(hashes))
	for i, h := range hashes {
		if names[i] = ids[h]; names[i] == "" {
			names[i] = strconv.FormatUint(h, 16)
		}
	}
	return names
}

func newCrashGate(t *crash.Tracker, clock tick.Clock) *crash.Gate {
	return crash.NewGate(t, clock, tick.SinceBoot)
}

// schedulerDeps are the dependencies of an admit.Scheduler.
type schedulerDeps struct {
	fx.In

	Set     *platform.Settings
	Clock   tick.Clock
	Live    *route.Live
	Health  *health.Tracker
	Filter  *filter.Filter
	Warmups *warmup.Tracker
	Gate    *permit.Gate
	Link    *link.Client
	Limiter *rate.Limiter
}

func newScheduler(p schedulerDeps) *admit.Scheduler {
	check := func(s *route.Server, scope filter.Scope, now tick.Instant) filter.Verdict {
		v := p.Filter.Check(s, scope, now)
		if closed := p.Gate.ClosedFor(s); v.OK() && closed > 0 {
			return filter.Verdict{Reason: filter.Paused, Until: now + closed}
		}
		return v
	}
	return admit.NewScheduler(admit.Config{
		Centre: p.Set.Centre(), Region: p.Set.Region(p.Set.Centre()), Usable: p.Health.Usable, Refuses: p.Health.Refuses, Check: check,
		Connected: p.Link.HasIdleConn,
		Warming:   p.Warmups.Warming,
		Instances: p.Limiter.InstanceCount, Random: rand.Float64,
	}, modelServers{p.Live}, p.Clock)
}

// handlerDeps are the dependencies of a proxy.Handler.
type handlerDeps struct {
	fx.In

	Set         *platform.Settings
	Clock       tick.Clock
	Live        *route.Live
	Link        *link.Client
	Memory      *memory.Budget
	Limiter     *rate.Limiter
	RetryBudget *rate.FleetRetryBudget
	Scheduler   *admit.Scheduler
	Health      *health.Tracker
	Filter      *filter.Filter
	Warmups     *warmup.Tracker
	Gate        *permit.Gate
	Crashes     *crash.Gate
	Drain       *drain.Tracker
	Meter       *metric.Meter
	Log         zerolog.Logger
}

func newHandler(p handlerDeps) *proxy.Handler {
	for _, v := range []crash.Verdict{crash.Suspect, crash.Blocked} {
		p.Meter.Count("prompt_part_rejections_total", "verdict", v.String(), 0)
	}
	for _, end := range []string{proxy.EndWhole, proxy.EndCrash, proxy.EndReset, proxy.EndUnproven} {
		p.Meter.Count("open_ended_responses_total", "end", end, 0)
	}
	for _, end := range proxy.SilenceEnds() {
		p.Meter.Count("silent_runs_total", "end", end, 0)
	}
	for _, end := range proxy.BesideEnds() {
		p.Meter.Count("beside_runs_total", "end", end, 0)
	}
	for _, end := range proxy.HedgeEnds() {
		p.Meter.Count("hedged_requests_total", "end", end, 0)
	}
	for _, d := range spill.Distances() {
		p.Meter.Count("writes_by_distance_total", "distance", d.String(), 0)
	}
	for _, reason := range filter.Reasons() {
		p.Meter.Count("ineligible_servers_total", "reason", reason.String(), 0)
	}
	for _, reason := range proxy.WithheldReasons() {
		p.Meter.Count("writes_withheld_total", "reason", reason, 0)
	}
	return proxy.New(proxy.Config{
		Centre: p.Set.Centre(), Region: p.Set.Region(p.Set.Centre()),
		Live: p.Live, Protocol: platform.Protocol{}, Client: p.Link, Limiter: p.Limiter, RetryBudget: p.RetryBudget,
		Memory: p.Memory, Placer: p.Scheduler, Health: p.Health, Filter: p.Filter, Warmups: p.Warmups, Permits: p.Gate, Crashes: p.Crashes, Drain: p.Drain, Meter: p.Meter, Clock: p.Clock, Log: logs.Component(p.Log, "relay"),
	})
}

// gossipDeps are the dependencies of a gossip.Service.
type gossipDeps struct {
	fx.In

	Set       *platform.Settings
	Clock     tick.Clock
	Store     *platform.Watcher
	Scheduler *admit.Scheduler
	Limiter   *rate.Limiter
	Health    *health.Tracker
	Limits    *permit.Limits
	Issuer    *permit.Issuer
	Crashes   *crash.Tracker
	Live      *route.Live
	Warmups   *warmup.Tracker
	Log       zerolog.Logger
}

// warmingServers returns the cold servers in order of their IDs.
func warmingServers(live *route.Live, w *warmup.Tracker) []gossip.WarmingServer {
	var list []gossip.WarmingServer
	for _, s := range live.Fleet().All() {
		if left, presumed := w.Left(s); left > 0 {
			list = append(list, gossip.WarmingServer{ID: s.ID, Service: s.Service, Centre: s.Centre, Left: left, Presumed: presumed})
		}
	}
	slices.SortFunc(list, func(a, b gossip.WarmingServer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func newGossip(p gossipDeps) *gossip.Service {
	return gossip.New(gossip.Config{
		Self: gossip.Member{
			Instance: p.Set.Instance(),
			// The time of a later start is larger, unless the wall clock is set back during a
			// restart. Even then, the low bits make the incarnations differ.
			Incarnation: uint64(time.Now().UnixMicro()),
			Address:     p.Set.PeerAddr(),
			Datagrams:   p.Set.DatagramAddr(),
			Centre:      p.Set.Centre(),
			Region:      p.Set.Region(p.Set.Centre()),
		},
		Seeds: p.Set.Seeds(), Store: p.Store, Loads: p.Scheduler, Usage: p.Limiter, Health: p.Health,
		Limits: p.Limits, Issuer: p.Issuer, Crashes: p.Crashes, Clock: p.Clock, SinceBoot: tick.SinceBoot, ReadTimeout: platform.ReadTimeout,
		Warming: func() []gossip.WarmingServer { return warmingServers(p.Live, p.Warmups) },
		Log:     logs.Component(p.Log, "news"),
	})
}
