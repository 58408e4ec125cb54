package gossip

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peer"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// fullMemberListShare is a share of all members. A caller that knows fewer members than this
	// share receives the whole list.
	fullMemberListShare = 0.9
	// exchangeTimeout bounds one call.
	exchangeTimeout = 800 * time.Millisecond
	// stateBytesPerSecond is the rate at which an instance sends newer state to its peers.
	// Responses of up to smallResponseBytes are exempt. After a change, all instances of a data
	// centre request the new state at once. If they shared the link, none would receive the state
	// in time. The instances that are served first can send it to the others.
	stateBytesPerSecond = 1 << 20
	smallResponseBytes  = 8 << 10
)

// errBusy is returned when the peer is currently sending its state to other instances.
var errBusy = errors.New("the peer is busy")

// exchange calls one instance and records the members that the peer reports. If want is true,
// exchange also requests newer state and applies it. It returns errBusy if the peer cannot send the
// state now.
func (s *Service) exchange(ctx context.Context, addr string, want bool) error {
	c, err := s.pool.News(ident.Instance(addr))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	now := s.cfg.Clock.Now()
	paused, _ := s.Pauses()
	table, fleet := s.cfg.Store.Revisions()
	resp, err := c.Exchange(ctx, &peerpb.ExchangeRequest{
		Self: s.self(), Members: s.members.encode(now, maxMembersSent), Known: int32(s.members.count()),
		Table: table.Position, TableVersion: table.Version, Fleet: fleet, Want: want, Histories: peer.EncodeHistories(s.cfg.Crashes.Histories(), s.cfg.SinceBoot()),
		Evacuation: s.evacuation(),
	})
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	now = s.cfg.Clock.Now()
	s.members.update(resp.GetSelf(), now)
	s.updateMembers(resp.GetMembers(), now)
	s.recordHistories(resp.GetHistories())
	s.applyEvacuation(resp.GetEvacuation())
	if resp.GetSelf().GetInstance() != s.cfg.Self.Instance {
		s.pauses.received(paused)
	}
	if !want {
		s.pullIfNewer(addr, route.Stamp{Version: resp.GetTableVersion(), Position: resp.GetTable()}, resp.GetFleet())
		return nil
	}
	if resp.GetBusy() {
		return errBusy
	}
	if raw := resp.GetConfig(); len(raw) > 0 {
		s.cfg.Store.ApplyConfig(Published{
			Raw: raw, Stamp: route.Stamp{Version: resp.GetTableVersion(), Position: resp.GetTable()},
			Age: time.Duration(max(resp.GetTableAgeMs(), 0)) * time.Millisecond, From: addr,
		})
	}
	if resp.GetFleet() > fleet {
		s.cfg.Store.ApplyServerChanges(decodeItems(resp.GetEntries()), resp.GetFleet(), resp.GetWhole())
	}
	return nil
}

// updateMembers records the members that a peer reports.
func (s *Service) updateMembers(list []*peerpb.Member, now tick.Instant) {
	for _, m := range list {
		s.members.update(m, now)
	}
	s.cfg.Usage.SetPeerCount(s.members.count())
}

// maxMembersFor returns how many members to send to a caller that knows the given number of members.
// A caller that has just started receives the whole list. Until it knows the number of instances, it cannot
// compute its share of each limit.
func (s *Service) maxMembersFor(known int) int {
	if all := s.members.count(); float64(known) < fullMemberListShare*float64(all) {
		return all
	}
	return maxMembersSent
}

// Exchange implements peerpbconnect.NewsServiceHandler. It answers a call of a peer.
func (s *Service) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	now := s.cfg.Clock.Now()
	s.members.update(r.GetSelf(), now)
	s.updateMembers(r.GetMembers(), now)
	s.recordHistories(r.GetHistories())
	s.applyEvacuation(r.GetEvacuation())
	table, fleet := s.cfg.Store.Revisions()
	known := route.Stamp{Version: r.GetTableVersion(), Position: r.GetTable()}
	s.pullIfNewer(r.GetSelf().GetAddress(), known, r.GetFleet())
	resp := &peerpb.ExchangeResponse{
		Self: s.self(), Members: s.members.encode(now, s.maxMembersFor(int(r.GetKnown()))), Table: table.Position, Fleet: fleet,
		Histories: peer.EncodeHistories(s.cfg.Crashes.Histories(), s.cfg.SinceBoot()), TableVersion: table.Version,
		Evacuation: s.evacuation(),
	}
	if !r.GetWant() {
		return resp, nil
	}
	if own := s.cfg.Store.Config(); own.Stamp.After(known) {
		resp.Config, resp.Table, resp.TableVersion = own.Raw, own.Stamp.Position, own.Stamp.Version
		resp.TableAgeMs = own.Age.Milliseconds()
	}
	items, rev, whole := s.cfg.Store.ServerChanges(r.GetFleet())
	if rev <= r.GetFleet() {
		return s.limitResponse(resp, now), nil
	}
	resp.Fleet, resp.Whole, resp.Entries = rev, whole, encodeItems(items)
	return s.limitResponse(resp, now), nil
}

// limitResponse returns the response to a request for newer state. While the state is being sent
// to other peers, it replaces a large response by one that has Busy set and contains no
// configuration or server list.
func (s *Service) limitResponse(resp *peerpb.ExchangeResponse, now tick.Instant) *peerpb.ExchangeResponse {
	size := proto.Size(resp)
	if size <= smallResponseBytes {
		return resp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.busyUntil {
		return &peerpb.ExchangeResponse{Self: resp.GetSelf(), Members: resp.GetMembers(), Histories: resp.GetHistories(), Evacuation: resp.GetEvacuation(), Busy: true}
	}
	s.busyUntil = now + time.Duration(float64(size)/stateBytesPerSecond*float64(time.Second))
	return resp
}

// encodeItems returns items in the form sent to peers.
func encodeItems(items []Item) []*peerpb.Item {
	out := make([]*peerpb.Item, 0, len(items))
	for _, it := range items {
		out = append(out, &peerpb.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed,
			KeepMs: it.TombstoneTTL.Milliseconds(),
		})
	}
	return out
}

// decodeItems is the inverse of encodeItems.
func decodeItems(list []*peerpb.Item) []Item {
	out := make([]Item, 0, len(list))
	for _, e := range list {
		out = append(out, Item{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(),
			TombstoneTTL: time.Duration(e.GetKeepMs()) * time.Millisecond,
		})
	}
	return out
}
