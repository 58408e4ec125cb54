package once

import (
	"context"
	"maps"
	"slices"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
)

// buddy is what this process knows of one of its buddies.
type buddy struct {
	incarnation uint64
	met         bool // it has answered a fetch of this process
	whole       bool // it holds the whole journal
}

// copyIntent copies the entry to all buddies and returns when one of them has
// acknowledged it, or with an error that proves that the call has not run.
// Slower copies go on until their time limit.
func (s *Service) copyIntent(ctx context.Context, e intent.Entry) error {
	names := s.buddyNames()
	if len(names) == 0 {
		return fail.Refuse(fail.CodeNoServer, fail.NoRetry, "the table has no second seat to copy the call's intent to")
	}
	acks := s.copyAll(ctx, names, []intent.Entry{e})
	for range names {
		if <-acks {
			return nil
		}
	}
	if s.superseded() {
		return fail.Refuse(fail.CodeHomeUnreachable, retryHome, "the call's home has been replaced")
	}
	return fail.Refuse(fail.CodeHomeUnreachable, retryHome, "no other instance could take a copy of the call's intent")
}

// copyEnd copies how a call ended and returns when a buddy has acknowledged
// it. Its loss is harmless: a later process of the seat would then call the
// outcome unknown.
func (s *Service) copyEnd(ctx context.Context, e intent.Entry) {
	names := s.buddyNames()
	acks := s.copyAll(ctx, names, []intent.Entry{e})
	for range names {
		if <-acks {
			return
		}
	}
}

// copyAll copies the entries to each of names and delivers for each whether it
// acknowledged them.
func (s *Service) copyAll(ctx context.Context, names []ident.Instance, entries []intent.Entry) <-chan bool {
	acks := make(chan bool, len(names))
	for _, name := range names {
		s.begun()
		go func() {
			defer s.exit()
			ctx, cancel := context.WithTimeout(ctx, copyLimit)
			defer cancel()
			acks <- s.copyTo(ctx, name, entries)
		}()
	}
	return acks
}

// copyTo copies the entries to one buddy and reports whether it holds all of
// them now.
func (s *Service) copyTo(ctx context.Context, name ident.Instance, entries []intent.Entry) bool {
	c, err := s.cfg.Dialer.Once(name)
	if err != nil {
		return false
	}
	res, err := c.Copy(ctx, &peerpb.CopyRequest{Owner: s.node(), Entries: toProto(s.cfg.Clock.Now(), entries)})
	if err != nil {
		return false
	}
	return s.acknowledged(name, res)
}

// acknowledged reports whether the buddy took the copy. A buddy that has not
// met this process counts again only after the next join.
func (s *Service) acknowledged(name ident.Instance, res *peerpb.CopyResponse) bool {
	if res.GetSuperseded() {
		s.supersede()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buddy(name)
	if res.GetUnmet() || !b.met || b.incarnation != res.GetBuddy().GetIncarnation() {
		*b = buddy{}
		return false
	}
	return !res.GetFull()
}

// buddy returns the record of the buddy with the name. The caller holds mu.
func (s *Service) buddy(name ident.Instance) *buddy {
	b, ok := s.buddies[name]
	if !ok {
		b = &buddy{}
		s.buddies[name] = b
	}
	return b
}

// buddyNames returns the buddies of this seat by the table in force.
func (s *Service) buddyNames() []ident.Instance {
	v, ok := s.cfg.Table.View()
	if !ok {
		return nil
	}
	return s.buddiesBy(v)
}

// buddiesBy returns the buddies of this seat by v and forgets all others: they
// get no copies, so they must be joined and sent the whole journal if they
// become buddies again.
func (s *Service) buddiesBy(v View) []ident.Instance {
	names := intent.Backups(v.Seats(), s.cfg.Self.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.buddies, func(name ident.Instance, _ *buddy) bool { return !slices.Contains(names, name) })
	return names
}

func (s *Service) node() *peerpb.Node {
	return &peerpb.Node{Instance: string(s.cfg.Self.Instance), Incarnation: s.cfg.Self.Incarnation}
}
