package app

import (
	"context"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/roster"
)

// follower takes each new table to the parts that depend on it, and the
// departures of backend servers to the schedulers.
type follower struct {
	*daemon
	departed map[ident.Server]bool
}

func (f *follower) run(ctx context.Context) error {
	changed, unsubscribe := f.p.Spread.Subscribe()
	defer unsubscribe()
	t := f.p.Timer.Every(pause)
	defer t.Stop()
	joined := f.p.Spread.Joined()
	f.take()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			f.take()
		case <-joined:
			joined = nil
			f.take()
			f.p.Members.SetState(roster.Ready)
			f.log.Info().Uint64("revision", f.p.Tables.table().Revision()).Msg("app: ready")
		case <-t.C():
			f.depart()
		}
	}
}

// take puts the table of package spread in force in all parts.
func (f *follower) take() {
	t := f.p.Spread.Current()
	old := f.p.Tables.table()
	if t == nil || t == old {
		return
	}
	f.p.Tables.cur.Store(t)
	f.p.Sched.Configure(t.Revision(), poolSpecs(t, f.p.Cfg.Centre()))
	f.p.Placer.Configure(layout(t, f.p.Cfg.Centre()))
	f.p.Front.CancelWithdrawn(func(sum [32]byte) bool {
		_, ok := t.KeyOwner(sum)
		return ok
	})
	f.depart()
	f.p.Members.SetRevision(t.Revision())
	f.log.Info().Uint64("revision", t.Revision()).Msg("app: table in force")
}

// depart tells the schedulers which backend servers depart.
func (f *follower) depart() {
	t := f.p.Tables.table()
	if t == nil {
		return
	}
	for _, s := range t.Servers() {
		if s.Centre != f.p.Cfg.Centre() {
			continue
		}
		gone := f.p.Members.Departing(s.Name)
		if gone == f.departed[s.Name] {
			continue
		}
		f.departed[s.Name] = gone
		f.p.Sched.SetDraining(s.Name, gone)
		f.log.Info().Str("server", string(s.Name)).Bool("departing", gone).Msg("app: backend server changed")
	}
}
