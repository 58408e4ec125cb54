package table

import (
	"crypto/subtle"
	"encoding/binary"
	"strings"

	"wasabidock.dev/dock/ident"
)

// Table is one revision of the published table. The slices that its methods
// return are shared and must not be changed.
type Table struct {
	revision  uint64
	rows      map[string][]row // by kind, in canonical order
	centres   []Centre
	seats     []Seat
	customers []Customer
	classes   []Class
	models    []Model
	servers   []Server
	routes    []Route
	links     []Link
	orders    []Order
	index
}

// index holds the look-ups of a table.
type index struct {
	centre    map[ident.Centre]Centre
	seat      map[ident.Instance]Seat
	customer  map[ident.Customer]Customer
	class     map[ident.Class]Class
	model     map[ident.Model]Model
	server    map[ident.Server]Server
	order     map[ident.Server]Order
	seatsIn   map[ident.Centre][]Seat
	pools     map[pool][]Server
	services  map[string][]Server
	keys      map[uint64][]keyRow // by the first eight bytes of the sum
	byPrefix  []Route             // longest prefix first
	linkPairs map[linkPair]Link
}

type pool struct {
	centre ident.Centre
	model  ident.Model
}

type linkPair struct {
	from, to ident.Region
}

type keyRow struct {
	sum      [32]byte
	customer ident.Customer
}

// Revision returns the revision, which only grows.
func (t *Table) Revision() uint64 { return t.revision }

// Centres returns the data centres by name.
func (t *Table) Centres() []Centre { return t.centres }

// Centre returns the named data centre.
func (t *Table) Centre(name ident.Centre) (Centre, bool) {
	c, ok := t.centre[name]
	return c, ok
}

// Seats returns all seats by name.
func (t *Table) Seats() []Seat { return t.seats }

// Seat returns the named seat.
func (t *Table) Seat(name ident.Instance) (Seat, bool) {
	s, ok := t.seat[name]
	return s, ok
}

// SeatsIn returns the seats of a data centre by name.
func (t *Table) SeatsIn(c ident.Centre) []Seat { return t.seatsIn[c] }

// Customers returns all customers by name.
func (t *Table) Customers() []Customer { return t.customers }

// Customer returns the named customer.
func (t *Table) Customer(name ident.Customer) (Customer, bool) {
	c, ok := t.customer[name]
	return c, ok
}

// KeyOwner returns the customer whose key has the given SHA-256 sum.
func (t *Table) KeyOwner(sum [32]byte) (ident.Customer, bool) {
	for _, k := range t.keys[binary.BigEndian.Uint64(sum[:8])] {
		if subtle.ConstantTimeCompare(k.sum[:], sum[:]) == 1 {
			return k.customer, true
		}
	}
	return "", false
}

// Classes returns all latency classes by name.
func (t *Table) Classes() []Class { return t.classes }

// Class returns the named latency class.
func (t *Table) Class(name ident.Class) (Class, bool) {
	c, ok := t.class[name]
	return c, ok
}

// Models returns all models by name.
func (t *Table) Models() []Model { return t.models }

// Model returns the named model.
func (t *Table) Model(name ident.Model) (Model, bool) {
	m, ok := t.model[name]
	return m, ok
}

// Servers returns all backend servers by name.
func (t *Table) Servers() []Server { return t.servers }

// Server returns the named backend server.
func (t *Table) Server(name ident.Server) (Server, bool) {
	s, ok := t.server[name]
	return s, ok
}

// ServersOf returns the engines of a model in a data centre by name.
func (t *Table) ServersOf(c ident.Centre, m ident.Model) []Server {
	return t.pools[pool{c, m}]
}

// Services returns the backend servers of a set of plain services by name.
func (t *Table) Services(name string) []Server { return t.services[name] }

// Routes returns all routes by name.
func (t *Table) Routes() []Route { return t.routes }

// RouteFor returns the route with the longest prefix of path. A prefix ends
// at a slash or at the end of the path.
func (t *Table) RouteFor(path string) (Route, bool) {
	for _, r := range t.byPrefix {
		if r.covers(path) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, r.Prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/"))
}

// Links returns the paid links between regions.
func (t *Table) Links() []Link { return t.links }

// Link returns the link between two regions.
func (t *Table) Link(from, to ident.Region) (Link, bool) {
	l, ok := t.linkPairs[linkPair{from, to}]
	return l, ok
}

// Orders returns what the engines that take orders are meant to run.
func (t *Table) Orders() []Order { return t.orders }

// Order returns what the named server is meant to run.
func (t *Table) Order(s ident.Server) (Order, bool) {
	o, ok := t.order[s]
	return o, ok
}
