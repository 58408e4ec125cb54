package once

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plain"
)

var (
	// errLapsed reports a fetch that must begin again with its first page.
	errLapsed = errors.New("once: the asker is no longer registered at this backup")
	// errNotBackup reports an asker at another revision of the table.
	errNotBackup = errors.New("once: the table in force names other backups for the asker's seat")
)

// Handler returns the service that the other instances call.
func (s *Service) Handler() peerpbconnect.OnceServiceHandler { return handler{s} }

// handler serves the messages of other instances.
type handler struct{ s *Service }

// Copy stores entries of another seat's journal.
func (h handler) Copy(_ context.Context, req *peerpb.CopyRequest) (*peerpb.CopyResponse, error) {
	s := h.s
	now := s.cfg.Clock.Now()
	owner := owner(req.GetOwner())
	res := &peerpb.CopyResponse{Buddy: s.node()}
	if !s.isBackupOf(owner.Instance) {
		res.Unmet = true
		return res, nil
	}
	standing, room := s.copies.Apply(now, owner, fromProto(now, req.GetEntries()))
	res.Unmet = standing == intent.Unregistered
	res.Superseded = standing == intent.Superseded
	res.Full = standing == intent.Current && !room
	if standing == intent.Current && room && req.GetWhole() {
		s.copies.MarkComplete(owner, now-time.Duration(req.GetCompleteMs())*time.Millisecond)
	}
	return res, nil
}

// Fetch returns a page of the journal of the asker's seat. With the first page it
// registers the asker, so that copies of earlier processes of the seat are
// rejected.
func (h handler) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	s := h.s
	now := s.cfg.Clock.Now()
	n := owner(req.GetOwner())
	page := int(req.GetPage())
	res := &peerpb.FetchResponse{Buddy: s.node()}
	if page >= intent.Shards {
		return res, nil
	}
	if !s.isBackupOf(n.Instance) {
		return nil, connect.NewError(connect.CodeAborted, errNotBackup)
	}
	standing := s.copies.State(n)
	if page == 0 {
		standing, res.Known = s.copies.Register(n)
	}
	switch standing {
	case intent.Unregistered:
		return nil, connect.NewError(connect.CodeAborted, errLapsed)
	case intent.Superseded:
		res.Superseded = true
		return res, nil
	}
	if d, sure := s.copies.CompleteFor(now, n.Instance); sure {
		res.CompleteMs = max(1, d.Milliseconds())
	}
	res.Entries = toProto(now, s.copies.ShardEntries(now, n.Instance, page))
	res.More = page < intent.Shards-1
	return res, nil
}

// isBackupOf reports whether this process is a backup of the seat by the table in
// force. Before there is a table, every seat counts as one that it is a backup of.
func (s *Service) isBackupOf(owner ident.Instance) bool {
	v, ok := s.cfg.Table.View()
	return !ok || slices.Contains(intent.Backups(v.Seats(), owner), s.cfg.Self.Instance)
}

// Run makes a call that another instance has forwarded to this process as its
// home.
func (h handler) Run(ctx context.Context, req *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	a, err := h.s.runForwarded(ctx, req)
	return runResponse(a, err), nil
}

func (s *Service) runForwarded(ctx context.Context, req *peerpb.RunRequest) (plain.Answer, error) {
	v, ok := s.cfg.Table.View()
	if !ok {
		return plain.Answer{}, fail.Refuse(fail.CodeNoTable, retryHome, "no table is in force at the call's home")
	}
	c := callFromProto(req)
	r, ok := v.Route(c.Route)
	if !ok {
		return plain.Answer{}, fail.Refuse(fail.CodeUnknownRoute, retryHome, "the call's home does not know the route")
	}
	home, ok := intent.Home(v.Seats(), r.Centre, intent.NewID(c.Customer, c.Route, c.Key))
	if !ok || home != s.cfg.Self.Instance {
		return plain.Answer{}, fail.Refuse(fail.CodeHomeUnreachable, retryHome, "instances disagree on the call's home")
	}
	if req.GetDeadlineMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
		defer cancel()
	}
	a, err := s.runHome(ctx, v, r, c)
	s.line(c, home, "call decided at its home", a, err)
	return a, err
}

func owner(n *peerpb.Node) ident.Node {
	return ident.Node{Instance: ident.Instance(n.GetInstance()), Incarnation: n.GetIncarnation()}
}
