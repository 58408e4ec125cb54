package probe

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const (
	defaultPoll  = 500 * time.Millisecond
	defaultRetry = time.Second
)

// Engines is the client of the engines.
type Engines interface {
	Load(ctx context.Context, s ident.Server) (engine.LoadReport, error)
	Events(ctx context.Context, s ident.Server, after uint64) (*engine.CacheEventStream, error)
}

// Sink receives the load reports and the cache events of the engines.
type Sink interface {
	ApplyReport(r place.LoadReport)
	ApplyEvents(e place.CacheEvent)
}

// Config configures a Prober. Zero durations select the defaults.
type Config struct {
	Engines Engines
	// Targets returns the engines to follow.
	Targets func() []ident.Server
	Sink    Sink
	// Loaded is called with each complete load report. It may be nil.
	Loaded func(s ident.Server, l engine.LoadReport)
	Timer  tick.Clock
	Log    zerolog.Logger
	Poll   time.Duration // interval between polls of one engine
	Retry  time.Duration // delay before a failed feed is reopened
}

// Prober follows the load reports and the cache events of engines.
type Prober struct {
	cfg Config
}

// worker follows one engine until its context ends.
type worker struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Prober that follows no engine yet.
func New(cfg Config) *Prober {
	if cfg.Poll <= 0 {
		cfg.Poll = defaultPoll
	}
	if cfg.Retry <= 0 {
		cfg.Retry = defaultRetry
	}
	return &Prober{cfg: cfg}
}

// Run follows the targets until ctx ends. It reads the list of targets again at
// each poll.
func (p *Prober) Run(ctx context.Context) error {
	t := p.cfg.Timer.Every(p.cfg.Poll)
	defer t.Stop()
	workers := make(map[ident.Server]*worker)
	defer stopAll(workers)
	for {
		p.adjust(ctx, workers)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C():
		}
	}
}

// adjust starts workers for new targets and stops those of removed ones.
func (p *Prober) adjust(ctx context.Context, workers map[ident.Server]*worker) {
	wanted := make(map[ident.Server]bool)
	for _, s := range p.cfg.Targets() {
		wanted[s] = true
		if workers[s] == nil {
			workers[s] = p.start(ctx, s)
		}
	}
	for s, w := range workers {
		if !wanted[s] {
			w.cancel()
			<-w.done
			delete(workers, s)
		}
	}
}

func stopAll(workers map[ident.Server]*worker) {
	for _, w := range workers {
		w.cancel()
	}
	for _, w := range workers {
		<-w.done
	}
}

func (p *Prober) start(ctx context.Context, s ident.Server) *worker {
	ctx, cancel := context.WithCancel(ctx)
	w := &worker{cancel: cancel, done: make(chan struct{})}
	feed := make(chan struct{})
	go func() {
		defer close(feed)
		p.follow(ctx, s)
	}()
	go func() {
		defer close(w.done)
		p.poll(ctx, s)
		<-feed
	}()
	return w
}

// poll passes the load reports of s to the sink.
func (p *Prober) poll(ctx context.Context, s ident.Server) {
	t := p.cfg.Timer.Every(p.cfg.Poll)
	defer t.Stop()
	for {
		l, err := p.cfg.Engines.Load(ctx, s)
		if err == nil {
			p.take(s, l)
		} else if ctx.Err() == nil {
			p.cfg.Log.Debug().Str("server", string(s)).Err(err).Msg("probe: load report failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C():
		}
	}
}

func (p *Prober) take(s ident.Server, l engine.LoadReport) {
	p.cfg.Sink.ApplyReport(report(s, l))
	if p.cfg.Loaded != nil {
		p.cfg.Loaded(s, l)
	}
}

// follow passes the cache events of s to the sink and reopens the feed when it
// ends. Each feed is read from its start: the sequence numbers of an engine that
// has restarted begin again, and it would omit the events up to the last number
// seen.
func (p *Prober) follow(ctx context.Context, s ident.Server) {
	for ctx.Err() == nil {
		err := p.feed(ctx, s)
		if ctx.Err() != nil {
			return
		}
		p.cfg.Log.Debug().Str("server", string(s)).Err(err).Msg("probe: event feed ended")
		if tick.Sleep(ctx, p.cfg.Timer, p.cfg.Retry) != nil {
			return
		}
	}
}

func (p *Prober) feed(ctx context.Context, s ident.Server) error {
	f, err := p.cfg.Engines.Events(ctx, s, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	for {
		e, err := f.Next()
		if err != nil {
			return err
		}
		p.cfg.Sink.ApplyEvents(place.CacheEvent{Server: s, Seq: e.Seq, Added: e.Added, Evicted: e.Evicted})
	}
}

func report(s ident.Server, l engine.LoadReport) place.LoadReport {
	return place.LoadReport{
		Server:        s,
		Seq:           l.Seq,
		QueuedTokens:  l.QueuedTokens,
		BusySlots:     l.BusySlots,
		TokenInterval: time.Duration(l.TokenIntervalMS * float64(time.Millisecond)),
		Age:           time.Duration(l.AgeMS) * time.Millisecond,
		Draining:      l.Draining,
	}
}
