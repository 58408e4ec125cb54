package app

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/probe"
	"wasabidock.dev/dock/quota"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/spread"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/wasabid/conf"
)

// The bounds of the steps of a daemon's end that follow the last request.
const (
	leaveLimit   = 5 * time.Second
	releaseLimit = 5 * time.Second
	// leaseLimit is longer, as a process that has just started waits for its own share before.
	leaseLimit  = 10 * time.Second
	reloadEvery = time.Minute
)

// parts are what the daemon starts and stops.
type parts struct {
	fx.In

	Cfg      *conf.Config
	Node     ident.Node
	Log      zerolog.Logger
	Timer    tick.Clock
	Secure   secure
	Members  *roster.Roster
	Tables   *tables
	Spread   *spread.Fleet
	Quota    *quota.Service
	Sched    *sched.Service
	Placer   *sched.Client
	Once     *once.Service
	Keeper   *sweep.Keeper
	Sweeper  *sweep.Sweeper
	Prober   *probe.Prober
	Orders   *orders.Reconciler
	Meter    *metric.Meter
	Front    *front.Server
	PeerL    net.Listener
	PeerSrv  *peer.Server
	PeerPool *peer.Pool
}

// daemon carries the parts through their life.
type daemon struct {
	p      parts
	log    zerolog.Logger
	group  *group
	callL  net.Listener
	served <-chan error
}

func newDaemon(lc fx.Lifecycle, p parts) *daemon {
	d := &daemon{p: p, log: logs.Component(p.Log, "app")}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

// start opens the listeners and starts the parts. It does not wait for the
// fleet: until there is a table, callers are refused and the daemon is not
// ready.
func (d *daemon) start(context.Context) error {
	// The context of fx ends with the start; the parts outlive it.
	ctx := context.Background()
	l, err := front.Listen(ctx, d.p.Cfg.Listen())
	if err != nil {
		return errors.Wrapf(err, "front: listen %s", d.p.Cfg.Listen())
	}
	d.callL = l
	adm, err := newAdmin(d.p.Cfg.AdminListen(), d.unready, d.p.Meter.Handler())
	if err != nil {
		return err
	}
	loops := d.loops(adm)
	if d.p.Cfg.DebugListen() != "" {
		dbg, err := newDebug(d.p.Cfg.DebugListen())
		if err != nil {
			return err
		}
		loops = append(loops, part{"debug", dbg.run})
		d.log.Info().Str("address", dbg.l.Addr().String()).Msg("app: profiler listening")
	}
	d.p.PeerSrv.Serve(ctx, d.p.PeerL)
	d.group = startGroup(ctx, d.log, loops)
	d.served = d.p.Front.Serve(l)
	d.log.Info().
		Str("instance", string(d.p.Node.Instance)).
		Uint64("incarnation", d.p.Node.Incarnation).
		Str("callers", l.Addr().String()).
		Str("peers", d.p.PeerL.Addr().String()).
		Str("admin", adm.l.Addr().String()).
		Msg("app: listening")
	return nil
}

// loops are the parts that run in the background.
func (d *daemon) loops(adm *admin) []part {
	f := follower{daemon: d, departed: make(map[ident.Server]bool)}
	list := []part{
		{"spread", d.p.Spread.Run},
		{"limit", d.p.Quota.Run},
		{"table", f.run},
		{"place", untilClosed(d.p.Sched.Run)},
		{"progress", untilClosed(d.p.Placer.Run)},
		{"once", untilClosed(d.p.Once.Start)},
		{"probe", d.p.Prober.Run},
		{"orders", func(ctx context.Context) error {
			d.p.Orders.Start(ctx)
			<-d.p.Orders.Done()
			return nil
		}},
		{"admin", adm.run},
		{"gauges", d.gauge},
		{"keeper", func(ctx context.Context) error {
			d.p.Keeper.Start(ctx)
			<-d.p.Keeper.Done()
			return nil
		}},
		{"sweeper", func(ctx context.Context) error {
			d.p.Sweeper.Start(ctx)
			<-d.p.Sweeper.Done()
			return nil
		}},
	}
	if s := d.p.Secure.callers; s != nil {
		list = append(list, part{"certs", untilClosed(func(ctx context.Context) <-chan struct{} {
			return s.Start(ctx, d.p.Timer, reloadEvery, logs.Component(d.p.Log, "certs"))
		})})
	}
	if s := d.p.Secure.peers; s != nil {
		list = append(list, part{"peercerts", untilClosed(func(ctx context.Context) <-chan struct{} {
			return s.Start(ctx, d.p.Timer, reloadEvery, logs.Component(d.p.Log, "certs"))
		})})
	}
	return list
}

// untilClosed makes a loop of a part that reports its end by closing a
// channel.
func untilClosed(start func(context.Context) <-chan struct{}) func(context.Context) error {
	return func(ctx context.Context) error {
		<-start(ctx)
		return nil
	}
}

// unready returns the reason why the daemon wants no new callers, or an empty
// string.
func (d *daemon) unready() string {
	if d.p.Front.Draining() {
		return "draining"
	}
	select {
	case <-d.p.Spread.Superseded():
		return "superseded by another process in the seat"
	default:
	}
	if d.p.Tables.table() == nil {
		return "no table yet"
	}
	select {
	case <-d.p.Spread.Joined():
		return ""
	default:
		return "joining the fleet"
	}
}

// drain finishes every request and hands over what has a home here. Requests
// are not bounded by any limit of time.
func (d *daemon) drain(ctx context.Context) {
	d.p.Members.SetState(roster.Draining)
	d.log.Info().Int64("active", d.p.Front.Active()).Msg("app: draining")
	released := d.releaseEarly(ctx)
	if err := d.p.Front.Drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("app: drain failed")
	}
	d.step(ctx, "hand over the journal", leaveLimit, d.p.Once.Leave)
	if !<-released {
		d.release(ctx)
	}
	d.step(ctx, "release what engines hold", releaseLimit, d.p.Keeper.Drain)
	d.log.Info().Msg("app: drained")
}

// releaseEarly releases the leases while requests go on, if another ready
// instance of the data centre can hold them: the others no longer charge at
// this one. The channel delivers whether it did.
func (d *daemon) releaseEarly(ctx context.Context) <-chan bool {
	done := make(chan bool, 1)
	if len(fleet{tables: d.p.Tables}.Live(d.p.Cfg.Centre())) == 0 {
		done <- false
		return done
	}
	go func() {
		d.release(ctx)
		done <- true
	}()
	return done
}

func (d *daemon) release(ctx context.Context) {
	d.step(ctx, "release the leases", leaseLimit, d.p.Quota.Release)
}

func (d *daemon) step(ctx context.Context, name string, limit time.Duration, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := f(ctx); err != nil {
		d.log.Warn().Str("step", name).Err(err).Msg("app: step of the shutdown failed")
	}
}

// stop ends the parts. The requests have ended before.
func (d *daemon) stop(ctx context.Context) error {
	err := d.p.PeerSrv.Shutdown(ctx)
	if d.group != nil {
		if e := d.group.stop(ctx); err == nil {
			err = e
		}
	}
	d.p.PeerPool.Close()
	return err
}
