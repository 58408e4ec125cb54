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
		Table: table.Position, TableVersion: table.Version, Fleet: fleet, Want: want, Unpacks: true, Histories: peer.EncodeHistories(s.cfg.Crashes.Histories(), s.cfg.SinceBoot()),
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
		s.pullIfNewer(resp.GetSelf().GetRegion(), addr, route.Stamp{Version: resp.GetTableVersion(), Position: resp.GetTable()}, resp.GetFleet())
		return nil
	}
	if err := s.applyConfig(resp, addr); err != nil {
		return errors.Wrapf(err, "exchange with %s", addr)
	}
	if resp.GetBusy() {
		return errBusy
	}
	if resp.GetFleet() > fleet {
		s.cfg.Store.ApplyServerChanges(decodeItems(resp.GetEntries()), resp.GetFleet(), resp.GetWhole())
	}
	return nil
}

// applyConfig applies the configuration in the response of the peer at addr, if there is one.
func (s *Service) applyConfig(resp *peerpb.ExchangeResponse, addr string) error {
	raw := resp.GetConfig()
	if packed := resp.GetPackedConfig(); len(packed) > 0 {
		var err error
		if raw, err = unpack(packed); err != nil {
			return err
		}
	}
	if len(raw) == 0 {
		return nil
	}
	s.cfg.Store.ApplyConfig(Published{
		Raw: raw, Stamp: route.Stamp{Version: resp.GetTableVersion(), Position: resp.GetTable()},
		Age: millis(resp.GetTableAgeMs()), From: addr,
	})
	return nil
}

// millis returns a duration that a peer has sent in milliseconds. A negative one counts as 0.
func millis(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }

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
	s.pullIfNewer(r.GetSelf().GetRegion(), r.GetSelf().GetAddress(), known, r.GetFleet())
	resp := &peerpb.ExchangeResponse{
		Self: s.self(), Members: s.members.encode(now, s.maxMembersFor(int(r.GetKnown()))), Table: table.Position, Fleet: fleet,
		Histories: peer.EncodeHistories(s.cfg.Crashes.Histories(), s.cfg.SinceBoot()), TableVersion: table.Version,
		Evacuation: s.evacuation(),
	}
	if !r.GetWant() {
		return resp, nil
	}
	if own := s.cfg.Store.Config(); own.Stamp.After(known) {
		if err := s.setConfig(resp, own, r.GetUnpacks()); err != nil {
			return nil, err
		}
	}
	items, rev, whole := s.cfg.Store.ServerChanges(r.GetFleet())
	if rev <= r.GetFleet() {
		return s.limitResponse(resp, now), nil
	}
	resp.Fleet, resp.Whole, resp.Entries = rev, whole, encodeItems(items)
	return s.limitResponse(resp, now), nil
}

// setConfig sets the configuration of a response, in compressed form if the caller reads that.
func (s *Service) setConfig(resp *peerpb.ExchangeResponse, own Published, packed bool) error {
	resp.Table, resp.TableVersion, resp.TableAgeMs = own.Stamp.Position, own.Stamp.Version, own.Age.Milliseconds()
	if !packed {
		resp.Config = own.Raw
		return nil
	}
	var err error
	resp.PackedConfig, err = s.packer.pack(own)
	return err
}

// limitResponse returns the response to a request for newer state. While large state is being sent to other
// peers, Busy is set: a large response then contains no server list, and no configuration if it is still large.
func (s *Service) limitResponse(resp *peerpb.ExchangeResponse, now tick.Instant) *peerpb.ExchangeResponse {
	size := proto.Size(resp)
	if size <= smallResponseBytes {
		return resp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.busyUntil {
		s.busyUntil = now + time.Duration(float64(size)/stateBytesPerSecond*float64(time.Second))
		return resp
	}
	resp.Busy, resp.Fleet, resp.Whole, resp.Entries = true, 0, false, nil
	if proto.Size(resp) > smallResponseBytes {
		resp.Config, resp.PackedConfig, resp.Table, resp.TableVersion, resp.TableAgeMs = nil, nil, 0, 0, 0
	}
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
