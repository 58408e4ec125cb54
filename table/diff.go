package table

import (
	"sort"
	"strconv"
	"strings"

	"wasabidock.dev/dock/ident"
)

// Change is one difference between two tables.
type Change struct {
	Kind    string
	ID      string
	Removed bool
	Added   bool
	Cells   []CellChange // of a row that is in both
}

// CellChange is one cell that differs.
type CellChange struct {
	Column, From, To string
}

// String returns one sentence.
func (c Change) String() string {
	s := c.Kind + " " + c.ID
	switch {
	case c.Added:
		return s + " is added"
	case c.Removed:
		return s + " is removed"
	}
	var cells []string
	for _, cell := range c.Cells {
		cells = append(cells, cell.Column+" "+orEmpty(cell.From)+" → "+orEmpty(cell.To))
	}
	return s + ": " + strings.Join(cells, ", ")
}

func orEmpty(s string) string {
	if s == "" {
		return "(empty)"
	}
	return s
}

// Diff returns what changes from one table to another, by kind and name.
func Diff(from, to *Table) []Change {
	var out []Change
	for _, k := range kinds {
		out = append(out, diffKind(k, byID(from.rows[k.name]), byID(to.rows[k.name]))...)
	}
	return out
}

func byID(rows []row) map[string]row {
	out := make(map[string]row, len(rows))
	for _, r := range rows {
		out[r.id()] = r
	}
	return out
}

func diffKind(k *kind, from, to map[string]row) []Change {
	var out []Change
	for id, old := range from {
		if now, ok := to[id]; ok {
			if cells := diffCells(k, old, now); len(cells) > 0 {
				out = append(out, Change{Kind: k.name, ID: shownID(old), Cells: cells})
			}
			continue
		}
		out = append(out, Change{Kind: k.name, ID: shownID(old), Removed: true})
	}
	for id, now := range to {
		if _, ok := from[id]; !ok {
			out = append(out, Change{Kind: k.name, ID: shownID(now), Added: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func diffCells(k *kind, from, to row) []CellChange {
	var out []CellChange
	for i, column := range k.columns {
		if from.cells[i] != to.cells[i] {
			out = append(out, CellChange{column, from.cells[i], to.cells[i]})
		}
	}
	return out
}

const shownSum = len(sumPrefix) + 12

// shownID names a row for people: a key by its customer and the start of its
// hash.
func shownID(r row) string {
	if r.kind.name == "key" {
		return "of " + r.cells[r.kind.position("customer")] + " " + r.id()[:shownSum] + "…"
	}
	return r.id()
}

// Warnings returns what an operator should know before the change is
// published. None of it makes the table bad.
func Warnings(from, to *Table) []string {
	out := shareWarnings(from, to)
	out = append(out, homeWarnings(from, to)...)
	return append(out, customerWarnings(from, to)...)
}

// shareWarnings tells of shares that grow and shrink in one revision.
func shareWarnings(from, to *Table) []string {
	var grow, shrink []string
	for _, s := range to.Seats() {
		old := from.seat[s.Name]
		if s.Share > old.Share {
			grow = append(grow, string(s.Name))
		}
	}
	for _, s := range from.Seats() {
		if s.Share > to.seat[s.Name].Share {
			shrink = append(shrink, string(s.Name))
		}
	}
	if len(grow) == 0 || len(shrink) == 0 {
		return nil
	}
	return []string{"share: " + list(grow) + " grows while " + list(shrink) +
		" shrinks: until all instances have the revision, customers get less than their rate"}
}

// homeWarnings tells of routes whose calls with an idempotency key move to
// other seats.
func homeWarnings(from, to *Table) []string {
	var out []string
	for _, now := range to.Routes() {
		old, ok := from.route(now.Name)
		if !ok || old.KeyAge == 0 {
			continue
		}
		if old.Home != now.Home || !sameSeats(from, to, now.Home) {
			out = append(out, "route "+string(now.Name)+": the seats that run calls with a key change: a key that is used before and after the change may be refused as unknown for "+old.KeyAge.String())
		}
		if !old.Idempotent && now.Idempotent {
			out = append(out, "route "+string(now.Name)+": calls may be repeated from now on")
		}
	}
	return out
}

func (t *Table) route(name ident.Route) (Route, bool) {
	for _, r := range t.routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// sameSeats reports whether a data centre, or the whole fleet for an empty
// name, has the same seats in both tables.
func sameSeats(a, b *Table, c ident.Centre) bool {
	x, y := a.seats, b.seats
	if c != "" {
		x, y = a.SeatsIn(c), b.SeatsIn(c)
	}
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Name != y[i].Name {
			return false
		}
	}
	return true
}

// customerWarnings tells of customers that cannot use what they have.
func customerWarnings(from, to *Table) []string {
	var largest int64
	for _, m := range to.Models() {
		largest = max(largest, m.MaxPrompt+m.MaxOutput)
	}
	had, has := from.keysOf(), to.keysOf()
	var out []string
	for _, c := range to.Customers() {
		if c.Burst < largest {
			out = append(out, "customer "+string(c.Name)+": its burst of "+strconv.FormatInt(c.Burst, 10)+
				" tokens is less than the largest request of "+strconv.FormatInt(largest, 10)+", which is never admitted")
		}
		if has[c.Name] == 0 && had[c.Name] > 0 {
			out = append(out, "customer "+string(c.Name)+": its last key is withdrawn")
		}
	}
	return out
}

func (t *Table) keysOf() map[ident.Customer]int {
	out := make(map[ident.Customer]int)
	for _, slot := range t.keys {
		for _, k := range slot {
			out[k.customer]++
		}
	}
	return out
}

const listedNames = 3

func list(names []string) string {
	if len(names) > listedNames {
		return strings.Join(names[:listedNames], ", ") + " and " + strconv.Itoa(len(names)-listedNames) + " more"
	}
	return strings.Join(names, ", ")
}
