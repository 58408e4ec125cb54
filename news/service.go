package news

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
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
	// exchangeLimit bounds a call.
	exchangeLimit = 800 * time.Millisecond
)

// Item is one published key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Book holds what is published.
type Book interface {
	// Revisions returns the revisions of the configuration and of the list of
	// backend servers in force.
	Revisions() (table, fleet int64)
	// Config returns the published form of the configuration in force.
	Config() ([]byte, int64)
	// Entries returns the published entries of the backend servers.
	Entries() ([]Item, int64)
	// Take puts a configuration in force if it is newer.
	Take(raw []byte, revision int64)
	// TakeEntries takes over the entries of a peer if they are newer.
	TakeEntries(items []Item, revision int64)
	// Cut tells whether the store cannot be read.
	Cut() bool
}

// Loads is the load that instances place on backend servers.
type Loads interface {
	Own() map[uint64]admit.Sum
	Peers(sums map[uint64]admit.Sum)
}

// Charges is what customers use.
type Charges interface {
	Used() map[string]int64
	Heard(peer string, used map[string]int64, now tick.Instant)
	Gone(peer string)
}

// Config configures a Service.
type Config struct {
	Self    Member
	Seeds   []string // addresses for calls, host:port
	Book    Book
	Loads   Loads
	Charges Charges
	Clock   tick.Service
	Log     zerolog.Logger
}

// Service keeps in touch with the other instances.
type Service struct {
	cfg     Config
	members *members
	pool    *peer.Pool
	leaving atomic.Bool
	behind  atomic.Bool // a peer has something newer in force

	mu    sync.Mutex
	loads map[string]*heardLoad // by instance
}

var _ peerpbconnect.NewsServiceHandler = (*Service)(nil)

// New returns a Service.
func New(cfg Config) *Service {
	return &Service{
		cfg:     cfg,
		members: newMembers(cfg.Self.Instance),
		// Peers are called by address: that of a seed is known before its name.
		pool:  peer.NewPool(peer.Config{Address: func(i ident.Instance) (string, bool) { return string(i), true }}),
		loads: make(map[string]*heardLoad),
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
		if s.cfg.Book.Cut() || s.behind.Load() || len(s.members.list()) == 0 {
			every = urgentEvery
		}
		// Jitter keeps instances that start together apart.
		if tick.Sleep(ctx, s.cfg.Clock, every/2+rand.N(every)) != nil {
			return
		}
	}
}

// round calls the seeds and one other member.
func (s *Service) round(ctx context.Context) {
	s.members.sweep(s.cfg.Clock.Now())
	var calls sync.WaitGroup
	for _, addr := range s.targets() {
		calls.Go(func() {
			if err := s.exchange(ctx, addr); err != nil && ctx.Err() == nil {
				s.cfg.Log.Debug().Err(err).Str("peer", addr).Msg("news: exchange failed")
			}
		})
	}
	calls.Wait()
}

func (s *Service) targets() []string {
	var out []string
	picked := map[string]bool{s.cfg.Self.Address: true}
	add := func(addr string) {
		if !picked[addr] {
			picked[addr] = true
			out = append(out, addr)
		}
	}
	for _, a := range s.cfg.Seeds {
		add(a)
	}
	if all := s.members.list(); len(all) > 0 {
		add(all[rand.IntN(len(all))].Address)
		if s.cfg.Book.Cut() {
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

// exchange calls one instance and takes in what it says.
func (s *Service) exchange(ctx context.Context, addr string) error {
	c, err := s.pool.News(ident.Instance(addr))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	table, fleet := s.cfg.Book.Revisions()
	cut := s.cfg.Book.Cut()
	resp, err := c.Exchange(ctx, &peerpb.ExchangeRequest{
		Self: s.self(), Members: s.members.wire(s.cfg.Clock.Now()),
		Table: table, Fleet: fleet, Want: cut || s.behind.Load(),
	})
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	now := s.cfg.Clock.Now()
	s.members.take(resp.GetSelf(), now)
	for _, m := range resp.GetMembers() {
		s.members.take(m, now)
	}
	if raw := resp.GetConfig(); len(raw) > 0 {
		s.cfg.Book.Take(raw, resp.GetTable())
	}
	if list := resp.GetEntries(); cut && len(list) > 0 {
		items := make([]Item, 0, len(list))
		for _, e := range list {
			items = append(items, Item{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()})
		}
		s.cfg.Book.TakeEntries(items, resp.GetFleet())
	}
	table, _ = s.cfg.Book.Revisions()
	s.behind.Store(resp.GetTable() > table)
	return nil
}

// Exchange answers a call of a peer.
func (s *Service) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	now := s.cfg.Clock.Now()
	s.members.take(r.GetSelf(), now)
	for _, m := range r.GetMembers() {
		s.members.take(m, now)
	}
	table, fleet := s.cfg.Book.Revisions()
	if r.GetTable() > table {
		s.behind.Store(true)
	}
	resp := &peerpb.ExchangeResponse{
		Self: s.self(), Members: s.members.wire(now), Table: table, Fleet: fleet,
	}
	if !r.GetWant() {
		return resp, nil
	}
	if raw, rev := s.cfg.Book.Config(); rev > r.GetTable() {
		resp.Config, resp.Table = raw, rev
	}
	// An instance that is cut off itself may have older entries than the
	// caller, whose revision tells.
	if items, rev := s.cfg.Book.Entries(); rev > r.GetFleet() {
		resp.Fleet = rev
		for _, it := range items {
			resp.Entries = append(resp.Entries, &peerpb.Item{Key: it.Key, Value: it.Value, Revision: it.Revision})
		}
	}
	return resp, nil
}
