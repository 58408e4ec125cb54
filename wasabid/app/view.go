package app

import (
	"slices"
	"sync/atomic"

	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/roster"
	"wasabidock.dev/dock/table"
)

// tables holds the table in force for the parts that read it.
type tables struct {
	cur     atomic.Pointer[table.Table]
	members *roster.Roster
}

// table returns the table in force, or nil before there is one.
func (s *tables) table() *table.Table { return s.cur.Load() }

// Address returns the address of a backend server.
func (s *tables) Address(name ident.Server) (string, bool) {
	t := s.table()
	if t == nil {
		return "", false
	}
	srv, ok := t.Server(name)
	return srv.Address, ok
}

// Servers returns the plain service's servers behind a route that do not
// depart.
func (s *tables) Servers(name ident.Route) []plain.Server {
	t := s.table()
	if t == nil {
		return nil
	}
	i := slices.IndexFunc(t.Routes(), func(r table.Route) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	var list []plain.Server
	for _, srv := range t.Services(t.Routes()[i].Service) {
		if !s.members.Departing(srv.Name) {
			list = append(list, plain.Server{Name: srv.Name, URL: "http://" + srv.Address})
		}
	}
	return list
}

// callers is the table as package front reads it.
type callers struct{ *tables }

// View returns the revision in force.
func (c callers) View() (front.View, bool) {
	t := c.table()
	if t == nil {
		return nil, false
	}
	return callerView{t}, true
}

type callerView struct{ t *table.Table }

func (v callerView) Revision() uint64 { return v.t.Revision() }

func (v callerView) KeyOwner(sum [32]byte) (ident.Customer, bool) { return v.t.KeyOwner(sum) }

func (v callerView) Model(name ident.Model) (front.Model, bool) {
	m, ok := v.t.Model(name)
	return front.Model{Name: m.Name, Class: m.DefaultClass, MaxPrompt: m.MaxPrompt, MaxOutput: m.MaxOutput}, ok
}

func (v callerView) Models() []ident.Model {
	list := make([]ident.Model, 0, len(v.t.Models()))
	for _, m := range v.t.Models() {
		list = append(list, m.Name)
	}
	return list
}

func (v callerView) Class(name ident.Class) (front.Class, bool) {
	c, ok := v.t.Class(name)
	return front.Class{Name: c.Name, FirstTokenTarget: c.FirstToken, GapTarget: c.TokenGap}, ok
}

func (v callerView) RouteFor(path string) (front.Route, bool) {
	r, ok := v.t.RouteFor(path)
	return front.Route{
		Name:       r.Name,
		Public:     r.Open,
		Idempotent: r.Idempotent,
		Timeout:    r.Timeout,
		MaxBody:    r.BodyLimit,
	}, ok
}

// journals is the table as package once reads it.
type journals struct{ *tables }

// View returns the revision in force.
func (j journals) View() (once.View, bool) {
	t := j.table()
	if t == nil {
		return nil, false
	}
	return journalView{t}, true
}

type journalView struct{ t *table.Table }

func (v journalView) Revision() uint64 { return v.t.Revision() }

func (v journalView) Seats() []intent.Seat {
	list := make([]intent.Seat, 0, len(v.t.Seats()))
	for _, s := range v.t.Seats() {
		list = append(list, intent.Seat{Instance: s.Name, Centre: s.Centre})
	}
	return list
}

func (v journalView) Route(name ident.Route) (once.Route, bool) {
	for _, r := range v.t.Routes() {
		if r.Name == name {
			return journalRoute(r), !r.Idempotent
		}
	}
	return once.Route{}, false
}

func (v journalView) Routes() []once.Route {
	var list []once.Route
	for _, r := range v.t.Routes() {
		if !r.Idempotent {
			list = append(list, journalRoute(r))
		}
	}
	return list
}

func journalRoute(r table.Route) once.Route {
	return once.Route{Name: r.Name, Centre: r.Home, Keep: r.KeyAge, Limit: r.Timeout, Status: r.Status}
}

// limits is the table as package quota reads it.
type limits struct{ *tables }

// Revision returns the revision in force, zero before the first.
func (l limits) Revision() uint64 {
	t := l.table()
	if t == nil {
		return 0
	}
	return t.Revision()
}

// Customers returns the terms of the customers and of the paid links.
func (l limits) Customers() []limit.Customer {
	t := l.table()
	if t == nil {
		return nil
	}
	list := make([]limit.Customer, 0, len(t.Customers())+len(t.Links()))
	for _, c := range t.Customers() {
		list = append(list, limit.Customer{Name: c.Name, Limits: limit.Limits{Rate: c.Rate, Burst: c.Burst}})
	}
	for _, k := range t.Links() {
		list = append(list, limit.Customer{Name: limit.LinkCustomer(k.From, k.To), Limits: limit.Limits{Rate: k.Rate, Burst: k.Burst}})
	}
	return list
}

// Share returns the share of a seat, zero for a name that is no seat.
func (l limits) Share(name ident.Instance) int64 {
	t := l.table()
	if t == nil {
		return 0
	}
	s, _ := t.Seat(name)
	return s.Share
}

// fleet is what the instance sees of the others.
type fleet struct {
	*tables
	self   ident.Node
	centre ident.Centre
	// superseded is closed when another process has taken the own seat.
	superseded <-chan struct{}
}

// Centres returns the data centres: the own one, those of its region, others.
func (f fleet) Centres() []ident.Centre {
	t := f.table()
	if t == nil {
		return nil
	}
	own, _ := t.Centre(f.centre)
	var near, far []ident.Centre
	for _, c := range t.Centres() {
		switch {
		case c.Name == f.centre:
		case c.Region == own.Region:
			near = append(near, c.Name)
		default:
			far = append(far, c.Name)
		}
	}
	return append(append([]ident.Centre{f.centre}, near...), far...)
}

// Live returns the seats of a data centre whose processes are ready.
func (f fleet) Live(c ident.Centre) []ident.Instance {
	return f.seated(c, f.members.Live)
}

// Draining returns the seats of a data centre whose processes drain.
func (f fleet) Draining(c ident.Centre) []ident.Instance {
	return f.seated(c, f.members.Leaving)
}

// seated returns those of a data centre's members that the table gives a seat
// there.
func (f fleet) seated(c ident.Centre, members func(ident.Centre) []ident.Instance) []ident.Instance {
	t := f.table()
	if t == nil {
		return nil
	}
	return slices.DeleteFunc(members(c), func(i ident.Instance) bool {
		s, ok := t.Seat(i)
		return !ok || s.Centre != c
	})
}

// Current reports whether n has not been superseded in its seat.
func (f fleet) Current(n ident.Node) bool {
	if n != f.self {
		return !f.members.Superseded(n)
	}
	select {
	case <-f.superseded:
		return false
	default:
		return true
	}
}

// AppliedEverywhere reports whether every seat, and every other process that is seen
// alive, is known to have the revision or a later one in force.
func (f fleet) AppliedEverywhere(revision uint64) bool {
	t := f.table()
	if t == nil {
		return false
	}
	seats := make([]ident.Instance, 0, len(t.Seats()))
	for _, s := range t.Seats() {
		seats = append(seats, s.Name)
	}
	return f.members.Everywhere(seats, revision)
}

// workers is the fleet as packages sched and sweep read it: all ready
// instances, whether they hold a seat or not.
type workers struct {
	*tables
	centre ident.Centre
}

// Live returns the ready instances of a data centre.
func (w workers) Live(c ident.Centre) []ident.Instance { return w.members.Live(c) }

// Instances returns the ready instances of the own data centre.
func (w workers) Instances() []ident.Instance { return w.members.Live(w.centre) }

// Servers returns the engines of the own data centre.
func (w workers) Servers() []ident.Server {
	t := w.table()
	if t == nil {
		return nil
	}
	var list []ident.Server
	for _, s := range t.Servers() {
		if s.Centre == w.centre && s.Kind == table.Engine {
			list = append(list, s.Name)
		}
	}
	return list
}
