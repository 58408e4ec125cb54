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
	// process.
	shutdownMargin = 800 * time.Millisecond
	// headerTimeout and maxHeaderBytes bound the header of a request. idleTimeout bounds the time
	// for which a connection is idle. They apply until the operator's limits are known.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// idleMargin is added to the operator's idle timeout, to avoid closing a connection just as its
	// next request arrives.
	idleMargin = 2 * time.Second
	// flushTimeout bounds the wait for connections whose responses are not sent to the end at exit.
	flushTimeout = 100 * time.Millisecond
	// peersShutdownTimeout bounds the wait for running calls of peers at exit.
	peersShutdownTimeout = 100 * time.Millisecond
	// finalAnswerTime is the time before the connections are closed at which requests without a response are answered.
	finalAnswerTime = 150 * time.Millisecond
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
	idle      *idleConns

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
	d := &daemon{p: p, log: logs.Component(p.Log, "entry"), idle: newIdleConns(p.Clock)}
	gin.SetMode(gin.ReleaseMode)
	callers := gin.New()
	callers.RedirectTrailingSlash = false
	callers.HandleMethodNotAllowed = false
	callers.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		p.Handler.ServeHTTP(c.Writer, c.Request)
	})
	d.front = newCallerServer(callers, d.idle)
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
	for _, s := range []struct {
		addr string
		srv  *http.Server
	}{{d.p.Set.ListenAddr(), d.front}, {d.p.Set.ReadyAddr(), d.ready}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if s.srv == d.front {
			l = callerListener{l}
		}
		d.running.Go(func() { d.serve(s.srv, l) })
	}
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
		d.idle.close(limit)
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

// waitDrained blocks until stop is closed, and then drains the daemon. It returns when all requests
// have ended and minDrainTime has passed, or shutdownMargin before the end of the grace period. Requests whose
// responses have not begun finalAnswerTime earlier are answered then.
func (d *daemon) waitDrained(stop <-chan struct{}) {
	<-stop
	start := d.p.Clock.Now()
	d.p.Drain.Drain(start+minDrainTime, start+d.p.Set.ShutdownGrace()-shutdownMargin-finalAnswerTime)
	d.p.Gossip.Leave()
	d.logStep("draining")
	t := d.p.Clock.Every(drainPollPeriod)
	defer t.Stop()
	var finished tick.Instant
	for range t.C() {
		now := d.p.Clock.Now()
		left := start + d.p.Set.ShutdownGrace() - shutdownMargin - now
		switch {
		case now-start >= minDrainTime && d.p.Drain.CloseIfIdle():
			d.logStep("no request is active and the process ends")
			return
		case finished == 0 && left <= finalAnswerTime:
			finished = now
			d.logStep("requests without a response are answered, since the process ends")
			d.p.Drain.Close()
		case left <= 0 && now-finished >= finalAnswerTime: // a process that was suspended answers later than planned
			return
		}
	}
}

// shutdown closes the listeners, stops the background loops and waits for them.
func (d *daemon) shutdown(ctx context.Context) error {
	// The handler of a response returns before the last bytes of it are sent. What is active after flushTimeout would be cut
	// off by SIGKILL in any case.
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	d.idle.closeAll(flush)
	d.logStep("idle connections are ended")
	if err := d.front.Shutdown(flush); err != nil {
		d.log.Info().Err(err).Int64("active", d.p.Drain.Active()).Msg("entry: requests did not end in time and were cut off")
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

// logStep logs a step of the end of the process, with the time since the begin of the drain, the number of requests in progress, and the
// number of those that came too late to be taken.
func (d *daemon) logStep(step string) {
	since, _ := d.p.Drain.Since(d.p.Clock.Now())
	d.log.Info().Dur("draining", since).Int64("active", d.p.Drain.Active()).Int64("refused", d.p.Drain.Refused()).Msg("entry: " + step)
}
