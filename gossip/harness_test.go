package gossip

import (
	"context"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// fakeStore is a ConfigStore in memory.
type fakeStore struct {
	mu          sync.Mutex
	config      string
	table       route.Stamp
	age         time.Duration
	from        string
	entries     []Item
	fleet       int64
	evacuation  Evacuation
	unreachable bool
	clock       tick.Clock // of its instance
}

// set changes the store while its instance uses it.
func (b *fakeStore) set(change func(*fakeStore)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func (b *fakeStore) Era() int64 { return 0 }

func (b *fakeStore) Evacuation() Evacuation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evacuation
}

func (b *fakeStore) ApplyEvacuation(e Evacuation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Position > b.evacuation.Position {
		b.evacuation = e
	}
}

func (b *fakeStore) Revisions() (table route.Stamp, fleet int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table, b.fleet
}

func (b *fakeStore) Config() Published {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Published{Raw: []byte(b.config), Stamp: b.table, Age: b.age}
}

func (b *fakeStore) ServerChanges(since int64) ([]Item, int64, bool) {
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

func (b *fakeStore) ApplyConfig(p Published) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Stamp.Position > b.table.Position {
		b.config, b.table, b.age, b.from = string(p.Raw), p.Stamp, p.Age, p.From
	}
}

// publish applies a configuration that was published at a position.
func (b *fakeStore) publish(raw string, position int64) {
	b.ApplyConfig(Published{Raw: []byte(raw), Stamp: route.Stamp{Position: position}})
}

func (b *fakeStore) ApplyServerChanges(items []Item, revision int64, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries, b.fleet = append(b.entries, items...), revision
}

func (b *fakeStore) Unreachable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreachable
}

// LastRead reports a store that answers all the time.
func (b *fakeStore) LastRead() tick.Instant {
	if b.clock == nil || b.Unreachable() {
		return 0
	}
	return b.clock.Now()
}

// fakeTracker is the LoadTracker and UsageTracker of one instance.
type fakeTracker struct {
	mu          sync.Mutex
	own         map[uint64]admit.Load
	peers       map[uint64]admit.Load
	used        map[string]int64
	usage       map[string]map[string]int64
	peerCount   int
	retryTokens map[string]map[string]int64 // by peer, then by customer
}

func (s *fakeTracker) SetPeerCount(others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerCount = others
}

func (s *fakeTracker) RetryTokens() map[string]int64 { return map[string]int64{"sur": 5} }

func (s *fakeTracker) SetPeerRetryTokens(peer string, due map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryTokens == nil {
		s.retryTokens = make(map[string]map[string]int64)
	}
	s.retryTokens[peer] = due
}

func (s *fakeTracker) OwnLoad() map[uint64]admit.Load { return s.own }

func (s *fakeTracker) UpdatePeerLoad(changed map[uint64]admit.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = make(map[uint64]admit.Load)
	}
	maps.Copy(s.peers, changed)
}

func (s *fakeTracker) Used() map[string]int64 { return s.used }

func (s *fakeTracker) SetPeerUsage(peer string, used map[string]int64, _ tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage[peer] = used
}

func (s *fakeTracker) RemovePeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.usage, peer)
}

func (s *fakeTracker) of(hash uint64) admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[hash]
}

// testInstance is one instance with listeners on the loopback interface.
type testInstance struct {
	*Service
	store   *fakeStore
	tracker *fakeTracker
	health  *health.Tracker
	stop    func()
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

// start runs an instance in data centre a with the given seeds.
func start(t *testing.T, name string, seeds ...string) *testInstance {
	t.Helper()
	return startIn(t, "a", name, seeds...)
}

// startIn runs an instance in a data centre with the given seeds.
func startIn(t *testing.T, centre, name string, seeds ...string) *testInstance {
	t.Helper()
	l, pc := listen(t)
	return startOn(t, l, pc, centre, name, seeds...)
}

// startOn runs an instance on a listener for calls and a connection for datagrams.
func startOn(t *testing.T, l net.Listener, pc net.PacketConn, centre, name string, seeds ...string) *testInstance {
	t.Helper()
	clock := tick.NewReal()
	n := &testInstance{store: &fakeStore{clock: clock}, health: health.NewTracker(), tracker: &fakeTracker{
		own: map[uint64]admit.Load{7: {PrefillTokens: 100, KVTokens: 200, Running: 1}}, usage: make(map[string]map[string]int64),
		used: map[string]int64{"sur": 10},
	}}
	n.Service = New(Config{
		Self: Member{
			Instance: name, Incarnation: 1, Address: l.Addr().String(), Datagrams: pc.LocalAddr().String(),
			Centre: centre, Region: "r",
		},
		Seeds: seeds, Store: n.store, Loads: n.tracker, Usage: n.tracker, Health: n.health, Clock: clock, Log: zerolog.Nop(),
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
			t.Fatal("condition not met in time: " + what)
		}
	}
}

// hasLoadOf reports whether the load of a peer is known.
func (n *testInstance) hasLoadOf(peer string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.loads[peer]
	return ok
}

// countingConn counts datagrams instead of sending them.
type countingConn struct {
	net.PacketConn
	sent int
	to   map[string]bool
}

func (c *countingConn) WriteTo(_ []byte, to net.Addr) (int, error) {
	if c.to == nil {
		c.to = make(map[string]bool)
	}
	c.sent++
	c.to[to.String()] = true
	return 0, nil
}
