package gossip

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
	// loadPeriod is the period at which datagrams are sent while the state changes.
	loadPeriod = 40 * time.Millisecond
	// loadPeriodPerPeer times the number of peers is the minimum period. The period thus grows
	// with the number of peers, which bounds the rate of datagrams that an instance receives.
	loadPeriodPerPeer = 2 * time.Millisecond
	// idleLoadPeriod is the period while the state does not change. Datagrams to other regions
	// are always sent at this period.
	idleLoadPeriod = 200 * time.Millisecond
	// staleAfter is how long the last state of a peer is used if no newer one arrives.
	staleAfter = time.Second
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 60 << 10
)

// peerLoad is the last state received from a peer.
type peerLoad struct {
	incarnation      uint64
	serial           uint64
	at               tick.Instant
	centre           string
	storeUnreachable bool         // the peer cannot read the platform's store
	lastRead         tick.Instant // when the store has answered the peer, 0 if that is not known
	leaving          bool
	steady           bool   // the peer may issue permits
	nameHash         uint64 // hash of the peer's name
	sums             map[uint64]admit.Load
}

// sender is the state of SendLoad.
type sender struct {
	s           *Service
	pc          net.PacketConn
	offset      uint64 // added to serial to choose the forwarder in another data centre
	serial      uint64
	lastState   []byte       // the encoded state that was sent last
	lastSent    tick.Instant // time of the last datagrams within this region
	lastSentAll tick.Instant // time of the last datagrams to all regions
}

// SendLoad sends this instance's state to its peers over pc until ctx ends, and closes done when it
// returns.
func (s *Service) SendLoad(ctx context.Context, pc net.PacketConn, done chan<- struct{}) {
	defer close(done)
	d := &sender{s: s, pc: pc, offset: route.Hash(s.cfg.Self.Instance)}
	tick.Repeat(ctx, s.cfg.Clock.Every(loadPeriod), func(context.Context) {
		s.syncLoad(d, s.cfg.Clock.Now())
	})
}

// syncLoad passes the load received from peers to the LoadTracker and sends this instance's own
// state if it is due.
func (s *Service) syncLoad(d *sender, now tick.Instant) {
	s.Pauses()
	s.publishPeerLoad(now)
	if err := d.sendIfDue(now); err != nil {
		s.cfg.Log.Error().Err(err).Msg("news: own state cannot be encoded; it is not sent")
	}
}

// sendIfDue sends the state if it has changed or idleLoadPeriod has passed. It sends nothing before
// the minimum period for the number of peers has passed.
func (d *sender) sendIfDue(now tick.Instant) error {
	if now-d.lastSent < time.Duration(d.s.members.count())*loadPeriodPerPeer {
		return nil
	}
	state := d.s.ownState()
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return err
	}
	all := now-d.lastSentAll >= idleLoadPeriod
	if !all && bytes.Equal(plain, d.lastState) {
		return nil
	}
	d.lastState, d.lastSent = plain, now
	d.serial++
	state.Serial = d.serial
	d.s.setLimitAges(state)
	d.s.setHistoryAges(state)
	d.s.setReadAge(state, now)
	if all {
		d.lastSentAll = now
	}
	return d.broadcast(state, d.s.members.list(), all)
}

// broadcast sends the state to each instance of its own data centre, and to one instance of each
// other data centre, which forwards the state within that data centre. The traffic between data centres thus grows linearly
// with the number of instances instead of quadratically. The forwarder changes with each datagram.
// If it has failed, only that datagram is lost. Other regions are included only if all is true.
func (d *sender) broadcast(state *peerpb.Load, peers []Member, all bool) error {
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
		d.s.write(d.pc, pickForwarder(list, d.offset+d.serial, now), passed)
	}
	return nil
}

// pickForwarder returns the instance of a data centre that forwards a datagram. It rotates through
// the instances that were seen within staleAfter, or through all instances if none was.
func pickForwarder(list []Member, turn uint64, now tick.Instant) *Member {
	var fresh []*Member
	for i := range list {
		if now-list[i].lastSeen <= staleAfter {
			fresh = append(fresh, &list[i])
		}
	}
	if len(fresh) == 0 {
		return &list[turn%uint64(len(list))]
	}
	return fresh[turn%uint64(len(fresh))]
}

// forward sends a datagram from another data centre to the other instances of this data centre.
func (s *Service) forward(pc net.PacketConn, l *peerpb.Load) {
	l.Forward = false
	b, err := proto.Marshal(l)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("news: state of a peer cannot be encoded; it is not forwarded")
		return
	}
	for _, m := range s.members.list() {
		if m.Centre == s.cfg.Self.Centre && m.Instance != l.GetInstance() {
			s.write(pc, &m, b)
		}
	}
}

// write sends a datagram. A lost datagram is not repeated, because the next one contains the
// whole state.
func (s *Service) write(pc net.PacketConn, m *Member, b []byte) {
	addr, err := net.ResolveUDPAddr("udp", m.Datagrams)
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("peer", m.Instance).Msg("news: datagram address of the peer cannot be resolved; the datagram is dropped")
		return
	}
	if _, err := pc.WriteTo(b, addr); err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", m.Instance).Msg("news: sending a datagram to the peer failed; the next one replaces it")
	}
}

// ownState returns the state that this instance reports to its peers.
func (s *Service) ownState() *peerpb.Load {
	table, fleet := s.cfg.Store.Revisions()
	l := &peerpb.Load{
		Instance: s.cfg.Self.Instance, Incarnation: s.cfg.Self.Incarnation, Leaving: s.leaving.Load(),
		Table: table.Position, TableVersion: table.Version, Fleet: fleet, Cut: s.cfg.Store.Unreachable(),
	}
	for h, sum := range s.cfg.Loads.OwnLoad() {
		l.Placed = append(l.Placed, &peerpb.Placed{
			Server: h, Reading: int64(sum.PrefillTokens), Memory: int64(sum.KVTokens), Running: int64(sum.Running), Waiting: int64(sum.Queued),
		})
	}
	retryTokens := s.cfg.Usage.RetryTokens()
	for c, n := range s.cfg.Usage.Used() {
		l.Used = append(l.Used, &peerpb.Used{Customer: c, Tokens: n, Due: retryTokens[c]})
	}
	for _, d := range s.cfg.Health.Reports(s.cfg.Clock.Now()) {
		if d.Absent {
			l.Absent = append(l.Absent, d.Server)
		} else {
			l.Silent = append(l.Silent, d.Server)
		}
	}
	l.Leavers = s.cfg.Health.DrainingServers(s.cfg.Clock.Now())
	l.Limits, l.Steady = s.encodeLimits(), s.isSteady()
	l.Histories = s.recentHistories()
	l.Evacuation = s.evacuation()
	sortLoad(l)
	return l
}

// ReceiveLoads receives the datagrams of the peers until pc is closed, and closes done when it
// returns.
func (s *Service) ReceiveLoads(pc net.PacketConn, done chan<- struct{}) {
	defer close(done)
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := pc.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn().Err(err).Msg("news: receiving a datagram failed; waiting for the next one")
			continue
		}
		var l peerpb.Load
		if err := proto.Unmarshal(b[:n], &l); err != nil {
			s.cfg.Log.Warn().Err(err).Stringer("peer", from).Msg("news: datagram cannot be decoded; it is dropped")
			continue
		}
		if l.GetForward() {
			s.forward(pc, &l)
		}
		s.receiveLoad(&l)
	}
}

// receiveLoad records the state of a peer, unless a newer state of that peer is known.
func (s *Service) receiveLoad(l *peerpb.Load) {
	now := s.cfg.Clock.Now()
	if l.GetInstance() == s.cfg.Self.Instance {
		return
	}
	from, ok := s.members.refresh(l.GetInstance(), l.GetIncarnation(), l.GetLeaving(), now)
	if !ok || !s.storeLoad(l, from.Centre, now) {
		return
	}
	s.pullIfNewer(from.Region, from.Address, route.Stamp{Version: l.GetTableVersion(), Position: l.GetTable()}, l.GetFleet())
	name := l.GetInstance() + "/" + strconv.FormatUint(l.GetIncarnation(), 10)
	used := make(map[string]int64, len(l.GetUsed()))
	retryTokens := make(map[string]int64)
	for _, u := range l.GetUsed() {
		used[u.GetCustomer()] = u.GetTokens()
		if u.GetDue() > 0 {
			retryTokens[u.GetCustomer()] = u.GetDue()
		}
	}
	s.cfg.Usage.SetPeerUsage(name, used, now)
	s.cfg.Usage.SetPeerRetryTokens(name, retryTokens)
	s.recordHealth(l, from.Centre, now)
	s.recordLimits(l)
	s.recordHistories(l.GetHistories())
	s.applyEvacuation(l.GetEvacuation())
}

// recordHealth records the failing and draining servers that a peer reports. A report that a
// server does not respond counts only from a peer in the same data centre, which reaches the server
// over the same links.
func (s *Service) recordHealth(l *peerpb.Load, centre string, now tick.Instant) {
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

// storeLoad stores the load of a peer and returns true. It returns false if the state is not newer
// than the stored one. The load and usage of a replaced process are removed.
func (s *Service) storeLoad(l *peerpb.Load, centre string, now tick.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.loads[l.GetInstance()]
	switch {
	case !ok:
	case old.incarnation > l.GetIncarnation(),
		old.incarnation == l.GetIncarnation() && old.serial >= l.GetSerial():
		return false
	case old.incarnation < l.GetIncarnation():
		s.cfg.Usage.RemovePeer(l.GetInstance() + "/" + strconv.FormatUint(old.incarnation, 10))
	}
	h := &peerLoad{
		incarnation: l.GetIncarnation(), serial: l.GetSerial(), at: now, centre: centre,
		storeUnreachable: l.GetCut(), lastRead: lastRead(l, now), leaving: l.GetLeaving(), steady: l.GetSteady(), nameHash: route.Hash(l.GetInstance()), sums: make(map[uint64]admit.Load),
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
	s.replaceLoad(before, h.sums)
	s.loads[l.GetInstance()] = h
	return true
}

// publishPeerLoad passes the changed sums of the peers' load to the LoadTracker. It first removes
// the load of peers whose state is stale.
func (s *Service) publishPeerLoad(now tick.Instant) {
	s.mu.Lock()
	for name, l := range s.loads {
		if now-l.at > staleAfter {
			s.replaceLoad(l.sums, nil)
			l.sums = nil
		}
		if now-l.at > memberTimeout {
			delete(s.loads, name)
		}
	}
	changed := s.changed
	s.changed = make(map[uint64]admit.Load)
	s.mu.Unlock()
	if len(changed) > 0 {
		s.cfg.Loads.UpdatePeerLoad(changed)
	}
}

// replaceLoad replaces the load of a peer in the totals. The caller holds s.mu.
func (s *Service) replaceLoad(old, sums map[uint64]admit.Load) {
	for h, sum := range sums {
		if old[h] != sum {
			s.adjustTotal(h, old[h], sum)
		}
	}
	for h, sum := range old {
		if _, ok := sums[h]; !ok {
			s.adjustTotal(h, sum, admit.Load{})
		}
	}
}

// adjustTotal replaces the load of one peer in the total of one server. The caller holds s.mu.
func (s *Service) adjustTotal(h uint64, from, to admit.Load) {
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

// sortLoad sorts the lists of a load, so that equal loads have equal encodings.
func sortLoad(l *peerpb.Load) {
	slices.SortFunc(l.Placed, func(a, b *peerpb.Placed) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	slices.Sort(l.Absent)
	slices.Sort(l.Silent)
	slices.Sort(l.Leavers)
	slices.SortFunc(l.Limits, func(a, b *peerpb.ServerLimit) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	slices.SortFunc(l.Used, func(a, b *peerpb.Used) int { return cmp.Compare(a.GetCustomer(), b.GetCustomer()) })
}
