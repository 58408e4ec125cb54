package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

// Platform reads and watches published values.
type Platform interface {
	Read(ctx context.Context, name string) (plat.Value, error)
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (plat.Value, error)
}

// Dialer returns the client of an instance. A call that ends by its deadline
// must not be followed by another one on the same connection.
type Dialer interface {
	Fleet(name ident.Instance) (peerpbconnect.FleetServiceClient, error)
}

// Config configures a Fleet.
type Config struct {
	Self     ident.Node
	Centre   ident.Centre
	Roster   *roster.Roster
	Platform Platform
	Dialer   Dialer
	Timer    tick.Clock
	Random   *rand.Rand
	Log      zerolog.Logger
	Active   func() int64 // requests in progress, shown by Status; may be nil
	Crashes  *crash.Gate  // evidence on blocks of prompts that end engines; may be nil
}

// ErrSuperseded reports that another process has taken the seat, as peers say.
var ErrSuperseded = errors.New("spread: superseded by another process in the seat")

// Fleet is one instance's part in the distribution of the table. It
// implements peerpbconnect.FleetServiceHandler.
type Fleet struct {
	cfg    Config
	ledger ledger
	table  atomic.Pointer[table.Table]
	stats  stats

	superseded chan struct{} // closed once a peer says so
	supersede  sync.Once
	joined     chan struct{} // closed once joined
	pushes     chan struct{} // a new version waits to be passed on
	wanted     chan struct{} // a newer version waits to be pulled

	mu       sync.Mutex
	alarmed  tick.Instant // last time that the loss of a node was told at once
	pending  offer
	retry    retry
	seen     tick.Instant // last time that anyone known read the head
	everSeen bool
	busy     map[ident.Instance]bool // exchanges in flight
	join     joining
	subs     map[int]chan struct{}
	nextSub  int

	values []*watched // used by one goroutine each
}

// New returns a Fleet that has no table yet.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:        cfg,
		superseded: make(chan struct{}),
		joined:     make(chan struct{}),
		pushes:     make(chan struct{}, 1),
		wanted:     make(chan struct{}, 1),
		busy:       make(map[ident.Instance]bool),
		subs:       make(map[int]chan struct{}),
		join:       joining{start: cfg.Timer.Now()},
		seen:       cfg.Timer.Now(),
	}
	f.values = f.watchedValues()
	f.retry.backoff = plat.Backoff{First: partBackoffFirst, Max: partBackoffMax, Random: rand.New(rand.NewPCG(cfg.Random.Uint64(), 0))}
	return f
}

// Current returns the table in force, or nil if there is none yet.
func (f *Fleet) Current() *table.Table { return f.table.Load() }

// Version returns the version in force and since when it is.
func (f *Fleet) Version() (Version, tick.Instant) {
	v, _, since := f.ledger.current()
	return v, since
}

// Joined is closed once the instance may serve on its table.
func (f *Fleet) Joined() <-chan struct{} { return f.joined }

// Superseded is closed once a peer says that another process has taken the
// seat. The owner should then finish its requests and end. Until it does, Run
// follows the table by the platform alone, so that requests whose key is
// withdrawn are still ended.
func (f *Fleet) Superseded() <-chan struct{} { return f.superseded }

// PlatformAge returns the time since any known instance read the head of the
// table from the platform, and false if none has since the start.
func (f *Fleet) PlatformAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Timer.Now() - f.seen, f.everSeen
}

// Subscribe returns a channel that holds at most one undelivered notice of a
// new table, and a function that ends the subscription.
func (f *Fleet) Subscribe() (changed <-chan struct{}, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextSub
	f.nextSub++
	c := make(chan struct{}, 1)
	f.subs[id] = c
	return c, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subs, id)
	}
}

// Run takes part in the distribution until ctx ends. It returns when all that
// it started has ended.
func (f *Fleet) Run(ctx context.Context) error {
	loops := []func(context.Context){f.runRounds, f.runPulls}
	for _, w := range f.values {
		loops = append(loops, func(ctx context.Context) { f.runWatch(ctx, w) })
	}
	done := make(chan struct{})
	for _, loop := range loops {
		go func() {
			defer func() { done <- struct{}{} }()
			loop(ctx)
		}()
	}
	for range loops {
		<-done
	}
	return nil
}

func (f *Fleet) isSuperseded() bool {
	select {
	case <-f.superseded:
		return true
	default:
		return false
	}
}

// notify leaves a notice in a channel that holds one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// inForce follows a change of the ledger.
func (f *Fleet) inForce() {
	defer f.checkJoined()
	f.mu.Lock()
	defer f.mu.Unlock()
	v, t, _ := f.ledger.current()
	if old := f.table.Load(); old != nil && old.Revision() > t.Revision() {
		return
	}
	f.table.Store(t)
	f.cfg.Log.Info().Str("version", v.String()).Msg("spread: table in force")
	for _, c := range f.subs {
		notify(c)
	}
	notify(f.pushes)
}

// heardPlatform takes note that the head was read age ago.
func (f *Fleet) heardPlatform(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.cfg.Timer.Now() - age; at > f.seen || !f.everSeen {
		f.seen = max(at, f.seen)
		f.everSeen = true
	}
}
