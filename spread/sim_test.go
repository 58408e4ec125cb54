package spread

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

// simStep is the time that each hop takes in a simulated fleet.
const simStep = 100 * time.Millisecond

var errCut = errors.New("cut")

// simFleet drives the parts of many Fleets by hand on one fake clock.
type simFleet struct {
	t      testing.TB
	clock  *tick.Fake
	random *rand.Rand
	nodes  []*simNode
	byName map[ident.Instance]*simNode
	cut    map[[2]ident.Centre]bool
	plat   simPlatform
	born   uint64
}

type simNode struct {
	sim    *simFleet
	f      *Fleet
	r      *roster.Roster
	name   ident.Instance
	centre ident.Centre
	dead   bool
	paused bool
	cutOff bool // from the platform
	stale  int  // versions by which the node's replica of the platform lags
	round  tick.Instant
	looks  []tick.Instant
	waits  []bool // a watch is waiting
	// watching is set by a watch that found no change.
	watching bool
	joined   tick.Instant
	floor    Version // the highest version that was seen in force in this process
}

type simPlatform struct {
	values map[string][][]byte
	down   bool
	budget int
	second time.Duration
	spent  int
	peak   int
	busy   int
	calls  int
}

func newSim(t testing.TB, seed uint64, size, centres int) *simFleet {
	s := &simFleet{
		t: t, clock: tick.NewFake(time.Hour), random: rand.New(rand.NewPCG(seed, 1)),
		byName: make(map[ident.Instance]*simNode), cut: make(map[[2]ident.Centre]bool),
		plat: simPlatform{values: make(map[string][][]byte), budget: 2000},
	}
	for i := range size {
		n := &simNode{sim: s, centre: ident.Centre(fmt.Sprintf("c%d", i%centres))}
		n.name = ident.Instance(fmt.Sprintf("%s-%d", n.centre, i/centres))
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	var list bytes.Buffer
	for i, n := range s.nodes {
		fmt.Fprintf(&list, `%c{"instance":"%s","address":"%s","centre":"%s","state":"live"}`, "[,"[min(i, 1)], n.name, n.address(), n.centre)
	}
	list.WriteString("]")
	s.put(plat.InstancesName, list.Bytes())
	s.put(plat.ServersName, []byte("[]"))
	return s
}

func (n *simNode) address() string { return "10.0.0.1:" + string(n.name) }

// start puts a fresh process in the seat.
func (n *simNode) start() {
	s := n.sim
	s.born++
	self := ident.Node{Instance: n.name, Incarnation: s.random.Uint64()}
	n.r = roster.New(roster.Config{Self: self, Address: n.address(), Centre: n.centre, Random: rand.New(rand.NewPCG(s.born, 2))})
	n.f = New(Config{
		Self: self, Centre: n.centre, Roster: n.r, Platform: n, Dialer: n, Timer: s.clock,
		Random: rand.New(rand.NewPCG(s.born, 3)), Log: zerolog.Nop(),
	})
	n.dead, n.paused = false, false
	n.floor, n.joined = Version{}, 0
	n.round = s.clock.Now() + time.Duration(s.random.Int64N(int64(time.Second)))
	n.looks = make([]tick.Instant, len(n.f.values))
	n.waits = make([]bool, len(n.f.values))
	notify(n.f.pushes)
}

func (s *simFleet) startAll() {
	for _, n := range s.nodes {
		n.start()
	}
}

func (s *simFleet) put(name string, data []byte) {
	s.plat.values[name] = append(s.plat.values[name], data)
	for _, n := range s.nodes {
		for i := range n.looks {
			if n.waits[i] {
				n.looks[i] = s.clock.Now()
			}
		}
	}
}

func (s *simFleet) publish(t *table.Table) Version {
	head, parts := t.Split()
	for i, p := range head.Parts {
		if len(s.plat.values[p.Name()]) == 0 {
			s.put(p.Name(), parts[i])
		}
	}
	s.put(table.HeadName, head.Encode())
	v, _ := versionFromWire(head.Revision, sumOf(head))
	return v
}

func sumOf(h table.Head) []byte {
	sum := table.PartSum(h.Encode())
	return sum[:]
}

// run advances the fleet until d has passed or stop says so, and returns the
// time that passed.
func (s *simFleet) run(d time.Duration, stop func() bool) time.Duration {
	start := s.clock.Now()
	for s.clock.Now()-start < d && (stop == nil || !stop()) {
		s.clock.Advance(simStep)
		s.random.Shuffle(len(s.nodes), func(i, j int) { s.nodes[i], s.nodes[j] = s.nodes[j], s.nodes[i] })
		for _, n := range s.nodes {
			if !n.dead && !n.paused {
				n.step()
			}
		}
	}
	return s.clock.Now() - start
}

func (n *simNode) step() {
	ctx, now := context.Background(), n.sim.clock.Now()
	if now >= n.round {
		n.round = now + roundPeriod
		n.exchange(ctx, n.f.targets())
	}
	select {
	case <-n.f.pushes:
		n.exchange(ctx, n.r.Spread(pushNear, pushFar))
	case <-n.f.wanted:
		n.f.pull(ctx)
	default:
	}
	for i, w := range n.f.values {
		if now < n.looks[i] {
			continue
		}
		n.waits[i] = false
		wait := n.f.look(ctx, w)
		if n.waits[i] = n.watching && wait == 0; n.waits[i] {
			wait = watchWait
		}
		n.watching = false
		n.looks[i] = now + wait
	}
	n.check()
}

func (n *simNode) exchange(ctx context.Context, targets []ident.Instance) {
	for _, name := range targets {
		if n.f.claim(name) {
			n.f.exchange(ctx, name)
		}
	}
}

// check holds the invariants of one process.
func (n *simNode) check() {
	v, t, _ := n.f.ledger.current()
	if n.floor.After(v) {
		n.sim.t.Fatalf("%s went from %v back to %v", n.name, n.floor, v)
	}
	n.floor = v
	if cur := n.f.Current(); (cur == nil) != (t == nil) || cur != nil && cur.Revision() != v.Revision {
		n.sim.t.Fatalf("%s serves another table than its version %v", n.name, v)
	}
	if n.f.isJoined() && n.joined == 0 {
		n.joined = n.sim.clock.Now()
		n.r.SetState(roster.Ready)
	}
}

// Read and Watch make a simNode its own view of the platform.
func (n *simNode) Read(_ context.Context, name string) (plat.Value, error) {
	p := &n.sim.plat
	if second := n.sim.clock.Now().Truncate(time.Second); second != p.second {
		p.second, p.spent = second, 0
	}
	p.spent++
	p.calls++
	p.peak = max(p.peak, p.spent)
	switch {
	case p.down || n.cutOff:
		return plat.Value{}, errCut
	case p.spent > p.budget:
		p.busy++
		return plat.Value{}, plat.ErrBusy
	}
	versions := p.values[name]
	i := len(versions)
	if name == table.HeadName {
		i = max(i-n.stale, min(i, 1))
	}
	if i == 0 {
		return plat.Value{}, plat.ErrMissing
	}
	return plat.Value{Data: versions[i-1], Revision: uint64(i)}, nil
}

func (n *simNode) Watch(ctx context.Context, name string, after uint64, _ time.Duration) (plat.Value, error) {
	v, err := n.Read(ctx, name)
	if err != nil || v.Revision > after {
		return v, err
	}
	n.watching = true
	return plat.Value{}, plat.ErrUnchanged
}

// Fleet makes a simNode the dialer of its own Fleet.
func (n *simNode) Fleet(name ident.Instance) (peerpbconnect.FleetServiceClient, error) {
	return simClient{from: n, to: n.sim.byName[name]}, nil
}

type simClient struct{ from, to *simNode }

func (c simClient) open() error {
	s := c.from.sim
	if c.to == nil || c.to.dead || c.to.paused || s.cut[[2]ident.Centre{c.from.centre, c.to.centre}] || s.cut[[2]ident.Centre{c.to.centre, c.from.centre}] {
		return errCut
	}
	return nil
}

func (c simClient) Digest(ctx context.Context, req *peerpb.DigestRequest) (*peerpb.DigestResponse, error) {
	if err := c.open(); err != nil {
		return nil, err
	}
	return c.to.f.Digest(ctx, req)
}

func (c simClient) Values(ctx context.Context, req *peerpb.ValuesRequest) (*peerpb.ValuesResponse, error) {
	if err := c.open(); err != nil {
		return nil, err
	}
	return c.to.f.Values(ctx, req)
}

func (c simClient) Status(ctx context.Context, req *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	if err := c.open(); err != nil {
		return nil, err
	}
	return c.to.f.Status(ctx, req)
}

// all reports whether every live process has v in force.
func (s *simFleet) all(v Version) func() bool {
	return func() bool {
		for _, n := range s.nodes {
			if !n.dead && n.floor != v {
				return false
			}
		}
		return true
	}
}

func (s *simFleet) allJoined() bool {
	for _, n := range s.nodes {
		if n.joined == 0 {
			return false
		}
	}
	return true
}
