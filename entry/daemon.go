package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/accept"
	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/gossip"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/proxy"
	"wasabidock.dev/dock/rate"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/warmup"
)

const (
	// minDrainTime is how long new requests are accepted after draining has started. The load
	// balancer checks readiness every second and needs two failed checks.
	minDrainTime = 2500 * time.Millisecond
	// shutdownMargin is the part of the time until SIGKILL that is reserved for the exit of the
	// process, after the connections of callers are closed.
	shutdownMargin = 700 * time.Millisecond
	// headerTimeout and maxHeaderBytes bound the header of a request. idleTimeout bounds the time
	// for which a connection is idle. They apply until the operator's limits are known.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// idleMargin is added to the operator's idle timeout, to avoid closing a connection just as its
	// next request arrives.
	idleMargin = 2 * time.Second
	// peersShutdownTimeout bounds the wait for running calls of peers at exit.
	peersShutdownTimeout = 100 * time.Millisecond
	// finalAnswerTime is the time before the connections are closed at which requests without a response are answered.
	finalAnswerTime = 250 * time.Millisecond
	// drainPollPeriod is the period at which a draining daemon checks whether its requests have
	// ended.
	drainPollPeriod = 20 * time.Millisecond
)

// daemon runs the listeners and the background loops of the process.
type daemon struct {
	p         daemonDeps
	log       zerolog.Logger
	front     *http.Server
	ready     *http.Server
	peers     *peer.Server
	datagrams net.PacketConn
	stop      context.CancelFunc
	running   sync.WaitGroup
	callers   *accept.Listener
	conns     *accept.Conns
	closeBy   tick.Instant // time at which the connections of callers are closed, set before shutdown is called

	failedReloads int // consecutive failed attempts to read the settings; used by maintain only
}

// daemonDeps are the components that a daemon starts and stops.
type daemonDeps struct {
	fx.In

	Set         *platform.Settings
	Clock       tick.Clock
	Live        *route.Live
	Link        *link.Client
	Memory      *memory.Budget
	Store       *platform.Watcher
	Limiter     *rate.Limiter
	Scheduler   *admit.Scheduler
	RetryBudget *rate.FleetRetryBudget
	Health      *health.Tracker
	Limits      *permit.Limits
	Gate        *permit.Gate
	Issuer      *permit.Issuer
	Warmups     *warmup.Tracker
	Crashes     *crash.Gate
	Handler     *proxy.Handler
	Drain       *drain.Tracker
	Gossip      *gossip.Service
	Flags       flags
	Metrics     *metrics
	Log         zerolog.Logger
}

func newDaemon(lc fx.Lifecycle, p daemonDeps) *daemon {
	d := &daemon{p: p, log: logs.Component(p.Log, "entry"), conns: accept.NewConns(p.Clock, idleTimeout)}
	gin.SetMode(gin.ReleaseMode)
	callers := gin.New()
	callers.RedirectTrailingSlash = false
	callers.HandleMethodNotAllowed = false
	callers.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		p.Handler.ServeHTTP(c.Writer, c.Request)
	})
	d.front = &http.Server{Handler: callers, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: d.conns.OnStateChange}
	checks := gin.New()
	checks.GET("/api/readyz", d.serveReady)
	checks.GET(metricsPath, gin.WrapH(p.Metrics))
	d.ready = &http.Server{Handler: checks, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.shutdown})
	return d
}

// start opens the listeners and starts the background loops.
func (d *daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	if err := d.listen(); err != nil {
		cancel()
		return err
	}
	if err := d.startGossip(ctx); err != nil {
		cancel()
		return err
	}
	store := make(chan struct{})
	go d.p.Store.Run(ctx, store)
	d.running.Go(func() { <-store })
	d.running.Go(func() { d.maintain(ctx) })
	d.log.Info().Str("instance", d.p.Set.Instance()).Str("front", d.p.Set.ListenAddr()).Str("peers", d.p.Set.PeerAddr()).
		Msg("entry: started")
	return nil
}

// listen opens the listeners for callers, for readiness checks and, if a port is set, for metrics. A
// failure of the metrics listener is logged and does not prevent the start.
func (d *daemon) listen() error {
	front, err := net.Listen("tcp", d.p.Set.ListenAddr())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if d.callers, err = accept.NewListener(front, headerTimeout); err != nil {
		return errors.Wrap(err, "listen")
	}
	d.running.Go(func() { d.serve(d.front, d.callers) })
	ready, err := net.Listen("tcp", d.p.Set.ReadyAddr())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.running.Go(func() { d.serve(d.ready, ready) })
	if d.p.Flags.metricsPort == "" {
		return nil
	}
	addr, err := metricsAddr(d.p.Set.ReadyAddr(), d.p.Flags.metricsPort)
	if err != nil {
		return errors.Wrap(err, "measures")
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		d.log.Warn().Err(err).Msg("entry: listening on the metrics port failed; metrics are served at the readiness address only")
		return nil
	}
	d.running.Go(func() { d.serve(d.ready, l) })
	return nil
}

// startGossip opens the listeners for other instances and starts the exchange of state with them.
func (d *daemon) startGossip(ctx context.Context) error {
	l, err := net.Listen("tcp", d.p.Set.PeerAddr())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	d.p.Store.SetDuty(d.p.Gossip)
	d.p.Gate.SetClaimer(d.p.Gossip)
	d.p.Crashes.SetClaimer(d.p.Gossip)
	d.peers = peer.NewServer(peer.Handlers{News: d.p.Gossip}, nil)
	d.peers.Serve(ctx, l)
	if d.datagrams, err = net.ListenPacket("udp", d.p.Set.DatagramAddr()); err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	run, send, receive := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go d.p.Gossip.Run(ctx, run)
	go d.p.Gossip.SendLoad(ctx, d.datagrams, send)
	go d.p.Gossip.ReceiveLoads(d.datagrams, receive)
	d.running.Go(func() {
		<-run
		<-send
		<-receive
	})
	return nil
}

func (d *daemon) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error().Err(err).Str("address", l.Addr().String()).Msg("entry: server stopped with an error; its address is no longer served")
	}
}

// maintain periodically dispatches queued requests, removes expired state and reloads the settings.
func (d *daemon) maintain(ctx context.Context) {
	var last tick.Instant
	tick.Repeat(ctx, d.p.Clock.Every(dispatchPeriod), func(context.Context) {
		d.p.Scheduler.Dispatch()
		now := d.p.Clock.Now()
		if now-last < maintenancePeriod {
			return
		}
		last = now
		d.p.Link.Sweep(unusedConnTimeout)
		d.p.Health.Sweep(now)
		d.p.Limiter.Sweep(now)
		d.pruneServers()
		d.reload()
		limit := idleTimeout
		if t := d.p.Live.Table(); t != nil && t.Limits().IdleTimeout > 0 {
			limit = t.Limits().IdleTimeout + idleMargin
		}
		d.conns.EndIdle(limit)
	})
}

// pruneServers removes the state kept for backend servers that are no longer listed.
func (d *daemon) pruneServers() {
	current := make(map[uint64]bool)
	for _, s := range d.p.Live.Fleet().All() {
		current[s.Hash()] = true
	}
	isListed := func(hash uint64) bool { return current[hash] }
	d.p.Scheduler.Prune(isListed)
	now := tick.SinceBoot()
	d.p.Limits.Prune(isListed, now)
	d.p.Issuer.Sweep(now)
	d.p.Warmups.Sweep()
	d.p.Crashes.Tracker().Sweep(isListed, now)
	d.p.Gate.Sweep()
}

// reload applies changes of the settings file. The file is polled because it may change without a
// signal. Addresses and names keep the values read at the start.
func (d *daemon) reload() {
	changed, err := d.p.Set.Reload()
	if err != nil {
		if d.failedReloads++; d.failedReloads == 1 {
			d.log.Warn().Err(err).Msg("entry: settings cannot be read; the previous ones stay in force")
		}
		return
	}
	d.failedReloads = 0
	if !changed {
		return
	}
	ratio, extra, _ := d.p.Set.RetryBudget()
	d.p.RetryBudget.SetLimits(ratio, extra)
	setMemoryLimit(d.p.Set, d.p.Memory)
	d.log.Info().Float64("repeats", ratio).Float64("extra", extra).Int64("memory", d.p.Set.MemoryLimit()).Dur("grace", d.p.Set.ShutdownGrace()).Msg("entry: settings changed")
}

// serveReady answers the readiness check of the load balancer. The daemon is ready if it is not
// draining, has a configuration and knows a backend server.
func (d *daemon) serveReady(c *gin.Context) {
	if d.p.Drain.Stage() != drain.Serving || d.p.Live.Table() == nil || d.p.Live.Fleet().Len() == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// waitDrained blocks until stop is closed, and then drains the daemon. It returns when no request is active and minDrainTime has passed,
// or finalAnswerTime before the connections of callers are closed. Requests whose responses have not begun are answered then. No request
// is taken after waitDrained has returned.
func (d *daemon) waitDrained(stop <-chan struct{}) {
	<-stop
	start := d.p.Clock.Now()
	d.closeBy = start + d.p.Set.ShutdownGrace() - shutdownMargin
	d.p.Drain.Drain(start+minDrainTime, d.closeBy-finalAnswerTime)
	d.p.Gossip.Leave()
	d.logStep("draining")
	t := d.p.Clock.Every(drainPollPeriod)
	defer t.Stop()
	for range t.C() {
		now := d.p.Clock.Now()
		switch {
		case now-start >= minDrainTime && d.p.Drain.CloseIfIdle():
			d.logStep("no request is active and the process ends")
			return
		case now >= d.closeBy-finalAnswerTime:
			d.closeBy = max(d.closeBy, now+finalAnswerTime) // a process that was suspended is late
			d.p.Drain.Close()
			d.logStep("requests without a response are answered, since the process ends")
			return
		}
	}
}

// shutdown closes the listeners, stops the background loops and waits for them.
func (d *daemon) shutdown(ctx context.Context) error {
	if err := d.closeCallers(ctx); err != nil {
		d.log.Info().Err(err).Int64("active", d.p.Drain.Active()).Msg("entry: connections did not end in time and were cut off")
	}
	d.p.Drain.Cut()
	d.logStep("the connections of callers are closed")
	err := errors.Join(d.front.Close(), d.ready.Close(), d.datagrams.Close())
	d.stop()
	short, cancel := context.WithTimeout(ctx, peersShutdownTimeout)
	defer cancel()
	if perr := d.peers.Shutdown(short); perr != nil {
		d.log.Info().Err(perr).Msg("entry: calls of peers did not end in time and were cut off")
	}
	d.running.Wait()
	d.log.Info().Msg("entry: stopped")
	return err
}

// closeCallers ends the listener and the connections of callers. What has arrived at them is read and rejected, and responses are sent to
// their end. It returns an error if connections are open at closeBy.
func (d *daemon) closeCallers(ctx context.Context) error {
	ctx, cancel := tick.WithTimeout(ctx, d.p.Clock, d.closeBy-d.p.Clock.Now(), context.DeadlineExceeded)
	defer cancel()
	if err := d.callers.Stop(ctx); err != nil {
		return err
	}
	d.logStep("no connection is accepted any more")
	return d.conns.CloseAll(ctx)
}

// logStep logs a step of the end of the process, with the time since the begin of the drain, the number of requests in progress, and the
// number of those that came too late to be taken.
func (d *daemon) logStep(step string) {
	since, _ := d.p.Drain.Since(d.p.Clock.Now())
	d.log.Info().Dur("draining", since).Int64("active", d.p.Drain.Active()).Int64("refused", d.p.Drain.Refused()).Msg("entry: " + step)
}
