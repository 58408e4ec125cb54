package news

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// loadEvery is the period of datagrams while the state changes.
	loadEvery = 40 * time.Millisecond
	// loadPerPeer lengthens the period with the number of peers, so that what
	// an instance receives stays bounded.
	loadPerPeer = 2 * time.Millisecond
	// loadQuiet is the period while nothing changes and to other regions.
	loadQuiet = 200 * time.Millisecond
	// staleAfter is how long the state of a silent peer counts.
	staleAfter = time.Second
	// datagramBytes bounds a datagram that is read.
	datagramBytes = 60 << 10
)

// heardLoad is the last state of a peer.
type heardLoad struct {
	incarnation uint64
	serial      uint64
	at          tick.Instant
	centre      string
	cut         bool // it cannot read what is published
	leaving     bool
	sums        map[uint64]admit.Load
}

// sender is the state of Send.
type sender struct {
	s      *Service
	pc     net.PacketConn
	first  uint64 // where it begins among the instances of a data centre
	serial uint64
	last   []byte       // the state as it was sent last
	near   tick.Instant // when it was sent last, to the own region
	all    tick.Instant // and to all
}

// SendLoad tells the others this instance's state until ctx ends, and closes done
// then.
func (s *Service) SendLoad(ctx context.Context, pc net.PacketConn, done chan<- struct{}) {
	defer close(done)
	d := &sender{s: s, pc: pc, first: route.Hash(s.cfg.Self.Instance)}
	tick.Repeat(ctx, s.cfg.Clock.Every(loadEvery), func(context.Context) {
		s.tell(d, s.cfg.Clock.Now())
	})
}

// tell takes what the others have sent into account, and sends the own state if
// it is due.
func (s *Service) tell(d *sender, now tick.Instant) {
	s.merge(now)
	if err := d.send(now); err != nil {
		s.cfg.Log.Error().Err(err).Msg("news: encode load")
	}
}

// send tells the state if it is due.
func (d *sender) send(now tick.Instant) error {
	if now-d.near < time.Duration(d.s.members.count())*loadPerPeer {
		return nil
	}
	state := d.s.load()
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return err
	}
	all := now-d.all >= loadQuiet
	if !all && bytes.Equal(plain, d.last) {
		return nil
	}
	d.last, d.near = plain, now
	d.serial++
	state.Serial = d.serial
	if all {
		d.all = now
	}
	return d.spread(state, d.s.members.list(), all)
}

// spread writes the state to each instance of the own data centre, and to one
// of each other that passes it on there: what crosses between data centres then
// grows with the instances and not with their square. The one changes from
// time to time, so that one that is gone costs a datagram only. Other regions
// are written to if all is set.
func (d *sender) spread(state *peerpb.Load, peers []Member, all bool) error {
	direct, err := proto.Marshal(state)
	if err != nil {
		return err
	}
	state.Forward = true
	passed, err := proto.Marshal(state)
	if err != nil {
		return err
	}
	self := d.s.cfg.Self
	away := make(map[string][]Member)
	for i := range peers {
		switch p := peers[i]; {
		case p.Centre == self.Centre:
			d.s.write(d.pc, &p, direct)
		case all || p.Region == self.Region:
			away[p.Centre] = append(away[p.Centre], p)
		}
	}
	now := d.s.cfg.Clock.Now()
	for _, list := range away {
		d.s.write(d.pc, relayOf(list, d.first+d.serial, now), passed)
	}
	return nil
}

// relayOf picks the instance of a data centre that passes a datagram on: in
// turn those that were heard of late, any if none was.
func relayOf(list []Member, turn uint64, now tick.Instant) *Member {
	var fresh []*Member
	for i := range list {
		if now-list[i].heard <= staleAfter {
			fresh = append(fresh, &list[i])
		}
	}
	if len(fresh) == 0 {
		return &list[turn%uint64(len(list))]
	}
	return fresh[turn%uint64(len(fresh))]
}

// pass passes on a datagram of another data centre within the own one.
func (s *Service) pass(pc net.PacketConn, l *peerpb.Load) {
	l.Forward = false
	b, err := proto.Marshal(l)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("news: encode load")
		return
	}
	for _, m := range s.members.list() {
		if m.Centre == s.cfg.Self.Centre && m.Instance != l.GetInstance() {
			s.write(pc, &m, b)
		}
	}
}

// write sends a datagram. One that is lost is made up for by the next.
func (s *Service) write(pc net.PacketConn, m *Member, b []byte) {
	addr, err := net.ResolveUDPAddr("udp", m.Datagrams)
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("peer", m.Instance).Msg("news: address of a peer")
		return
	}
	if _, err := pc.WriteTo(b, addr); err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", m.Instance).Msg("news: send load")
	}
}

func (s *Service) load() *peerpb.Load {
	table, fleet := s.cfg.Book.Revisions()
	l := &peerpb.Load{
		Instance: s.cfg.Self.Instance, Incarnation: s.cfg.Self.Incarnation, Leaving: s.leaving.Load(),
		Table: table, Fleet: fleet, Cut: s.cfg.Book.Unreachable(),
	}
	for h, sum := range s.cfg.Loads.OwnLoad() {
		l.Placed = append(l.Placed, &peerpb.Placed{
			Server: h, Reading: int64(sum.PrefillTokens), Memory: int64(sum.KVTokens), Running: int64(sum.Running), Waiting: int64(sum.Queued),
		})
	}
	due := s.cfg.Charges.RetryTokens()
	for c, n := range s.cfg.Charges.Used() {
		l.Used = append(l.Used, &peerpb.Used{Customer: c, Tokens: n, Due: due[c]})
	}
	for _, d := range s.cfg.Health.Reports(s.cfg.Clock.Now()) {
		if d.Absent {
			l.Absent = append(l.Absent, d.Server)
		} else {
			l.Silent = append(l.Silent, d.Server)
		}
	}
	l.Leavers = s.cfg.Health.DrainingServers(s.cfg.Clock.Now())
	sortLoad(l)
	return l
}

// ReceiveLoads takes in the datagrams of the others until the connection is closed,
// and closes done then.
func (s *Service) ReceiveLoads(pc net.PacketConn, done chan<- struct{}) {
	defer close(done)
	b := make([]byte, datagramBytes)
	for {
		n, from, err := pc.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn().Err(err).Msg("news: receive load")
			continue
		}
		var l peerpb.Load
		if err := proto.Unmarshal(b[:n], &l); err != nil {
			s.cfg.Log.Warn().Err(err).Stringer("peer", from).Msg("news: load cannot be read")
			continue
		}
		if l.GetForward() {
			s.pass(pc, &l)
		}
		s.take(&l)
	}
}

// take takes in the state of a peer, unless a newer one is known.
func (s *Service) take(l *peerpb.Load) {
	now := s.cfg.Clock.Now()
	if l.GetInstance() == s.cfg.Self.Instance {
		return
	}
	from, ok := s.members.heard(l.GetInstance(), l.GetIncarnation(), l.GetLeaving(), now)
	if !ok || !s.keep(l, from.Centre, now) {
		return
	}
	s.compare(from.Address, l.GetTable(), l.GetFleet())
	name := l.GetInstance() + "/" + strconv.FormatUint(l.GetIncarnation(), 10)
	used := make(map[string]int64, len(l.GetUsed()))
	due := make(map[string]int64)
	for _, u := range l.GetUsed() {
		used[u.GetCustomer()] = u.GetTokens()
		if u.GetDue() > 0 {
			due[u.GetCustomer()] = u.GetDue()
		}
	}
	s.cfg.Charges.SetPeerUsage(name, used, now)
	s.cfg.Charges.SetPeerRetryTokens(name, due)
	s.doubt(l, from.Centre, now)
}

// doubt takes what a peer has found out about backend servers. That one is
// silent counts among instances that reach it by the same links only.
func (s *Service) doubt(l *peerpb.Load, centre string, now tick.Instant) {
	for _, h := range l.GetAbsent() {
		s.cfg.Health.RecordPeerReport(health.Report{Server: h, Absent: true}, l.GetInstance(), now)
	}
	for _, h := range l.GetLeavers() {
		s.cfg.Health.RecordPeerDraining(h, now)
	}
	if centre != s.cfg.Self.Centre {
		return
	}
	for _, h := range l.GetSilent() {
		s.cfg.Health.RecordPeerReport(health.Report{Server: h}, l.GetInstance(), now)
	}
}

// keep stores the load of a peer. A process that was replaced no longer counts.
func (s *Service) keep(l *peerpb.Load, centre string, now tick.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.loads[l.GetInstance()]
	switch {
	case !ok:
	case old.incarnation > l.GetIncarnation(),
		old.incarnation == l.GetIncarnation() && old.serial >= l.GetSerial():
		return false
	case old.incarnation < l.GetIncarnation():
		s.cfg.Charges.RemovePeer(l.GetInstance() + "/" + strconv.FormatUint(old.incarnation, 10))
	}
	h := &heardLoad{
		incarnation: l.GetIncarnation(), serial: l.GetSerial(), at: now, centre: centre,
		cut: l.GetCut(), leaving: l.GetLeaving(), sums: make(map[uint64]admit.Load),
	}
	for _, p := range l.GetPlaced() {
		h.sums[p.GetServer()] = admit.Load{
			PrefillTokens: int(p.GetReading()), KVTokens: int(p.GetMemory()), Running: int(p.GetRunning()), Queued: int(p.GetWaiting()),
		}
	}
	var before map[uint64]admit.Load
	if ok {
		before = old.sums
	}
	s.replace(before, h.sums)
	s.loads[l.GetInstance()] = h
	return true
}

// merge hands on what has changed of the load that the others have placed.
func (s *Service) merge(now tick.Instant) {
	s.mu.Lock()
	for name, l := range s.loads {
		if now-l.at > staleAfter {
			s.replace(l.sums, nil)
			l.sums = nil
		}
		if now-l.at > forgetAfter {
			delete(s.loads, name)
		}
	}
	changed := s.changed
	if len(changed) > 0 {
		s.changed = make(map[uint64]admit.Load)
	}
	s.mu.Unlock()
	if len(changed) > 0 {
		s.cfg.Loads.UpdatePeerLoad(changed)
	}
}

// replace puts the load of a peer in the place of its last one. The caller holds
// s.mu.
func (s *Service) replace(old, sums map[uint64]admit.Load) {
	for h, sum := range sums {
		if old[h] != sum {
			s.shift(h, old[h], sum)
		}
	}
	for h, sum := range old {
		if _, ok := sums[h]; !ok {
			s.shift(h, sum, admit.Load{})
		}
	}
}

// shift changes one sum. The caller holds s.mu.
func (s *Service) shift(h uint64, from, to admit.Load) {
	sum := s.total[h]
	sum.Sub(from)
	sum.Add(to)
	if sum == (admit.Load{}) {
		delete(s.total, h)
	} else {
		s.total[h] = sum
	}
	s.changed[h] = sum
}

// sortLoad puts a load into the one order that equal loads share.
func sortLoad(l *peerpb.Load) {
	slices.SortFunc(l.Placed, func(a, b *peerpb.Placed) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	slices.Sort(l.Absent)
	slices.Sort(l.Silent)
	slices.Sort(l.Leavers)
	slices.SortFunc(l.Used, func(a, b *peerpb.Used) int { return cmp.Compare(a.GetCustomer(), b.GetCustomer()) })
}
