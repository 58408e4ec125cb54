package table

import (
	"encoding/binary"
	"sort"
	"strconv"

	"wasabidock.dev/dock/ident"
)

// build decodes the rows and checks the table as a whole.
func (c *checker) build(revision uint64) *Table {
	t := &Table{revision: revision, rows: c.rows}
	t.keys = make(map[uint64][]keyRow)
	for _, k := range kinds {
		rows := c.rows[k.name]
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].id() < rows[j].id() })
		for i, r := range rows {
			if i > 0 && rows[i-1].id() == r.id() {
				first := rows[i-1]
				c.fault(r, k.columns[0], "is there already in row "+strconv.Itoa(first.line)+" of "+c.files[first.file].Name)
			}
			k.add(t, cells{r, c})
		}
	}
	t.fill()
	c.checkShares(t)
	c.checkReferences(t)
	c.checkRoutes(t)
	c.checkOrders(t)
	c.checkPools(t)
	return t
}

func (t *Table) addKey(k keyRow) {
	slot := binary.BigEndian.Uint64(k.sum[:8])
	t.keys[slot] = append(t.keys[slot], k)
}

// fill builds the look-ups.
func (t *Table) fill() {
	t.centre = make(map[ident.Centre]Centre)
	for _, c := range t.centres {
		t.centre[c.Name] = c
	}
	t.seat = make(map[ident.Instance]Seat)
	t.seatsIn = make(map[ident.Centre][]Seat)
	for _, s := range t.seats {
		t.seat[s.Name] = s
		t.seatsIn[s.Centre] = append(t.seatsIn[s.Centre], s)
	}
	t.customer = make(map[ident.Customer]Customer)
	for _, c := range t.customers {
		t.customer[c.Name] = c
	}
	t.class = make(map[ident.Class]Class)
	for _, c := range t.classes {
		t.class[c.Name] = c
	}
	t.model = make(map[ident.Model]Model)
	for _, m := range t.models {
		t.model[m.Name] = m
	}
	t.linkPairs = make(map[linkPair]Link)
	for _, l := range t.links {
		t.linkPairs[linkPair{l.From, l.To}] = l
	}
	t.fillServers()
}

func (t *Table) fillServers() {
	t.server = make(map[ident.Server]Server)
	t.pools = make(map[pool][]Server)
	t.services = make(map[string][]Server)
	for _, s := range t.servers {
		t.server[s.Name] = s
		if s.Kind == Engine {
			p := pool{s.Centre, s.Model}
			t.pools[p] = append(t.pools[p], s)
			continue
		}
		t.services[s.Service] = append(t.services[s.Service], s)
	}
	t.order = make(map[ident.Server]Order)
	for _, o := range t.orders {
		t.order[o.Server] = o
	}
	t.byPrefix = append([]Route(nil), t.routes...)
	sort.SliceStable(t.byPrefix, func(i, j int) bool { return len(t.byPrefix[i].Prefix) > len(t.byPrefix[j].Prefix) })
}

// whole returns the place of a fault that concerns all rows of a kind: the
// first of them, or the first file if there is none.
func (c *checker) whole(kindName string) row {
	best := row{kind: kindOf(kindName)}
	for i, r := range c.rows[kindName] {
		if i == 0 || r.file < best.file || r.file == best.file && r.line < best.line {
			best.file, best.line = r.file, r.line
		}
	}
	return best
}

func (c *checker) checkShares(t *Table) {
	if len(c.files) == 0 {
		c.files = []File{{Name: "table"}}
	}
	var sum int64
	for _, s := range t.seats {
		sum += s.Share
	}
	if sum != ShareUnit {
		c.fault(c.whole("seat"), "share", "the shares of all seats must add up to "+
			strconv.FormatInt(ShareUnit, 10)+", they add up to "+strconv.FormatInt(sum, 10))
	}
}

// checkReferences checks that each cell that names another row names one that
// is there.
func (c *checker) checkReferences(t *Table) {
	regions := make(map[ident.Region]bool)
	for _, x := range t.centres {
		regions[x.Region] = true
	}
	references := []struct {
		kind, column, what string
		known              func(string) bool
	}{
		{"seat", "centre", "data centre", func(s string) bool { _, ok := t.centre[ident.Centre(s)]; return ok }},
		{"link", "from", "region", func(s string) bool { return regions[ident.Region(s)] }},
		{"link", "to", "region", func(s string) bool { return regions[ident.Region(s)] }},
		{"model", "class", "class", func(s string) bool { _, ok := t.class[ident.Class(s)]; return ok }},
		{"key", "customer", "customer", func(s string) bool { _, ok := t.customer[ident.Customer(s)]; return ok }},
		{"server", "centre", "data centre", func(s string) bool { _, ok := t.centre[ident.Centre(s)]; return ok }},
		{"server", "model", "model", func(s string) bool { _, ok := t.model[ident.Model(s)]; return ok }},
		{"route", "service", "service of any server", func(s string) bool { return len(t.services[s]) > 0 }},
		{"route", "home", "data centre", func(s string) bool { _, ok := t.centre[ident.Centre(s)]; return ok }},
		{"order", "server", "server", func(s string) bool { _, ok := t.server[ident.Server(s)]; return ok }},
		{"order", "model", "model", func(s string) bool { _, ok := t.model[ident.Model(s)]; return ok }},
	}
	for _, ref := range references {
		for _, r := range c.rows[ref.kind] {
			if v := (cells{r, c}).text(ref.column); v != "" && !ref.known(v) {
				c.fault(r, ref.column, quote(v)+" is no "+ref.what+" of the table")
			}
		}
	}
}

func (c *checker) checkRoutes(t *Table) {
	first := make(map[string]ident.Route)
	for i, route := range t.routes {
		r := c.rows["route"][i]
		if other, ok := first[route.Prefix]; ok {
			c.fault(r, "prefix", quote(route.Prefix)+" is the prefix of route "+quote(string(other))+" too")
			continue
		}
		first[route.Prefix] = route.Name
		if home := route.Home; home != "" && len(t.seatsIn[home]) == 0 {
			c.fault(r, "home", quote(string(home))+" has no seats")
		}
	}
	for i, l := range t.links {
		if l.From == l.To {
			c.fault(c.rows["link"][i], "to", "a link leads to another region")
		}
	}
}

func (c *checker) checkOrders(t *Table) {
	for i, o := range t.orders {
		if s, ok := t.server[o.Server]; ok && !s.Orders {
			c.fault(c.rows["order"][i], "server", quote(string(o.Server))+" takes no orders")
		}
	}
}

// checkPools checks that each model that has engines keeps a prefill and a
// decode engine in one data centre, before and after the orders.
func (c *checker) checkPools(t *Table) {
	now, then := make(roles), make(roles)
	for _, s := range t.servers {
		if s.Kind != Engine {
			continue
		}
		now.add(s.Centre, s.Model, s.Role)
		if o, ok := t.order[s.Name]; ok {
			then.add(s.Centre, o.Model, o.Role)
			continue
		}
		then.add(s.Centre, s.Model, s.Role)
	}
	for i, m := range t.models {
		r := c.rows["model"][i]
		switch {
		case !now.has(m.Name):
		case !now.paired(m.Name):
			c.fault(r, "name", "no data centre has both a prefill and a decode engine")
		case !then.paired(m.Name):
			c.fault(r, "name", "the orders leave no data centre with both a prefill and a decode engine")
		}
	}
}

// roles counts the engines of each pool by role.
type roles map[pool]map[Role]int

func (r roles) add(c ident.Centre, m ident.Model, role Role) {
	p := pool{c, m}
	if r[p] == nil {
		r[p] = make(map[Role]int)
	}
	r[p][role]++
}

func (r roles) has(m ident.Model) bool {
	for p := range r {
		if p.model == m {
			return true
		}
	}
	return false
}

func (r roles) paired(m ident.Model) bool {
	for p, n := range r {
		if p.model == m && n[Prefill] > 0 && n[Decode] > 0 {
			return true
		}
	}
	return false
}
