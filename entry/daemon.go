package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/news"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/relay"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/share"
	"wasabidock.dev/dock/tick"
)

const (
	// noticeTime is how long requests are taken after the start of a drain:
	// the balancer asks each second and needs two misses.
	noticeTime = 2500 * time.Millisecond
	// graceMargin is kept of the time to SIGKILL for the end of the process.
	graceMargin = 800 * time.Millisecond
	// headerTime and headerBytes bound the head of a request until the
	// operator's limits are known, and idleTime an idle connection.
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	idleTime    = 2 * time.Minute
	// idleMargin is added to the operator's limit of idle connections, so that
	// none is closed as its next request comes.
	idleMargin = 2 * time.Second
	// peersEnd bounds the wait for calls of peers at the end.
	peersEnd = 100 * time.Millisecond
	// activePoll is the period at which a drain looks for its end.
	activePoll = 20 * time.Millisecond
)

// daemon runs the parts.
type daemon struct {
	p     daemonParts
	log   zerolog.Logger
	front *http.Server
	ready *http.Server
	peers *peer.Server
	loads net.PacketConn
	stop  context.CancelFunc
	ends  sync.WaitGroup
	drain atomic.Bool
	idle  *idleConns

	unread int // tries to read the settings that failed in a row; upkeep's
}

// daemonParts are what a daemon starts and stops.
type daemonParts struct {
	fx.In

	Set     *platform.Settings
	Clock   tick.Clock
	Live    *route.Live
	Link    *link.Client
	Store   *platform.Watcher
	Limits  *share.Limiter
	Desk    *admit.Scheduler
	Repeats *share.RetryBudget
	Health  *health.Tracker
	Handler *relay.Handler
	News    *news.Service
	Flags   flags
	Shown   *measures
	Log     zerolog.Logger
}

func newDaemon(lc fx.Lifecycle, p daemonParts) *daemon {
	d := &daemon{p: p, log: logs.Component(p.Log, "entry"), idle: newIdleConns(p.Clock)}
	gin.SetMode(gin.ReleaseMode)
	callers := gin.New()
	callers.RedirectTrailingSlash = false
	callers.HandleMethodNotAllowed = false
	callers.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		p.Handler.ServeHTTP(c.Writer, c.Request)
	})
	d.front = &http.Server{
		Handler: callers, ReadHeaderTimeout: headerTime, MaxHeaderBytes: headerBytes, IdleTimeout: idleTime,
		ConnState: d.idle.note,
	}
	checks := gin.New()
	checks.GET("/api/readyz", d.serveReady)
	checks.GET(measuresPath, gin.WrapH(p.Shown))
	d.ready = &http.Server{Handler: checks, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.end})
	return d
}

// start opens the listeners and starts the parts.
func (d *daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	if err := d.listen(); err != nil {
		cancel()
		return err
	}
	if err := d.startNews(ctx); err != nil {
		cancel()
		return err
	}
	store := make(chan struct{})
	go d.p.Store.Run(ctx, store)
	d.ends.Go(func() { <-store })
	d.ends.Go(func() { d.upkeep(ctx) })
	d.log.Info().Str("instance", d.p.Set.Instance()).Str("front", d.p.Set.ListenAddr()).Str("peers", d.p.Set.PeerAddr()).
		Msg("entry: started")
	return nil
}

// listen opens the listeners for callers, for the balancer and for those who
// read the measures. Nobody is kept from serving because the last one fails.
func (d *daemon) listen() error {
	for _, s := range []struct {
		addr string
		srv  *http.Server
	}{{d.p.Set.ListenAddr(), d.front}, {d.p.Set.ReadyAddr(), d.ready}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		d.ends.Go(func() { d.serve(s.srv, l) })
	}
	if d.p.Flags.measures == "" {
		return nil
	}
	addr, err := measuresAddr(d.p.Set.ReadyAddr(), d.p.Flags.measures)
	if err != nil {
		return errors.Wrap(err, "measures")
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		d.log.Warn().Err(err).Msg("entry: the measures have no port of their own")
		return nil
	}
	d.ends.Go(func() { d.serve(d.ready, l) })
	return nil
}

// startNews opens what other instances reach.
func (d *daemon) startNews(ctx context.Context) error {
	l, err := net.Listen("tcp", d.p.Set.PeerAddr())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	d.p.Store.SetShouldWatch(d.p.News.WatchesStore)
	d.peers = peer.NewServer(peer.Handlers{News: d.p.News}, nil)
	d.peers.Serve(ctx, l)
	if d.loads, err = net.ListenPacket("udp", d.p.Set.DatagramAddr()); err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	run, send, receive := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go d.p.News.Run(ctx, run)
	go d.p.News.SendLoad(ctx, d.loads, send)
	go d.p.News.ReceiveLoads(d.loads, receive)
	d.ends.Go(func() {
		<-run
		<-send
		<-receive
	})
	return nil
}

func (d *daemon) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error().Err(err).Str("address", l.Addr().String()).Msg("entry: listener ended")
	}
}

// upkeep looks after queues, connections and records.
func (d *daemon) upkeep(ctx context.Context) {
	var last tick.Instant
	tick.Repeat(ctx, d.p.Clock.Every(sweepEvery), func(context.Context) {
		d.p.Desk.Dispatch()
		now := d.p.Clock.Now()
		if now-last < upkeepEvery {
			return
		}
		last = now
		d.p.Link.Sweep(unusedConns)
		d.p.Health.Sweep(now)
		d.p.Limits.Sweep(now)
		d.forget()
		d.reload()
		if t := d.p.Live.Table(); t != nil && t.Limits().IdleTimeout > 0 {
			d.idle.close(t.Limits().IdleTimeout + idleMargin)
		}
	})
}

// forget drops the records of backend servers that are gone.
func (d *daemon) forget() {
	here := make(map[uint64]bool)
	for _, s := range d.p.Live.Fleet().All() {
		here[s.Hash()] = true
	}
	d.p.Desk.Prune(func(hash uint64) bool { return here[hash] })
}

// reload follows the settings file, which changes with a signal or without.
// Addresses and names stay those of the start.
func (d *daemon) reload() {
	changed, err := d.p.Set.Reload()
	if err != nil {
		if d.unread++; d.unread == 1 {
			d.log.Warn().Err(err).Msg("entry: settings cannot be read, the last ones stay")
		}
		return
	}
	d.unread = 0
	if !changed {
		return
	}
	ratio, extra, _ := d.p.Set.RetryBudget()
	d.p.Repeats.SetLimits(ratio, extra)
	setMemory(d.p.Set)
	d.log.Info().Float64("repeats", ratio).Float64("extra", extra).Dur("grace", d.p.Set.ShutdownGrace()).Msg("entry: settings changed")
}

// serveReady tells the balancer whether to send new connections.
func (d *daemon) serveReady(c *gin.Context) {
	if d.drain.Load() || d.p.Live.Table() == nil || d.p.Live.Fleet().Len() == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// wait blocks until stop is closed and the requests have ended.
func (d *daemon) wait(stop <-chan struct{}) {
	<-stop
	start := d.p.Clock.Now()
	d.drain.Store(true)
	d.p.Handler.Drain(start + d.p.Set.ShutdownGrace() - graceMargin)
	d.p.News.Leave()
	d.log.Info().Int64("active", d.p.Handler.Active()).Msg("entry: draining")
	t := d.p.Clock.Every(activePoll)
	defer t.Stop()
	for range t.C() {
		passed := d.p.Clock.Now() - start
		if passed >= d.p.Set.ShutdownGrace()-graceMargin || passed >= noticeTime && d.p.Handler.Active() == 0 {
			return
		}
	}
}

// end stops the parts in the reverse of their order.
func (d *daemon) end(ctx context.Context) error {
	// What is still active now would be cut by SIGKILL in any case.
	err := errors.Join(d.front.Close(), d.ready.Close(), d.loads.Close())
	d.stop()
	short, cancel := context.WithTimeout(ctx, peersEnd)
	defer cancel()
	if perr := d.peers.Shutdown(short); perr != nil {
		d.log.Info().Err(perr).Msg("entry: calls of peers were cut")
	}
	d.ends.Wait()
	d.log.Info().Msg("entry: stopped")
	return err
}
