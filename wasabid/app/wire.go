package app

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	mrand "math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/probe"
	"wasabidock.dev/dock/quota"
	"wasabidock.dev/dock/retry"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/spread"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/wasabid/conf"
)

// retryRatio and retryLimit bound the retries of requests to engines.
const (
	retryRatio = 0.1
	retryLimit = 20
)

// settings are what fx supplies from outside.
type settings struct {
	cfg *conf.Config
	out io.Writer
}

// module provides the parts. Each constructor takes what it needs by type.
func module(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s.cfg),
		fx.Provide(
			func() (zerolog.Logger, error) { return logs.New(s.out, s.cfg.LogLevel()) },
			func() tick.Clock { return tick.NewReal() },
			newNode,
			newSecure,
			newPeerListener,
			newMembers,
			newTables,
			newPeers,
			newCrashGate, newSpread,
			newFleet,
			newQuota,
			newSchedulers,
			newPlacer,
			newEngines,
			newKeeper,
			newSweeper,
			newRunner,
			newPlain,
			newOnce,
			newMeter,
			newFront,
			newProber,
			newOrderers,
			newOrders,
			newPeerServer,
			newDaemon,
		),
	)
}

// newNode draws the incarnation of this process.
func newNode(cfg *conf.Config) (ident.Node, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return ident.Node{}, errors.Wrap(err, "app: draw the incarnation")
	}
	return ident.Node{Instance: cfg.Instance(), Incarnation: binary.BigEndian.Uint64(b[:])}, nil
}

// seeded returns a random source of its own for one part.
func seeded(n ident.Node, part uint64) *mrand.Rand {
	return mrand.New(mrand.NewPCG(n.Incarnation, part))
}

// The parts that draw random numbers.
const (
	randomRoster uint64 = iota + 1
	randomSpread
	randomPool
	randomPlain
)

func newPeerListener(cfg *conf.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", cfg.PeerListen())
	if err != nil {
		return nil, errors.Wrapf(err, "peer: listen %s", cfg.PeerListen())
	}
	return l, nil
}

func newMembers(cfg *conf.Config, n ident.Node, l net.Listener) *roster.Roster {
	addr := cfg.Advertise()
	if addr == "" {
		addr = l.Addr().String()
	}
	r := roster.New(roster.Config{Self: n, Address: addr, Centre: cfg.Centre(), Random: seeded(n, randomRoster)})
	for _, s := range cfg.Seeds() {
		r.Seed(s.Instance, s.Address, cfg.Centre())
	}
	return r
}

func newTables(r *roster.Roster) *tables { return &tables{members: r} }

func newPeers(r *roster.Roster, s secure) *peer.Pool {
	return peer.NewPool(peer.Config{Address: r.Address, TLS: s.peerClient()})
}

// newCrashGate returns what admits requests by the blocks of their prompts. Each change of the evidence is logged.
func newCrashGate(t tick.Clock, l zerolog.Logger) *crash.Gate {
	l = logs.Component(l, "crash")
	tracker := crash.NewTracker(crash.Config{Observe: func(c crash.Change) {
		l.Info().Str("change", string(c.Kind)).Str("prompt_part", c.Name).Int("episodes", c.Episodes).
			Dur("oldest", c.Oldest).Dur("newest", c.Newest).Msg("crash: evidence on a block of prompts has changed")
	}})
	return crash.NewGate(tracker, t, tick.SinceBoot)
}

func newSpread(cfg *conf.Config, n ident.Node, r *roster.Roster, p *peer.Pool, t tick.Clock, l zerolog.Logger, act *active, g *crash.Gate) *spread.Fleet {
	return spread.New(spread.Config{
		Self:     n,
		Centre:   cfg.Centre(),
		Roster:   r,
		Platform: newPlatforms(cfg.Platform(), t),
		Dialer:   p,
		Timer:    t,
		Random:   seeded(n, randomSpread),
		Log:      logs.Component(l, "spread"),
		Active:   act.count,
		Crashes:  g,
	})
}

func newFleet(cfg *conf.Config, n ident.Node, ts *tables, s *spread.Fleet) fleet {
	return fleet{tables: ts, self: n, centre: cfg.Centre(), superseded: s.Superseded()}
}

func newQuota(cfg *conf.Config, n ident.Node, ts *tables, f fleet, p *peer.Pool, t tick.Clock, l zerolog.Logger) *quota.Service {
	return quota.New(quota.Config{
		Node:       n,
		Centre:     cfg.Centre(),
		Source:     limits{ts},
		Membership: f,
		Dialer:     p,
		Clock:      t,
		Log:        logs.Component(l, "limit"),

		MaxLeaseTTL: cfg.LeaseLife(),
	})
}

func newSchedulers(n ident.Node, t tick.Clock, l zerolog.Logger, m *metric.Meter) *sched.Service {
	return sched.NewService(sched.ServiceConfig{
		Self:    n,
		Clock:   t,
		Log:     logs.Component(l, "sched"),
		Metrics: m.Registry(),
		Pool:    pool.Config{Instance: n.Instance, Incarnation: n.Incarnation, Rand: mrand.NewPCG(n.Incarnation, randomPool)},
	})
}

func newPlacer(cfg *conf.Config, n ident.Node, s *sched.Service, ts *tables, p *peer.Pool, q *quota.Service, t tick.Clock) *sched.Client {
	return sched.NewClient(sched.ClientConfig{
		Self:          n,
		Local:         s,
		Fleet:         workers{tables: ts, centre: cfg.Centre()},
		Dialer:        p,
		TrafficBudget: toll{q},
		Clock:         t,
	})
}

func newEngines(ts *tables, t tick.Clock) *engine.Client {
	return engine.New(engine.Config{Clock: t, Directory: ts})
}

func newKeeper(e *engine.Client, t tick.Clock) *sweep.Keeper {
	return sweep.NewKeeper(sweep.KeeperConfig{Engines: e, Timer: t})
}

func newSweeper(cfg *conf.Config, n ident.Node, e *engine.Client, ts *tables, t tick.Clock) *sweep.Sweeper {
	return sweep.NewSweeper(sweep.SweeperConfig{
		Self:    n,
		Engines: e,
		View:    workers{tables: ts, centre: cfg.Centre()},
		Timer:   t,
	})
}

func newRunner(n ident.Node, e *engine.Client, c *sched.Client, k *sweep.Keeper, t tick.Clock, g *crash.Gate) *flow.Runner {
	return flow.New(flow.Config{
		Node:        n,
		Engines:     e,
		Placer:      c,
		Holds:       k,
		Timer:       t,
		RetryBudget: retry.NewBudget(retry.Config{PerRequest: retryRatio, PerRetry: 1, MaxCredit: retryLimit}),
		Crashes:     g,
	})
}

func newPlain(n ident.Node, ts *tables, t tick.Clock) *plain.Client {
	return plain.New(plain.Config{Servers: ts, Clock: t, Rand: seeded(n, randomPlain)})
}

func newOnce(n ident.Node, ts *tables, f fleet, p *peer.Pool, c *plain.Client, t tick.Clock, l zerolog.Logger) *once.Service {
	return once.New(once.Config{
		Self:       n,
		Table:      journals{ts},
		Dialer:     p,
		Caller:     c,
		Clock:      t,
		Log:        logs.Component(l, "once"),
		Superseded: func() bool { return !f.Current(n) },
	})
}

func newMeter(t tick.Clock) *metric.Meter { return metric.New(metric.Config{Clock: t}) }

func newFront(cfg *conf.Config, ts *tables, q *quota.Service, r *flow.Runner, c *plain.Client, o *once.Service, m *metric.Meter, t tick.Clock, l zerolog.Logger, s secure, act *active) (*front.Server, error) {
	f, err := front.New(front.Config{
		Source:       callers{ts},
		Limiter:      limiter{q},
		Generator:    generator{tables: ts, runner: r},
		Plain:        c,
		Keyed:        o,
		Meter:        measures{m},
		Clock:        t,
		Log:          logs.Component(l, "front"),
		ErrorCode:    flow.ErrorCode,
		NewID:        func() ident.Request { return ident.Request(rand.Text()) },
		TLS:          s.callerServer(),
		StallTimeout: cfg.Slow(),
		MaxActive:    int64(cfg.MaxActive()),
		DrainDelay:   cfg.Notice(),
	})
	if err != nil {
		return nil, err
	}
	act.set(f.Active)
	return f, nil
}

func newProber(e *engine.Client, w *watched, s *sched.Service, o *orderers, t tick.Clock, l zerolog.Logger) *probe.Prober {
	return probe.New(probe.Config{
		Loaded:  o.Loaded,
		Engines: e,
		Targets: w.servers,
		Sink:    s,
		Timer:   t,
		Log:     logs.Component(l, "probe"),
	})
}

func newPeerServer(s *spread.Fleet, q *quota.Service, p *sched.Service, o *once.Service, sec secure) *peer.Server {
	return peer.NewServer(peer.Handlers{
		Fleet: s,
		Limit: q,
		Place: sched.NewHandler(p),
		Once:  o.Handler(),
	}, sec.peerServer())
}

// fxStop bounds the end of the parts after the last request.
const fxStop = 15 * time.Second
