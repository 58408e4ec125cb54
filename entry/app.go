package main

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
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
	"wasabidock.dev/dock/share"
	"wasabidock.dev/dock/tick"
)

const (
	// sweepEvery is the period of the upkeep of queues and connections.
	sweepEvery = 50 * time.Millisecond
	// upkeepEvery is the period of what may wait.
	upkeepEvery = time.Second
	// unusedConns is how long the connections to an address are remembered.
	unusedConns = 30 * time.Second
	// memoryShare is the part of the process's memory at which the garbage
	// collector works harder. The rest is for stacks and unread sockets.
	memoryShare = 0.7
	// bodyShare is the part of it that bodies of requests may take together, and
	// answerShare that of answers which are kept until they are whole.
	bodyShare   = 0.3
	answerShare = 0.15
	// startLimit and stopLimit bound the hooks of the parts.
	startLimit = 10 * time.Second
	stopLimit  = 30 * time.Second
	// logBytes bounds the log lines that wait for their reader.
	logBytes = 1 << 20
	// logEnd bounds the wait for a reader that has stopped, at the end.
	logEnd = 100 * time.Millisecond
)

// settingsPath returns the path of the settings that the platform gives.
func settingsPath() string {
	if p := os.Getenv(platform.SettingsEnv); p != "" {
		return p
	}
	return defaultSettings
}

// runApp runs the daemon until stop is closed and its requests have ended.
func runApp(ctx context.Context, f flags, set *platform.Settings, out io.Writer, stop <-chan struct{}) error {
	lines := logs.NewAsyncWriter(out, logBytes)
	root, err := logs.New(lines, f.logLevel)
	if err != nil {
		return err
	}
	logCtx, endLog := context.WithCancel(context.Background())
	written := make(chan struct{})
	go lines.Run(logCtx, written)
	defer func() {
		endLog()
		select {
		case <-written:
		case <-time.After(logEnd):
		}
	}()
	setMemory(set)
	var d *daemon
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startLimit),
		fx.StopTimeout(stopLimit),
		fx.Supply(set, root, lines, f),
		fx.Provide(
			func() tick.Clock { return tick.NewReal() },
			route.NewLive, health.NewTracker, newLink, newStore, share.NewLimiter, newRepeats, newDesk, newHandler, newNews, newMeter, newMeasures, newDaemon,
		),
		fx.Populate(&d),
	)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	d.wait(stop)
	stopCtx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	return app.Stop(stopCtx)
}

func setMemory(set *platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryLimit())))
}

func newLink(clock tick.Clock) *link.Client {
	return link.New(link.Config{Clock: clock, IDHeader: platform.AttemptHeader})
}

func newStore(set *platform.Settings, c *link.Client, clock tick.Clock, live *route.Live, log zerolog.Logger) *platform.Watcher {
	return platform.NewWatcher(platform.WatcherConfig{
		Address: set.StoreAddr(), Link: c, Clock: clock, Live: live, Region: set.Region,
		Log: logs.Component(log, "platform"),
	})
}

func newRepeats(set *platform.Settings, clock tick.Clock, l *share.Limiter) *share.RetryBudget {
	ratio, extra, window := set.RetryBudget()
	return share.NewRetryBudget(share.RetryBudgetConfig{Ratio: ratio, Extra: extra, Window: window}, clock, l.InstanceCount)
}

// models tells the desk the model servers in force.
type models struct{ live *route.Live }

// Servers returns the servers of a service and what they are.
func (m models) Servers(service string) ([]*route.Server, *route.Engine) {
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

func newDesk(set *platform.Settings, clock tick.Clock, live *route.Live, h *health.Tracker, c *link.Client, l *share.Limiter) *admit.Scheduler {
	return admit.NewScheduler(admit.Config{
		Centre: set.Centre(), Region: set.Region(set.Centre()), Usable: h.Usable, ClosedUntil: h.ClosedUntil, Connected: c.HasIdleConn,
		Instances: l.InstanceCount, Random: rand.Float64,
	}, models{live}, clock)
}

// handlerParts are what a Handler is made of.
type handlerParts struct {
	fx.In

	Set     *platform.Settings
	Clock   tick.Clock
	Live    *route.Live
	Link    *link.Client
	Limits  *share.Limiter
	Repeats *share.RetryBudget
	Desk    *admit.Scheduler
	Health  *health.Tracker
	Meter   *meter.Meter
	Log     zerolog.Logger
}

func newHandler(p handlerParts) *relay.Handler {
	return relay.New(relay.Config{
		Centre: p.Set.Centre(), Region: p.Set.Region(p.Set.Centre()),
		Live: p.Live, Protocol: platform.Protocol{}, Client: p.Link, Limiter: p.Limits, RetryBudget: p.Repeats,
		MaxBodyBytes: int64(bodyShare * float64(p.Set.MemoryLimit())), MaxBufferedBytes: int64(answerShare * float64(p.Set.MemoryLimit())), Placer: p.Desk, Health: p.Health, Meter: p.Meter, Clock: p.Clock, Log: logs.Component(p.Log, "relay"),
	})
}

// newsParts are what a news.Service is made of.
type newsParts struct {
	fx.In

	Set    *platform.Settings
	Clock  tick.Clock
	Store  *platform.Watcher
	Desk   *admit.Scheduler
	Limits *share.Limiter
	Health *health.Tracker
	Log    zerolog.Logger
}

func newNews(p newsParts) *news.Service {
	return news.New(news.Config{
		Self: news.Member{
			Instance: p.Set.Instance(),
			// The time of day grows from one start to the next, but for clocks
			// that jump back over a restart; the low bits then still differ.
			Incarnation: uint64(time.Now().UnixMicro()),
			Address:     p.Set.PeerAddr(),
			Datagrams:   p.Set.DatagramAddr(),
			Centre:      p.Set.Centre(),
			Region:      p.Set.Region(p.Set.Centre()),
		},
		Seeds: p.Set.Seeds(), Store: p.Store, Loads: p.Desk, Usage: p.Limits, Health: p.Health, Clock: p.Clock,
		Log: logs.Component(p.Log, "news"),
	})
}
