package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/elect"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// exchangePeriod is the mean time between rounds of calls. urgentExchangePeriod replaces it
	// while the store cannot be read or no other instance is known.
	exchangePeriod       = time.Second
	urgentExchangePeriod = 250 * time.Millisecond
	// fewMembers is the number of members below which all seeds are called.
	fewMembers = 3
	// minReportTimeout and reportPeriods bound the time for which an instance relies on another one to watch
	// the store without receiving its state. The periods are those of the datagrams.
	minReportTimeout = 700 * time.Millisecond
	reportPeriods    = 3
	// defaultReadTimeout is the default of Config.ReadTimeout.
	defaultReadTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the random delay before a busy instance is called
	// again.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 150 * time.Millisecond
)

// Item is one published key of the server list with its value.
type Item struct {
	Key          string
	Value        []byte
	Revision     int64
	Removed      bool
	TombstoneTTL time.Duration // how long a removed key may still reappear, 0 if it is not expected to
}

// Published is the published configuration as instances pass it on.
type Published struct {
	Raw   []byte
	Stamp route.Stamp
	Age   time.Duration // since the first of the instances that passed it on read it from the store
	From  string        // address of the peer that sent it
}

// Evacuation names the data centres whose servers get no requests.
type Evacuation struct {
	Position int64 // of the last change, 0 if none is known
	Centres  []string
	Kept     []string      // those that are missing after a restore of the store and still hold
	KeptFor  time.Duration // how long they hold
}

// WarmingServer is a backend server that is cold.
type WarmingServer struct {
	ID, Service, Centre string
	Left                time.Duration // until it is warm
	Presumed            bool          // the server does not say so itself
}

// ConfigStore holds the published configuration and the list of backend servers.
type ConfigStore interface {
	// Revisions returns the stamp of the configuration and the position of the list of backend
	// servers in force.
	Revisions() (table route.Stamp, fleet int64)
	// Config returns the configuration in force. It is the zero value if there is none.
	Config() Published
	// Era returns the latest era of the store that is known.
	Era() int64
	// ServerChanges returns the changes of the server list since a position and the current
	// position. If whole is true, items is the complete list instead.
	ServerChanges(since int64) (items []Item, revision int64, whole bool)
	// ApplyConfig puts a configuration from a peer in force if it is newer than the current one.
	ApplyConfig(p Published)
	// ApplyServerChanges applies the server list, or changes of it, received from a peer if the
	// revision is newer than the current one.
	ApplyServerChanges(items []Item, revision int64, whole bool)
	// Evacuation returns the evacuated data centres, and ApplyEvacuation applies those of a peer if they
	// are newer.
	Evacuation() Evacuation
	ApplyEvacuation(e Evacuation)
	// Unreachable reports whether the platform's store cannot be read.
	Unreachable() bool
	// LastRead returns when the store last showed this instance that its state is current, 0 if it never has.
	LastRead() tick.Instant
}

// LoadTracker tracks the load that instances place on backend servers. Its maps are keyed by the
// hash of the server.
type LoadTracker interface {
	// OwnLoad returns the load that this instance has placed.
	OwnLoad() map[uint64]admit.Load
	// UpdatePeerLoad replaces the sums of the given servers. Each sum is the total over all other
	// instances.
	UpdatePeerLoad(changed map[uint64]admit.Load)
}

// UsageTracker tracks the tokens that customers use. A peer is named "instance/incarnation". Maps
// are keyed by customer and hold tokens.
type UsageTracker interface {
	// Used returns the tokens that this instance has charged since it started.
	Used() map[string]int64
	// SetPeerUsage records the tokens that a peer has charged since it started.
	SetPeerUsage(peer string, used map[string]int64, now tick.Instant)
	// RetryTokens returns the tokens of rejected requests whose Retry-After time has not passed yet.
	// SetPeerRetryTokens records the tokens of such requests that a peer has reported.
	RetryTokens() map[string]int64
	SetPeerRetryTokens(peer string, due map[string]int64)
	// SetPeerCount sets the number of other instances.
	SetPeerCount(others int)
	// RemovePeer discards the tokens recorded for a peer.
	RemovePeer(peer string)
}

// Health tracks the backend servers that instances have found to be failing or draining.
type Health interface {
	// Reports returns the reports of failing servers that this instance itself has made.
	Reports(now tick.Instant) []health.Report
	// RecordPeerReport records a report of a peer.
	RecordPeerReport(r health.Report, peer string, now tick.Instant)
	// DrainingServers returns the hashes of the servers that have announced to this instance that
	// they are draining. RecordPeerDraining records a server that has announced to a peer that it
	// is draining.
	DrainingServers(now tick.Instant) []uint64
	RecordPeerDraining(server uint64, now tick.Instant)
}

// Config configures a Service.
type Config struct {
	Self   Member
	Seeds  []string // addresses for calls, host:port
	Store  ConfigStore
	Loads  LoadTracker
	Usage  UsageTracker
	Health Health
	// Limits are the limits that backend servers name, and Issuer issues the permits of the
	// servers of which this instance is the home.
	Limits *permit.Limits
	Issuer *permit.Issuer
	// ReadTimeout is the longest time between two answers of the store to an instance that reads it, 0 for
	// a default.
	ReadTimeout time.Duration
	// Warming returns the servers that are cold, for operators. A nil function means that there are none.
	Warming func() []WarmingServer
	// Crashes is the evidence on parts of prompts that end servers.
	Crashes *crash.Tracker
	Clock   tick.Clock
	// SinceBoot returns the current time by a clock that includes the time in which the machine
	// is suspended. The instants of Limits are of this clock.
	SinceBoot func() tick.Instant
	Log       zerolog.Logger
}

// Service exchanges state with the other instances. Its methods may be called concurrently; Run,
// SendLoad and ReceiveLoads are called once each.
type Service struct {
	cfg     Config
	members *members
	pool    *peer.Pool
	leaving atomic.Bool
	pauses  *pauses
	reader  *elect.Election
	packer  packer
	pull    chan string // addresses of peers that have a newer revision in force

	mu        sync.Mutex
	loads     map[string]*peerLoad  // by instance
	total     map[uint64]admit.Load // over all peers whose state is not stale, by server
	changed   map[uint64]admit.Load // entries of total not yet passed to LoadTracker
	busyUntil tick.Instant          // no large response is sent before this instant, to limit the rate to stateBytesPerSecond
}

var _ peerpbconnect.NewsServiceHandler = (*Service)(nil)

// New returns a Service. Limits, Issuer, Crashes and SinceBoot of cfg may be nil in a deployment whose servers
// name no limits and whose requests have no parts.
func New(cfg Config) *Service {
	if cfg.Limits == nil {
		cfg.Limits = permit.NewLimits()
	}
	if cfg.Issuer == nil {
		cfg.Issuer = permit.NewIssuer(cfg.Self.Instance, cfg.Limits)
	}
	if cfg.Crashes == nil {
		cfg.Crashes = crash.NewTracker(crash.Config{})
	}
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = cfg.Clock.Now
	}
	return &Service{
		cfg:     cfg,
		members: newMembers(cfg.Self.Instance),
		// The pool is keyed by address, because the address of a seed is known before its name.
		pool:   peer.NewPool(peer.Config{Address: func(i ident.Instance) (string, bool) { return string(i), true }}),
		pauses: newPauses(), reader: elect.New(cfg.Self.Instance), pull: make(chan string, 1),

		loads: make(map[string]*peerLoad), total: make(map[uint64]admit.Load), changed: make(map[uint64]admit.Load),
	}
}

// Leave makes this instance report to its peers that it is leaving.
func (s *Service) Leave() { s.leaving.Store(true) }

// Members returns the known other instances, ordered by name.
func (s *Service) Members() []Member { return s.members.list() }

// Run calls other instances periodically until ctx ends, and closes done when it returns.
func (s *Service) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer s.pool.Close()
	fetched := make(chan struct{})
	go s.fetch(ctx, fetched)
	defer func() { <-fetched }()
	for ctx.Err() == nil {
		s.exchangeRound(ctx)
		every := exchangePeriod
		if s.cfg.Store.Unreachable() || len(s.members.list()) == 0 {
			every = urgentExchangePeriod
		}
		// Jitter spreads the calls of instances that start together.
		if s.wait(ctx, every/2+rand.N(every)) != nil {
			return
		}
	}
}

// wait waits for d, or until this process has been paused.
func (s *Service) wait(ctx context.Context, d time.Duration) error {
	t := s.cfg.Clock.After(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C():
		return nil
	case <-s.pauses.woken:
		s.cfg.Log.Info().Msg("news: the process stood still; fetching the state of peers")
		return nil
	}
}

// fetch fetches newer state from the peers that have it until ctx ends, and then closes done. It does not wait for
// the periodic calls, which wait for peers that have ended.
func (s *Service) fetch(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-s.pull:
			switch err := s.exchange(ctx, addr, true); {
			case errors.Is(err, errBusy):
				s.retryPull(ctx, addr)
			case err != nil && ctx.Err() == nil:
				s.cfg.Log.Info().Err(err).Str("peer", addr).Msg("news: fetching newer state from the peer failed; continuing with the current state")
			}
		}
	}
}

// retryPull queues another request to a busy peer after a random delay. It does nothing if a
// request to another peer that has newer state is already queued.
func (s *Service) retryPull(ctx context.Context, addr string) {
	if tick.Sleep(ctx, s.cfg.Clock, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay)) != nil {
		return
	}
	select {
	case s.pull <- addr:
	default:
	}
}

// pullIfNewer queues a request to a peer if its configuration or its server list is newer than this
// instance's own. State crosses the links between regions once for each data centre, to the instance that reads
// the store; the others get it from there.
func (s *Service) pullIfNewer(region, addr string, table route.Stamp, fleet int64) {
	newer := elect.State{Table: table, Fleet: fleet}
	if !newer.AheadOf(s.state()) {
		return
	}
	s.reader.Want(newer, s.cfg.Clock.Now())
	if region != s.cfg.Self.Region && !s.WatchesStore() {
		return
	}
	select {
	case s.pull <- addr:
	default: // a request to a peer is already queued
	}
}

// exchangeRound calls the instances that targets returns and waits for their responses.
func (s *Service) exchangeRound(ctx context.Context) {
	s.members.expire(s.cfg.Clock.Now())
	s.cfg.Usage.SetPeerCount(s.members.count())
	var calls sync.WaitGroup
	for _, addr := range s.targets() {
		calls.Go(func() {
			if err := s.exchange(ctx, addr, s.cfg.Store.Unreachable()); err != nil && ctx.Err() == nil {
				s.cfg.Log.Debug().Err(err).Str("peer", addr).Msg("news: exchange with the peer failed; trying again in a later round")
			}
		})
	}
	calls.Wait()
}

// targets returns the addresses to call in this round: one seed and one other member. While few
// members are known or the store cannot be read, it returns all seeds and up to two members.
func (s *Service) targets() []string {
	all := s.members.list()
	urgent := len(all) < fewMembers || s.cfg.Store.Unreachable()
	picked := map[string]bool{s.cfg.Self.Address: true}
	var out []string
	add := func(addr string) {
		if !picked[addr] {
			picked[addr] = true
			out = append(out, addr)
		}
	}
	for _, i := range rand.Perm(len(s.cfg.Seeds)) {
		if urgent || len(out) == 0 {
			add(s.cfg.Seeds[i])
		}
	}
	for range 2 {
		if len(all) > 0 && (urgent || len(out) < 2) {
			add(all[rand.IntN(len(all))].Address)
		}
	}
	return out
}

func (s *Service) self() *peerpb.Member {
	m := &s.cfg.Self
	return &peerpb.Member{
		Instance: m.Instance, Incarnation: m.Incarnation, Address: m.Address, Datagrams: m.Datagrams,
		Centre: m.Centre, Region: m.Region, Leaving: s.leaving.Load(),
	}
}
