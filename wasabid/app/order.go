package app

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/logs"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/spread"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

// orderers lets package orders see the engines whose pools this instance
// schedules. Their reports come from package probe.
type orderers struct {
	watched *watched
	spread  *spread.Fleet
	timer   tick.Clock

	mu     sync.Mutex // guards states
	states map[ident.Server]reported
}

// reported is a report and when it came.
type reported struct {
	load engine.LoadReport
	at   tick.Instant
}

func newOrderers(w *watched, s *spread.Fleet, t tick.Clock) *orderers {
	return &orderers{watched: w, spread: s, timer: t, states: make(map[ident.Server]reported)}
}

func newOrders(o *orderers, e *engine.Client, t tick.Clock, l zerolog.Logger) *orders.Reconciler {
	log := logs.Component(l, "orders")
	return orders.NewReconciler(orders.ReconcilerConfig{
		Source:  o,
		Engines: e,
		Clock:   t,
		Owns:    o.owns,
		OnOrder: func(order orders.Order, err error) { tellOrder(log, order, err) },
	})
}

func tellOrder(log zerolog.Logger, o orders.Order, err error) {
	e := logs.Decision(log).
		Str("server", string(o.Server)).
		Str("kind", string(o.Kind)).
		Str("model", string(o.Model.Name)).
		Str("role", o.Role).
		Uint64("fence", o.Fence)
	if err != nil {
		e.Err(err).Msg("orders: order was not taken")
		return
	}
	e.Msg("orders: order given")
}

// Loaded takes in a report.
func (o *orderers) Loaded(s ident.Server, l engine.LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.states[s] = reported{load: l, at: o.timer.Now()}
}

// DesiredStates returns the rows of the table for all engines of the data centre, and
// how long the revision has been in force. Engines of other schedulers' pools
// are among them, since a model may move from one to another: without a report
// of the engine that is to take it over, the last replica is not unloaded.
func (o *orderers) DesiredStates() (uint64, time.Duration, []orders.DesiredState) {
	t := o.watched.tables.table()
	if t == nil {
		return 0, 0, nil
	}
	v, since := o.spread.Version()
	if v.Revision != t.Revision() {
		return 0, 0, nil
	}
	return t.Revision(), o.timer.Now() - since, wants(t, o.watched.centre)
}

// wants returns what the engines of a data centre are meant to run.
func wants(t *table.Table, c ident.Centre) []orders.DesiredState {
	var list []orders.DesiredState
	for _, srv := range t.Servers() {
		if srv.Kind == table.Engine && srv.Centre == c {
			list = append(list, want(t, srv))
		}
	}
	return list
}

// want returns what the server is meant to run: its order row, or else its own
// row.
func want(t *table.Table, s table.Server) orders.DesiredState {
	w := orders.DesiredState{Server: s.Name, Role: string(s.Role), Models: []orders.Model{{Name: s.Model}}, Fenced: s.Fenced}
	if r, ok := t.Order(s.Name); ok {
		w.Role = string(r.Role)
		w.Models = []orders.Model{{Name: r.Model, Adapter: r.Adapter, Version: r.Version}}
	}
	return w
}

// States returns the latest reports of the engines that this instance follows.
func (o *orderers) States() []orders.State {
	names := o.watched.servers()
	now := o.timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []orders.State
	kept := make(map[ident.Server]reported, len(names))
	for _, s := range names {
		if r, ok := o.states[s]; ok {
			list = append(list, state(s, r, now))
			kept[s] = r
		}
	}
	o.states = kept
	return list
}

func state(s ident.Server, r reported, now tick.Instant) orders.State {
	return orders.State{
		Server:   s,
		Role:     r.load.Role,
		Models:   models(r.load.Models),
		Loading:  models(r.load.Loading),
		Draining: r.load.Draining,
		Fence:    r.load.Fence,
		Age:      now - r.at + time.Duration(r.load.AgeMS)*time.Millisecond,
	}
}

func models(list []engine.LoadedModel) []orders.Model {
	out := make([]orders.Model, 0, len(list))
	for _, m := range list {
		out = append(out, orders.Model{Name: m.Model, Adapter: m.Adapter, Version: m.Version})
	}
	return out
}

// owns reports whether this instance gives the server its orders.
func (o *orderers) owns(name ident.Server) bool {
	t := o.watched.tables.table()
	if t == nil {
		return false
	}
	s, ok := t.Server(name)
	return ok && s.Orders && s.Centre == o.watched.centre && o.watched.placer.Schedules(s.Model)
}
