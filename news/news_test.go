package news

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/tick"
)

// book is a Book of a few values.
type book struct {
	mu      sync.Mutex
	config  string
	table   int64
	entries []Item
	fleet   int64
	cut     bool
}

func (b *book) Revisions() (table, fleet int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table, b.fleet
}

func (b *book) Config() ([]byte, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return []byte(b.config), b.table
}

func (b *book) ServerChanges(since int64) ([]Item, int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Item
	for _, e := range b.entries {
		if e.Revision > since {
			list = append(list, e)
		}
	}
	return list, b.fleet, false
}

func (b *book) ApplyConfig(raw []byte, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.table {
		b.config, b.table = string(raw), revision
	}
}

func (b *book) ApplyServerChanges(items []Item, revision int64, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries, b.fleet = append(b.entries, items...), revision
}

func (b *book) Unreachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// shared is the Loads and Charges of one instance.
type shared struct {
	mu    sync.Mutex
	own   map[uint64]admit.Load
	peers map[uint64]admit.Load
	used  map[string]int64
	heard map[string]map[string]int64
	known int
	due   map[string]map[string]int64 // by peer
}

func (s *shared) SetPeerCount(others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = others
}

func (s *shared) RetryTokens() map[string]int64 { return map[string]int64{"sur": 5} }

func (s *shared) SetPeerRetryTokens(peer string, due map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due == nil {
		s.due = make(map[string]map[string]int64)
	}
	s.due[peer] = due
}

func (s *shared) OwnLoad() map[uint64]admit.Load { return s.own }

func (s *shared) UpdatePeerLoad(changed map[uint64]admit.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = make(map[uint64]admit.Load)
	}
	maps.Copy(s.peers, changed)
}

func (s *shared) Used() map[string]int64 { return s.used }

func (s *shared) SetPeerUsage(peer string, used map[string]int64, _ tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[peer] = used
}

func (s *shared) RemovePeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heard, peer)
}

func (s *shared) of(hash uint64) admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[hash]
}

// node is one instance on the loopback.
type node struct {
	*Service
	book   *book
	shared *shared
	health *health.Tracker
	stop   func()
}

func listen(t *testing.T) (net.Listener, net.PacketConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, pc
}

// start runs an instance of data centre a that knows the first one.
func start(t *testing.T, name string, seeds ...string) *node {
	t.Helper()
	return startIn(t, "a", name, seeds...)
}

// startIn runs an instance of a data centre.
func startIn(t *testing.T, centre, name string, seeds ...string) *node {
	t.Helper()
	l, pc := listen(t)
	n := &node{book: &book{}, health: health.NewTracker(), shared: &shared{
		own: map[uint64]admit.Load{7: {PrefillTokens: 100, KVTokens: 200, Running: 1}}, heard: make(map[string]map[string]int64),
		used: map[string]int64{"sur": 10},
	}}
	n.Service = New(Config{
		Self: Member{
			Instance: name, Incarnation: 1, Address: l.Addr().String(), Datagrams: pc.LocalAddr().String(),
			Centre: centre, Region: "r",
		},
		Seeds: seeds, Store: n.book, Loads: n.shared, Usage: n.shared, Health: n.health, Clock: tick.NewReal(), Log: zerolog.Nop(),
	})
	srv := peer.NewServer(peer.Handlers{News: n.Service}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	srv.Serve(ctx, l)
	run, send, receive := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go n.Run(ctx, run)
	go n.SendLoad(ctx, pc, send)
	go n.ReceiveLoads(pc, receive)
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = pc.Close()
		short, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer done()
		_ = srv.Shutdown(short)
		<-run
		<-send
		<-receive
	})
	t.Cleanup(n.stop)
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// TestNewcomerIsToldAll joins a fleet of more instances than a message usually
// tells: it needs to know how many there are before it hears them.
func TestNewcomerIsToldAll(t *testing.T) {
	is := is.New(t)
	const many = 5 * maxMembersSent
	s := New(Config{Self: Member{Instance: "a", Address: "127.0.0.1:1"}, Store: &book{}, Usage: &shared{}, Clock: tick.NewFake(0)})
	for i := range many {
		s.members.update(&peerpb.Member{Instance: fmt.Sprint("m", i), Incarnation: 1, Address: fmt.Sprint("127.0.0.1:", i+2)}, 0)
	}
	for _, tt := range []struct{ known, told int }{{0, many + 1}, {maxMembersSent, many + 1}, {many, maxMembersSent}} {
		resp, err := s.Exchange(t.Context(), &peerpb.ExchangeRequest{
			Self: &peerpb.Member{Instance: "new", Incarnation: 1, Address: "127.0.0.1:1000"}, Known: int32(tt.known),
		})
		is.NoErr(err)
		is.Equal(len(resp.GetMembers()), tt.told)
	}
}

func TestInstancesFindEachOther(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("b", i), a.cfg.Self.Address))
	}
	all := append([]*node{a}, nodes...)
	for _, n := range all {
		eventually(t, "all members are known", func() bool { return len(n.Members()) == 3 })
		eventually(t, "loads are added up", func() bool { return n.shared.of(7).KVTokens == 600 })
	}
	is.True(a.WatchesStore()) // the first by name reads for all
	for _, n := range nodes {
		eventually(t, "the others rely on it", func() bool { return !n.WatchesStore() })
	}
	a.stop()
	eventually(t, "the next one takes over", nodes[0].WatchesStore)
	eventually(t, "its load no longer counts", func() bool { return nodes[0].shared.of(7).KVTokens == 400 })
}

func TestNewsGoRound(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "they know each other", func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	a.book.ApplyConfig([]byte("config"), 7)
	a.book.ApplyServerChanges([]Item{{Key: "k", Value: []byte("v"), Revision: 9}}, 9, false)
	began := time.Now()
	eventually(t, "the other one has it", func() bool {
		table, fleet := b.book.Revisions()
		return table == 7 && fleet == 9
	})
	is.True(time.Since(began) < 2*time.Second) // far below what a change may take
	// And the other way round, where the called one is behind.
	b.book.ApplyConfig([]byte("newer"), 11)
	eventually(t, "the first one has it", func() bool {
		raw, rev := a.book.Config()
		return rev == 11 && string(raw) == "newer"
	})
}

func TestCutInstanceDoesNotRead(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "the second relies on the first", func() bool { return !b.WatchesStore() })
	a.book.mu.Lock()
	a.book.cut = true
	a.book.mu.Unlock()
	eventually(t, "the second reads itself", b.WatchesStore)
}

// TestOneOfADataCentrePassesOn has instances of two data centres hear each
// other's load, and counts what crosses between them.
func TestOneOfADataCentrePassesOn(t *testing.T) {
	is := is.New(t)
	a := startIn(t, "a", "a1")
	var others []*node
	for _, name := range []string{"b1", "b2", "b3", "b4"} {
		others = append(others, startIn(t, "b", name, a.cfg.Self.Address))
	}
	eventually(t, "all hear the first one, and it hears all", func() bool {
		for _, o := range others {
			if !o.hears("a1") || !a.hears(o.cfg.Self.Instance) {
				return false
			}
		}
		return true
	})
	// One datagram to the data centre for each state, however many are there.
	pc := &counter{}
	d := &sender{s: a.Service, pc: pc}
	for range 20 {
		is.NoErr(d.broadcast(&peerpb.Load{Instance: "a1"}, a.Members(), true))
		d.serial++
	}
	is.Equal(pc.sent, 20)
	is.Equal(len(pc.to), 4) // they take turns
	others[0].stop()
	eventually(t, "one that has ended is passed over", func() bool {
		pc.to = make(map[string]bool)
		for range 4 {
			is.NoErr(d.broadcast(&peerpb.Load{Instance: "a1"}, a.Members(), true))
			d.serial++
		}
		return !pc.to[others[0].cfg.Self.Datagrams]
	})
}

// hears reports whether the load of a peer is known.
func (n *node) hears(peer string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.loads[peer]
	return ok
}

// counter counts datagrams in place of sending them.
type counter struct {
	net.PacketConn
	sent int
	to   map[string]bool
}

func (c *counter) WriteTo(_ []byte, to net.Addr) (int, error) {
	if c.to == nil {
		c.to = make(map[string]bool)
	}
	c.sent++
	c.to[to.String()] = true
	return 0, nil
}

// TestDoubtsGoRound has two of three instances find servers gone.
func TestDoubtsGoRound(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	c := start(t, "c", a.cfg.Self.Address)
	eventually(t, "they know each other", func() bool { return len(c.Members()) == 2 && len(b.Members()) == 2 })
	usable := func(server string) bool { return c.health.Usable(server, c.cfg.Clock.Now()) }
	a.health.RecordFailure("absent", health.Absent, a.cfg.Clock.Now())
	a.health.RecordFailure("dark", health.ConnectTimeout, a.cfg.Clock.Now())
	eventually(t, "the third one knows of the absent one", func() bool { return !usable("absent") })
	is.True(usable("dark")) // it may be dark to the first one alone
	eventually(t, "the third one knows of the dark one", func() bool {
		a.health.RecordFailure("dark", health.ConnectTimeout, a.cfg.Clock.Now())
		b.health.RecordFailure("dark", health.ConnectTimeout, b.cfg.Clock.Now())
		return !usable("dark")
	})
	is.Equal(len(c.health.Reports(c.cfg.Clock.Now())), 0) // hearsay is not told on
}

// TestLeaversGoRound has one instance be told by a server that it leaves.
func TestLeaversGoRound(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "they know each other", func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	a.health.RecordDraining("s", a.cfg.Clock.Now())
	eventually(t, "the other one knows", func() bool { return b.health.ClosedUntil("s", b.cfg.Clock.Now()) == health.Forever })
	is.Equal(len(b.health.DrainingServers(b.cfg.Clock.Now())), 0) // hearsay is not told on
}

func TestMembers(t *testing.T) {
	const now = time.Minute
	mk := func(incarnation uint64, age int64, addr string) *peerpb.Member {
		return &peerpb.Member{Instance: "i", Incarnation: incarnation, AgeMs: age, Address: addr}
	}
	tests := []struct {
		name string
		said []*peerpb.Member
		want string // address
	}{
		{name: "new", said: []*peerpb.Member{mk(1, 0, "x")}, want: "x"},
		{name: "newer incarnation", said: []*peerpb.Member{mk(1, 0, "x"), mk(2, 5000, "y")}, want: "y"},
		{name: "older incarnation", said: []*peerpb.Member{mk(2, 5000, "x"), mk(1, 0, "y")}, want: "x"},
		{name: "older account", said: []*peerpb.Member{mk(1, 10, "x"), mk(1, 20, "y")}, want: "x"},
		{name: "too old", said: []*peerpb.Member{mk(1, 20_000, "x")}},
		{name: "no address", said: []*peerpb.Member{mk(1, 0, "")}},
		{name: "self", said: []*peerpb.Member{{Instance: "me", Address: "x"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers("me")
			for _, s := range tt.said {
				m.update(s, now)
			}
			got := ""
			if l := m.list(); len(l) > 0 {
				got = l[0].Address
			}
			is.Equal(got, tt.want)
			m.expire(now + time.Minute)
			is.Equal(len(m.list()), 0)
		})
	}
}

func TestDatagramsOfReplacedProcesses(t *testing.T) {
	is := is.New(t)
	s := New(Config{
		Self: Member{Instance: "me"}, Store: &book{}, Clock: tick.NewFake(0),
		Usage: &shared{heard: make(map[string]map[string]int64)}, Health: health.NewTracker(), Log: zerolog.Nop(),
	})
	s.members.update(&peerpb.Member{Instance: "i", Incarnation: 2, Address: "x"}, 0)
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 2, Serial: 5})
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 2, Serial: 4, Cut: true})
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 1, Serial: 9, Cut: true})
	s.receiveLoad(&peerpb.Load{Instance: "nobody", Incarnation: 1, Serial: 9})
	is.Equal(len(s.loads), 1)
	is.True(!s.loads["i"].storeUnreachable) // late and replaced ones are dropped
}

// TestSumsOfOthers plays states of peers that come, change and fall silent, and
// compares what was handed on with the sum over those that are heard.
func TestSumsOfOthers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 2))
	clock := tick.NewFake(time.Second)
	own := &shared{heard: make(map[string]map[string]int64)}
	s := New(Config{
		Self: Member{Instance: "self"}, Store: &book{}, Loads: own, Usage: own, Health: health.NewTracker(), Clock: clock, Log: zerolog.Nop(),
	})
	type state struct {
		at          tick.Instant
		incarnation uint64
		sums        map[uint64]admit.Load
	}
	said := make(map[string]*state)
	for step := range 2000 {
		clock.Advance(time.Duration(rnd.IntN(40)) * time.Millisecond)
		now := clock.Now()
		name := fmt.Sprint("p", rnd.IntN(6))
		if rnd.IntN(10) > 0 {
			st := said[name]
			if st == nil || rnd.IntN(50) == 0 {
				st = &state{incarnation: uint64(step) + 1}
				said[name] = st
			}
			st.at, st.sums = now, make(map[uint64]admit.Load)
			l := &peerpb.Load{Instance: name, Incarnation: st.incarnation, Serial: uint64(step) + 1}
			for h := range uint64(5) {
				if rnd.IntN(2) == 0 {
					sum := admit.Load{KVTokens: rnd.IntN(9), Running: 1}
					st.sums[h] = sum
					l.Placed = append(l.Placed, &peerpb.Placed{Server: h, Memory: int64(sum.KVTokens), Running: 1})
				}
			}
			s.members.update(&peerpb.Member{Instance: name, Incarnation: st.incarnation, Address: "a"}, now)
			s.receiveLoad(l)
		}
		if rnd.IntN(30) == 0 {
			clock.Advance(staleAfter)
		}
		s.publishPeerLoad(clock.Now())
		for h := range uint64(5) {
			var want admit.Load
			for _, o := range said {
				if clock.Now()-o.at <= staleAfter {
					want.Add(o.sums[h])
				}
			}
			if got := own.of(h); got != want {
				t.Fatalf("step %d: server %d: %+v was handed on, the peers say %+v", step, h, got, want)
			}
		}
	}
}

// TestNewerStateIsToldInTurn has many ask one instance for a configuration at
// once: those that it can tell in time get it, the others are told to ask again.
func TestNewerStateIsToldInTurn(t *testing.T) {
	const askers = 20
	tests := []struct {
		name  string
		bytes int
		most  int // that are told at once
	}{
		{name: "small", bytes: 1_000, most: askers},
		{name: "large", bytes: 200_000, most: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := tick.NewFake(time.Second)
			s := New(Config{
				Self: Member{Instance: "a", Address: "127.0.0.1:1"}, Usage: &shared{}, Clock: clock,
				Store: &book{config: strings.Repeat("x", tt.bytes), table: 7},
			})
			ask := func() bool {
				resp, err := s.Exchange(t.Context(), &peerpb.ExchangeRequest{Want: true})
				is.NoErr(err)
				is.Equal(resp.GetBusy(), len(resp.GetConfig()) == 0)
				return !resp.GetBusy()
			}
			told := 0
			for range askers {
				if ask() {
					told++
				}
			}
			is.Equal(told, tt.most)
			clock.Advance(300 * time.Millisecond)
			is.True(ask()) // it is told later
		})
	}
}

// TestBusyPeerIsAskedAgain has several instances of a data centre learn a large
// configuration from one.
func TestBusyPeerIsAskedAgain(t *testing.T) {
	a := start(t, "a")
	others := []*node{start(t, "b", a.cfg.Self.Address), start(t, "c", a.cfg.Self.Address), start(t, "d", a.cfg.Self.Address)}
	eventually(t, "they know each other", func() bool { return len(a.Members()) == 3 })
	a.book.ApplyConfig([]byte(strings.Repeat("x", 150_000)), 5)
	for _, n := range others {
		eventually(t, "it is known everywhere", func() bool {
			table, _ := n.book.Revisions()
			return table == 5
		})
	}
}
