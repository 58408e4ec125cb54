package once

import (
	"context"
	"maps"
	"slices"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
)

// backup is the state of one backup of this seat.
type backup struct {
	incarnation uint64
	met         bool // it has registered this process, in answer to a fetch
	whole       bool // it holds the complete journal
}

// copyIntent copies the entry to all backups and returns when one of them has
// acknowledged it. If none does, the call has not run. Slower copies continue
// until their time limit.
func (s *Service) copyIntent(ctx context.Context, e intent.Entry) error {
	names := s.backupNames()
	if len(names) == 0 {
		return fail.Refuse(fail.CodeNoServer, fail.NoRetry, "the table has no second seat to copy the call's intent to")
	}
	acks := s.copyAll(ctx, names, []intent.Entry{e}, copyLimit)
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

// copyEnd copies the end of a call and returns when a backup has acknowledged it.
// If the copy is lost, a later process of the seat reports the outcome as unknown.
func (s *Service) copyEnd(ctx context.Context, e intent.Entry) {
	names := s.backupNames()
	acks := s.copyAll(ctx, names, []intent.Entry{e}, endCopyLimit)
	for range names {
		if <-acks {
			return
		}
	}
}

// copyAll copies the entries to each of names within the limit. The channel receives for each
// whether it acknowledged them.
func (s *Service) copyAll(ctx context.Context, names []ident.Instance, entries []intent.Entry, limit time.Duration) <-chan bool {
	acks := make(chan bool, len(names))
	for _, name := range names {
		s.begun()
		go func() {
			defer s.exit()
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			acks <- s.copyTo(ctx, name, entries)
		}()
	}
	return acks
}

// copyTo copies the entries to one backup and reports whether it holds all of
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

// acknowledged reports whether the backup stored the copy. A backup at which this
// process is not registered is joined again before its acknowledgements count.
func (s *Service) acknowledged(name ident.Instance, res *peerpb.CopyResponse) bool {
	if res.GetSuperseded() {
		s.supersede()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup(name)
	if res.GetUnmet() || !b.met || b.incarnation != res.GetBuddy().GetIncarnation() {
		*b = backup{}
		return false
	}
	return !res.GetFull()
}

// backup returns the state of the backup with the name. The caller holds mu.
func (s *Service) backup(name ident.Instance) *backup {
	b, ok := s.backups[name]
	if !ok {
		b = &backup{}
		s.backups[name] = b
	}
	return b
}

// backupNames returns the backups of this seat by the table in force.
func (s *Service) backupNames() []ident.Instance {
	v, ok := s.cfg.Table.View()
	if !ok {
		return nil
	}
	return s.backupsBy(v)
}

// backupsBy returns the backups of this seat by v and removes the state of all
// others. These get no copies, so they must be joined and sent the whole journal
// if they become backups again.
func (s *Service) backupsBy(v View) []ident.Instance {
	names := intent.Backups(v.Seats(), s.cfg.Self.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.backups, func(name ident.Instance, _ *backup) bool { return !slices.Contains(names, name) })
	return names
}

func (s *Service) node() *peerpb.Node {
	return &peerpb.Node{Instance: string(s.cfg.Self.Instance), Incarnation: s.cfg.Self.Incarnation}
}
