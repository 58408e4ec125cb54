package sweep

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// KeeperConfig holds the settings of a Keeper. Zero values select the defaults.
type KeeperConfig struct {
	Engines Engines
	Timer   tick.Clock
	Life    time.Duration // time until a hold without contact expires; releases are repeated until then
	Touch   time.Duration // interval between renewals of a live hold
	Retry   time.Duration // pause after a call to an engine has failed
	Workers int           // maximum number of simultaneous calls
	Queue   int           // maximum number of pending releases
	// Streams renews holds with an open stream too, for engines that do not
	// count the stream as contact.
	Streams bool
}

const (
	defaultLife    = 10 * time.Second
	defaultTouch   = 2500 * time.Millisecond
	defaultRetry   = 100 * time.Millisecond
	defaultWorkers = 16
	defaultQueue   = 4096
	maxTouch       = 256 // maximum number of attempts in one call
)

// Keeper renews live holds and releases the others. It is safe for concurrent use.
type Keeper struct {
	cfg     KeeperConfig
	wake    chan struct{}
	work    chan ident.Server
	done    chan struct{}
	drained chan struct{} // receives a value when no release is pending any more

	mu      sync.Mutex // guards everything below
	servers map[ident.Server]*account
	counts  KeeperCounts
}

// KeeperCounts holds the counters of a Keeper.
type KeeperCounts struct {
	Live      int   // holds that are renewed
	Pending   int   // releases not yet acknowledged
	Released  int64 // acknowledged
	Touched   int64 // renewals of holds
	Failed    int64 // calls that failed
	Abandoned int64 // not acknowledged before the hold expired
	Overflow  int64 // not queued because the queue was full; the holds expire
}

// account lists what this process holds at one engine.
type account struct {
	live    map[ident.Attempt]*live
	pending []release
	busy    bool // a worker is processing it
	touch   tick.Instant
	retry   tick.Instant
}

// live is a hold of a request in progress.
type live struct {
	contact   tick.Instant // time of the last contact
	streaming bool         // an open stream renews the hold
}

type release struct {
	attempt ident.Attempt
	until   tick.Instant
}

// NewKeeper returns a Keeper that has not started.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.Life, defaultLife)
	setDefault(&cfg.Touch, defaultTouch)
	setDefault(&cfg.Retry, defaultRetry)
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	return &Keeper{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		work:    make(chan ident.Server),
		done:    make(chan struct{}),
		drained: make(chan struct{}, 1),
		servers: make(map[ident.Server]*account),
	}
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Start runs the Keeper until ctx ends.
func (k *Keeper) Start(ctx context.Context) {
	var wg sync.WaitGroup
	for range k.cfg.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.serve(ctx)
		}()
	}
	sub := k.cfg.Timer.Every(k.cfg.Retry)
	go func() {
		defer close(k.done)
		defer sub.Stop()
		k.dispatch(ctx, sub)
		wg.Wait()
	}()
}

// Done returns a channel that is closed when the Keeper has stopped.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Keep renews the holds of the attempt at engine s until Release is called.
func (k *Keeper) Keep(s ident.Server, a ident.Attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(s).live[a] = &live{contact: k.cfg.Timer.Now()}
}

// SetStreaming records whether a stream of the attempt is open at engine s.
func (k *Keeper) SetStreaming(s ident.Server, a ident.Attempt, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.account(s).live[a]; l != nil {
		l.contact = k.cfg.Timer.Now()
		l.streaming = open
	}
}

// Release makes engine s release what it holds for the attempt.
func (k *Keeper) Release(s ident.Server, a ident.Attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ac := k.account(s)
	delete(ac.live, a)
	if k.counts.Pending >= k.cfg.Queue {
		k.counts.Overflow++
		return
	}
	k.counts.Pending++
	ac.pending = append(ac.pending, release{attempt: a, until: k.cfg.Timer.Now() + k.cfg.Life})
	notify(k.wake)
}

// Drain waits until every release is acknowledged or abandoned, or ctx ends.
func (k *Keeper) Drain(ctx context.Context) error {
	for k.Counts().Pending > 0 {
		select {
		case <-k.drained:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Counts returns the present counters.
func (k *Keeper) Counts() KeeperCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts
	for _, ac := range k.servers {
		c.Live += len(ac.live)
	}
	return c
}

// account returns the account of an engine. The caller holds mu.
func (k *Keeper) account(s ident.Server) *account {
	ac := k.servers[s]
	if ac == nil {
		ac = &account{live: make(map[ident.Attempt]*live), touch: k.cfg.Timer.Now() + k.cfg.Touch}
		k.servers[s] = ac
	}
	return ac
}
