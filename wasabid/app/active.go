package app

import (
	"sync/atomic"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/wasabid/conf"
)

// active tells the number of requests in progress to parts that are made
// before the callers' server.
type active struct {
	f atomic.Pointer[func() int64]
}

func newActive() *active { return &active{} }

func (a *active) set(f func() int64) { a.f.Store(&f) }

func (a *active) count() int64 {
	f := a.f.Load()
	if f == nil {
		return 0
	}
	return (*f)()
}

// watched names the engines whose pools this instance schedules.
type watched struct {
	tables *tables
	centre ident.Centre
	placer *sched.Client
}

func newWatched(cfg *conf.Config, ts *tables, c *sched.Client) *watched {
	return &watched{tables: ts, centre: cfg.Centre(), placer: c}
}

func (w *watched) servers() []ident.Server {
	t := w.tables.table()
	if t == nil {
		return nil
	}
	var list []ident.Server
	for _, m := range w.placer.ScheduledModels() {
		for _, s := range t.ServersOf(w.centre, m) {
			list = append(list, s.Name)
		}
	}
	return list
}
