package news

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/tick"
)

const (
	// exchangeEvery is the period of the calls while all is well, and
	// urgentEvery while the store cannot be read or nobody is known.
	exchangeEvery = time.Second
	urgentEvery   = 250 * time.Millisecond
	// fewMembers is the number of members below which all seeds are called.
	fewMembers = 3
	// silentAfter is how long an instance relies on another one that it does
	// not hear.
	silentAfter = 700 * time.Millisecond
	// knownShare is the part of the members below which a caller is told all.
	knownShare = 0.9
	// exchangeLimit bounds a call.
	exchangeLimit = 800 * time.Millisecond
	// tellBytes is what an instance tells of newer state in a second, but for
	// small answers of up to smallBytes. When something changes, all of a data
	// centre ask at once: those that are told first can tell the others, where a
	// link that is shared by all of them would be in time for none.
	tellBytes  = 1 << 20
	smallBytes = 8 << 10
	// askLeast and askMost bound the wait before an instance that was busy is
	// asked again.
	askLeast = 50 * time.Millisecond
	askMost  = 150 * time.Millisecond
)

// errBusy reports a peer that tells others at the moment.
var errBusy = errors.New("the peer is busy")

// Item is one published key with its value.
type Item struct {
	Key          string
	Value        []byte
	Revision     int64
	Removed      bool
	TombstoneTTL time.Duration // how long a removed key may still come back
}

// ConfigStore holds what is published.
type ConfigStore interface {
	// Revisions returns the revisions of the configuration and of the list of
	// backend servers in force.
	Revisions() (table, fleet int64)
	// Config returns the published form of the configuration in force.
	Config() ([]byte, int64)
	// ServerChanges returns what has changed with the backend servers since a
	// revision, and whether that is all that there is.
	ServerChanges(since int64) (items []Item, revision int64, whole bool)
	// ApplyConfig puts a configuration in force if it is newer.
	ApplyConfig(raw []byte, revision int64)
	// ApplyServerChanges takes over what a peer knows if it is newer.
	ApplyServerChanges(items []Item, revision int64, whole bool)
	// Unreachable tells whether the store cannot be read.
	Unreachable() bool
}

// LoadTracker is the load that instances place on backend servers.
type LoadTracker interface {
	OwnLoad() map[uint64]admit.Load
	// UpdatePeerLoad takes in those sums over the other instances that have changed.
	UpdatePeerLoad(changed map[uint64]admit.Load)
}

// UsageTracker is what customers use.
type UsageTracker interface {
	Used() map[string]int64
	SetPeerUsage(peer string, used map[string]int64, now tick.Instant)
	// RetryTokens returns the tokens of callers that were told to come back, and
	// SetPeerRetryTokens takes in those of a peer that was heard.
	RetryTokens() map[string]int64
	SetPeerRetryTokens(peer string, due map[string]int64)
	// SetPeerCount tells how many other instances there are.
	SetPeerCount(others int)
	RemovePeer(peer string)
}

// Health is what instances find out about backend servers.
type Health interface {
	Reports(now tick.Instant) []health.Report
	RecordPeerReport(d health.Report, teller string, now tick.Instant)
	// DrainingServers returns the hashes of the servers that have told this instance
	// that they leave, and RecordPeerDraining takes in one that has told another.
	DrainingServers(now tick.Instant) []uint64
	RecordPeerDraining(server uint64, now tick.Instant)
}

// Config configures a Service.
type Config struct {
	Self    Member
	Seeds   []string // addresses for calls, host:port
	Book    ConfigStore
	Loads   LoadTracker
	Charges UsageTracker
	Health  Health
	Clock   tick.Clock
	Log     zerolog.Logger
}

// Service keeps in touch with the other instances.
type Service struct {
	cfg     Config
	members *members
	pool    *peer.Pool
	leaving atomic.Bool
	pull    chan string // addresses of peers that have something newer in force

	mu      sync.Mutex
	loads   map[string]*heardLoad // by instance
	total   map[uint64]admit.Load // of those that are heard
	changed map[uint64]admit.Load // of total, since it was handed on last
	tellEnd tick.Instant          // until when what was told of newer state takes
}

var _ peerpbconnect.NewsServiceHandler = (*Service)(nil)

// New returns a Service.
func New(cfg Config) *Service {
	return &Service{
		cfg:     cfg,
		members: newMembers(cfg.Self.Instance),
		// Peers are called by address: that of a seed is known before its name.
		pool: peer.NewPool(peer.Config{Address: func(i ident.Instance) (string, bool) { return string(i), true }}),
		pull: make(chan string, 1),

		loads: make(map[string]*heardLoad), total: make(map[uint64]admit.Load), changed: make(map[uint64]admit.Load),
	}
}

// Leave tells the others that this instance ends.
func (s *Service) Leave() { s.leaving.Store(true) }

// Members returns the other instances that are known.
func (s *Service) Members() []Member { return s.members.list() }

// Run makes the calls until ctx ends, and closes done then.
func (s *Service) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer s.pool.Close()
	for ctx.Err() == nil {
		s.round(ctx)
		every := exchangeEvery
		if s.cfg.Book.Unreachable() || len(s.members.list()) == 0 {
			every = urgentEvery
		}
		// Jitter keeps instances that start together apart.
		if s.rest(ctx, every/2+rand.N(every)) != nil {
			return
		}
	}
}

// rest waits for d, and meanwhile asks the peers that have something newer.
func (s *Service) rest(ctx context.Context, d time.Duration) error {
	t := s.cfg.Clock.After(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
			return nil
		case addr := <-s.pull:
			switch err := s.exchange(ctx, addr, true); {
			case errors.Is(err, errBusy):
				s.askAgain(ctx, addr)
			case err != nil && ctx.Err() == nil:
				s.cfg.Log.Info().Err(err).Str("peer", addr).Msg("news: newer state was not got")
			}
		}
	}
}

// askAgain asks a peer that was busy once more after a moment, unless another
// one is ahead too and is asked before.
func (s *Service) askAgain(ctx context.Context, addr string) {
	if tick.Sleep(ctx, s.cfg.Clock, askLeast+rand.N(askMost-askLeast)) != nil {
		return
	}
	select {
	case s.pull <- addr:
	default:
	}
}

// compare asks a peer that has something newer in force than this instance.
func (s *Service) compare(addr string, table, fleet int64) {
	ownTable, ownFleet := s.cfg.Book.Revisions()
	if table <= ownTable && fleet <= ownFleet {
		return
	}
	select {
	case s.pull <- addr:
	default: // another one is being asked
	}
}

// round calls the seeds and one other member.
func (s *Service) round(ctx context.Context) {
	s.members.sweep(s.cfg.Clock.Now())
	s.cfg.Charges.SetPeerCount(s.members.count())
	var calls sync.WaitGroup
	for _, addr := range s.targets() {
		calls.Go(func() {
			if err := s.exchange(ctx, addr, s.cfg.Book.Unreachable()); err != nil && ctx.Err() == nil {
				s.cfg.Log.Debug().Err(err).Str("peer", addr).Msg("news: exchange failed")
			}
		})
	}
	calls.Wait()
}

// targets returns the addresses to call: one seed and one other member, and
// more while few are known or the store cannot be read.
func (s *Service) targets() []string {
	all := s.members.list()
	urgent := len(all) < fewMembers || s.cfg.Book.Unreachable()
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

// exchange calls one instance and takes in what it says. With want set it asks
// for what is newer there.
func (s *Service) exchange(ctx context.Context, addr string, want bool) error {
	c, err := s.pool.News(ident.Instance(addr))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	now := s.cfg.Clock.Now()
	table, fleet := s.cfg.Book.Revisions()
	resp, err := c.Exchange(ctx, &peerpb.ExchangeRequest{
		Self: s.self(), Members: s.members.wire(now, mostTold), Known: int32(s.members.count()),
		Table: table, Fleet: fleet, Want: want,
	})
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	now = s.cfg.Clock.Now()
	s.members.take(resp.GetSelf(), now)
	s.learn(resp.GetMembers(), now)
	if !want {
		s.compare(addr, resp.GetTable(), resp.GetFleet())
		return nil
	}
	if resp.GetBusy() {
		return errBusy
	}
	if raw := resp.GetConfig(); len(raw) > 0 {
		s.cfg.Book.ApplyConfig(raw, resp.GetTable())
	}
	items := make([]Item, 0, len(resp.GetEntries()))
	for _, e := range resp.GetEntries() {
		items = append(items, Item{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(),
			TombstoneTTL: time.Duration(e.GetKeepMs()) * time.Millisecond,
		})
	}
	if resp.GetFleet() > fleet {
		s.cfg.Book.ApplyServerChanges(items, resp.GetFleet(), resp.GetWhole())
	}
	return nil
}

// learn takes in what a peer says of members.
func (s *Service) learn(list []*peerpb.Member, now tick.Instant) {
	for _, m := range list {
		s.members.take(m, now)
	}
	s.cfg.Charges.SetPeerCount(s.members.count())
}

// told returns how many members a caller is told that knows some already: all
// of them if it has just started, since until it knows how many instances there
// are its part of each limit is not known either.
func (s *Service) told(known int) int {
	if all := s.members.count(); float64(known) < knownShare*float64(all) {
		return all
	}
	return mostTold
}

// Exchange answers a call of a peer.
func (s *Service) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	now := s.cfg.Clock.Now()
	s.members.take(r.GetSelf(), now)
	s.learn(r.GetMembers(), now)
	table, fleet := s.cfg.Book.Revisions()
	s.compare(r.GetSelf().GetAddress(), r.GetTable(), r.GetFleet())
	resp := &peerpb.ExchangeResponse{
		Self: s.self(), Members: s.members.wire(now, s.told(int(r.GetKnown()))), Table: table, Fleet: fleet,
	}
	if !r.GetWant() {
		return resp, nil
	}
	if raw, rev := s.cfg.Book.Config(); rev > r.GetTable() {
		resp.Config, resp.Table = raw, rev
	}
	items, rev, whole := s.cfg.Book.ServerChanges(r.GetFleet())
	if rev <= r.GetFleet() {
		return s.offer(resp, now), nil
	}
	resp.Fleet, resp.Whole = rev, whole
	for _, it := range items {
		resp.Entries = append(resp.Entries, &peerpb.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed,
			KeepMs: it.TombstoneTTL.Milliseconds(),
		})
	}
	return s.offer(resp, now), nil
}

// offer returns the answer to a call that wants newer state, without that state
// while others are being told.
func (s *Service) offer(resp *peerpb.ExchangeResponse, now tick.Instant) *peerpb.ExchangeResponse {
	size := proto.Size(resp)
	if size <= smallBytes {
		return resp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.tellEnd {
		return &peerpb.ExchangeResponse{Self: resp.GetSelf(), Members: resp.GetMembers(), Busy: true}
	}
	s.tellEnd = now + time.Duration(float64(size)/tellBytes*float64(time.Second))
	return resp
}

// WatchesStore tells whether this instance reads what is published itself: the
// first by name of those of its data centre that hear each other and can read
// it does, and the others are told by it.
func (s *Service) WatchesStore() bool {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range s.loads {
		if name < s.cfg.Self.Instance && l.centre == s.cfg.Self.Centre && !l.cut && !l.leaving && now-l.at <= silentAfter {
			return false
		}
	}
	return true
}
