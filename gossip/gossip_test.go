package gossip

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// TestNewInstanceReceivesAllMembers guards against a new instance receiving only part of a large
// member list. A new instance needs the number of instances before it receives their datagrams.
func TestNewInstanceReceivesAllMembers(t *testing.T) {
	is := is.New(t)
	const many = 5 * maxMembersSent
	s := New(Config{Self: Member{Instance: "a", Address: "127.0.0.1:1"}, Store: &fakeStore{}, Usage: &fakeTracker{}, Clock: tick.NewFake(0)})
	for i := range many {
		s.members.update(&peerpb.Member{Instance: fmt.Sprint("m", i), Incarnation: 1, Address: fmt.Sprint("127.0.0.1:", i+2)}, 0)
	}
	for _, tt := range []struct{ known, want int }{{0, many + 1}, {maxMembersSent, many + 1}, {many, maxMembersSent}} {
		resp, err := s.Exchange(t.Context(), &peerpb.ExchangeRequest{
			Self: &peerpb.Member{Instance: "new", Incarnation: 1, Address: "127.0.0.1:1000"}, Known: int32(tt.known),
		})
		is.NoErr(err)
		is.Equal(len(resp.GetMembers()), tt.want)
	}
}

// TestInstancesDiscoverEachOther starts instances that know only one seed, and then stops the one
// that watches the store.
func TestInstancesDiscoverEachOther(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	var nodes []*testInstance
	for i := range 3 {
		nodes = append(nodes, start(t, fmt.Sprint("b", i), a.cfg.Self.Address))
	}
	all := append([]*testInstance{a}, nodes...)
	for _, n := range all {
		eventually(t, "each instance knows all members", func() bool { return len(n.Members()) == 3 })
		eventually(t, "the loads of all peers are summed", func() bool { return n.tracker.of(7).KVTokens == 600 })
	}
	is.True(a.WatchesStore()) // the first by name watches the store for all
	for _, n := range nodes {
		eventually(t, "the others do not watch the store", func() bool { return !n.WatchesStore() })
	}
	a.stop()
	eventually(t, "the next instance by name watches the store", nodes[0].WatchesStore)
	eventually(t, "the load of the stopped instance is removed", func() bool { return nodes[0].tracker.of(7).KVTokens == 400 })
}

// TestConfigurationPropagates checks that newer state reaches the other instance, whichever side
// makes the call.
func TestConfigurationPropagates(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "the instances know each other", func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	a.store.publish("config", 7)
	a.store.ApplyServerChanges([]Item{{Key: "k", Value: []byte("v"), Revision: 9}}, 9, false)
	began := time.Now()
	eventually(t, "the other instance has the new state", func() bool {
		table, fleet := b.store.Revisions()
		return table.Position == 7 && fleet == 9
	})
	is.True(time.Since(began) < 2*time.Second) // far less than the time within which a change must be in force
	// In the other direction, the seed is the one with the older state.
	b.store.publish("newer", 11)
	eventually(t, "the seed has the newer configuration", func() bool {
		c := a.store.Config()
		return c.Stamp.Position == 11 && string(c.Raw) == "newer"
	})
}

// TestInstanceWithoutStoreDoesNotWatch guards against instances relying on one that cannot read the
// store.
func TestInstanceWithoutStoreDoesNotWatch(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "the second instance relies on the first", func() bool { return !b.WatchesStore() })
	a.store.set(func(s *fakeStore) { s.unreachable = true })
	eventually(t, "the second instance watches the store itself", b.WatchesStore)
}

// TestOneInstancePerDataCentreForwards guards against traffic between data centres that grows with
// the square of the number of instances. A state is sent once to each data centre, where the
// receiving instance forwards it.
func TestOneInstancePerDataCentreForwards(t *testing.T) {
	is := is.New(t)
	a := startIn(t, "a", "a1")
	var others []*testInstance
	for _, name := range []string{"b1", "b2", "b3", "b4"} {
		others = append(others, startIn(t, "b", name, a.cfg.Self.Address))
	}
	eventually(t, "all have the load of the first instance, and it has theirs", func() bool {
		for _, o := range others {
			if !o.hasLoadOf("a1") || !a.hasLoadOf(o.cfg.Self.Instance) {
				return false
			}
		}
		return true
	})
	// Each state is sent in one datagram to the data centre, however many instances it has.
	pc := &countingConn{}
	d := &sender{s: a.Service, pc: pc}
	for range 20 {
		is.NoErr(d.broadcast(&peerpb.Load{Instance: "a1"}, a.Members(), true))
		d.serial++
	}
	is.Equal(pc.sent, 20)
	is.Equal(len(pc.to), 4) // the forwarder rotates
	others[0].stop()
	eventually(t, "the stopped instance is no longer chosen", func() bool {
		pc.to = make(map[string]bool)
		for range 4 {
			is.NoErr(d.broadcast(&peerpb.Load{Instance: "a1"}, a.Members(), true))
			d.serial++
		}
		return !pc.to[others[0].cfg.Self.Datagrams]
	})
}

// TestHealthReportsPropagate guards against ejecting a server on the report of a single instance
// that cannot reach it. A report that a server is absent counts from one instance; a report that it
// does not respond counts only from two.
func TestHealthReportsPropagate(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	c := start(t, "c", a.cfg.Self.Address)
	eventually(t, "the instances know each other", func() bool { return len(c.Members()) == 2 && len(b.Members()) == 2 })
	usable := func(server string) bool { return c.health.Usable(server, c.cfg.Clock.Now()) }
	a.health.RecordFailure("absent", health.Absent, a.cfg.Clock.Now())
	a.health.RecordFailure("dark", health.ConnectTimeout, a.cfg.Clock.Now())
	eventually(t, "the third instance ejects the absent server", func() bool { return !usable("absent") })
	is.True(usable("dark")) // it may be unreachable only from the first instance
	eventually(t, "the third instance ejects the unreachable server", func() bool {
		a.health.RecordFailure("dark", health.ConnectTimeout, a.cfg.Clock.Now())
		b.health.RecordFailure("dark", health.ConnectTimeout, b.cfg.Clock.Now())
		return !usable("dark")
	})
	is.Equal(len(c.health.Reports(c.cfg.Clock.Now())), 0) // reports of peers are not repeated
}

// TestDrainingServersPropagate checks that a server's announcement to one instance that it is
// draining reaches the other.
func TestDrainingServersPropagate(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	b := start(t, "b", a.cfg.Self.Address)
	eventually(t, "the instances know each other", func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	a.health.RecordDraining("s", a.cfg.Clock.Now())
	eventually(t, "the other instance records the server as draining", func() bool { return b.health.ClosedUntil("s", b.cfg.Clock.Now()) == health.Forever })
	is.Equal(len(b.health.DrainingServers(b.cfg.Clock.Now())), 0) // reports of peers are not repeated
}

func TestMembersUpdate(t *testing.T) {
	const now = time.Minute
	mk := func(incarnation uint64, age int64, addr string) *peerpb.Member {
		return &peerpb.Member{Instance: "i", Incarnation: incarnation, AgeMs: age, Address: addr}
	}
	tests := []struct {
		name    string
		reports []*peerpb.Member
		want    string // address
	}{
		{name: "new", reports: []*peerpb.Member{mk(1, 0, "x")}, want: "x"},
		{name: "newer incarnation", reports: []*peerpb.Member{mk(1, 0, "x"), mk(2, 5000, "y")}, want: "y"},
		{name: "older incarnation", reports: []*peerpb.Member{mk(2, 5000, "x"), mk(1, 0, "y")}, want: "x"},
		{name: "older report", reports: []*peerpb.Member{mk(1, 10, "x"), mk(1, 20, "y")}, want: "x"},
		{name: "too old", reports: []*peerpb.Member{mk(1, 20_000, "x")}},
		{name: "no address", reports: []*peerpb.Member{mk(1, 0, "")}},
		{name: "self", reports: []*peerpb.Member{{Instance: "me", Address: "x"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers("me")
			for _, s := range tt.reports {
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

// TestStaleDatagramsAreDropped receives datagrams that arrive out of order, or come from a replaced
// process or an unknown instance.
func TestStaleDatagramsAreDropped(t *testing.T) {
	is := is.New(t)
	s := New(Config{
		Self: Member{Instance: "me"}, Store: &fakeStore{}, Clock: tick.NewFake(0),
		Usage: &fakeTracker{usage: make(map[string]map[string]int64)}, Health: health.NewTracker(), Log: zerolog.Nop(),
	})
	s.members.update(&peerpb.Member{Instance: "i", Incarnation: 2, Address: "x"}, 0)
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 2, Serial: 5})
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 2, Serial: 4, Cut: true})
	s.receiveLoad(&peerpb.Load{Instance: "i", Incarnation: 1, Serial: 9, Cut: true})
	s.receiveLoad(&peerpb.Load{Instance: "nobody", Incarnation: 1, Serial: 9})
	is.Equal(len(s.loads), 1)
	is.True(!s.loads["i"].storeUnreachable) // the late datagram and that of the replaced process are dropped
}

// TestPeerLoadTotals guards against totals that drift from the states of the peers. Peers send
// random states, restart and stop sending; after each step the published totals must equal the sum
// over the peers whose state is not stale.
func TestPeerLoadTotals(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 2))
	clock := tick.NewFake(time.Second)
	own := &fakeTracker{usage: make(map[string]map[string]int64)}
	s := New(Config{
		Self: Member{Instance: "self"}, Store: &fakeStore{}, Loads: own, Usage: own, Health: health.NewTracker(), Clock: clock, Log: zerolog.Nop(),
	})
	type state struct {
		at          tick.Instant
		incarnation uint64
		sums        map[uint64]admit.Load
	}
	states := make(map[string]*state)
	for step := range 2000 {
		clock.Advance(time.Duration(rnd.IntN(40)) * time.Millisecond)
		now := clock.Now()
		name := fmt.Sprint("p", rnd.IntN(6))
		if rnd.IntN(10) > 0 {
			st := states[name]
			if st == nil || rnd.IntN(50) == 0 {
				st = &state{incarnation: uint64(step) + 1}
				states[name] = st
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
			for _, o := range states {
				if clock.Now()-o.at <= staleAfter {
					want.Add(o.sums[h])
				}
			}
			if got := own.of(h); got != want {
				t.Fatalf("step %d: server %d: %+v was published, but the states of the peers add up to %+v", step, h, got, want)
			}
		}
	}
}

// TestNewerStateIsRateLimited guards against an instance that sends a large configuration to all
// peers at once, so that none receives it in time. The instance must serve as many peers as its rate
// allows and send the others a busy response.
func TestNewerStateIsRateLimited(t *testing.T) {
	const callers = 20
	tests := []struct {
		name       string
		bytes      int
		wantServed int // callers served at once
	}{
		{name: "small", bytes: 1_000, wantServed: callers},
		{name: "large", bytes: 200_000, wantServed: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := tick.NewFake(time.Second)
			s := New(Config{
				Self: Member{Instance: "a", Address: "127.0.0.1:1"}, Usage: &fakeTracker{}, Clock: clock,
				Store: &fakeStore{config: strings.Repeat("x", tt.bytes), table: route.Stamp{Position: 7}},
			})
			request := func() bool {
				resp, err := s.Exchange(t.Context(), &peerpb.ExchangeRequest{Want: true})
				is.NoErr(err)
				is.Equal(resp.GetBusy(), len(resp.GetConfig()) == 0)
				return !resp.GetBusy()
			}
			served := 0
			for range callers {
				if request() {
					served++
				}
			}
			is.Equal(served, tt.wantServed)
			clock.Advance(300 * time.Millisecond)
			is.True(request()) // the state is sent once the rate allows it
		})
	}
}

// TestBusyPeerIsRetried checks that instances try again after a busy response. Several instances of
// a data centre request a large configuration from one.
func TestBusyPeerIsRetried(t *testing.T) {
	a := start(t, "a")
	others := []*testInstance{start(t, "b", a.cfg.Self.Address), start(t, "c", a.cfg.Self.Address), start(t, "d", a.cfg.Self.Address)}
	eventually(t, "the instances know each other", func() bool { return len(a.Members()) == 3 })
	a.store.publish(strings.Repeat("x", 150_000), 5)
	for _, n := range others {
		eventually(t, "each instance has the configuration", func() bool {
			table, _ := n.store.Revisions()
			return table.Position == 5
		})
	}
}

// TestPublishPeerLoadDuringReceive guards against a data race between the period that publishes the
// load of peers and the receiver of datagrams.
func TestPublishPeerLoadDuringReceive(t *testing.T) {
	h := newHomeHarness()
	h.members.update(&peerpb.Member{Instance: "a2", Incarnation: 1, Address: "127.0.0.1:2", Centre: "a", Region: "r"}, h.clock.Now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range uint64(20_000) {
			h.storeLoad(&peerpb.Load{
				Instance: "a2", Incarnation: 1, Serial: n + 1, Placed: []*peerpb.Placed{{Server: 7, Running: int64(n)}},
			}, "a", h.clock.Now())
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			h.publishPeerLoad(h.clock.Now())
		}
	}
}
