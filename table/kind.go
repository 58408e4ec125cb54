package table

import (
	"time"

	"wasabidock.dev/dock/ident"
)

// kind describes one kind of row. The first ids columns identify a row.
type kind struct {
	name     string
	ids      int
	columns  []string
	optional []string
	add      func(*Table, cells)
}

// The bounds of numbers in a table.
const (
	maxWeight   = 1_000_000
	maxTokens   = 1_000_000_000_000
	maxPlaces   = 10_000
	maxPrompt   = 10_000_000
	maxBytes    = 1_000_000_000_000
	maxBody     = 64 << 20
	maxPriority = 100
	maxTarget   = 10 * time.Minute
	maxQueue    = 10 * time.Minute
	maxTimeout  = time.Hour
	maxKeyAge   = 24 * time.Hour
	minTarget   = time.Millisecond

	defaultKVBytes  = 64 << 10
	defaultTokenGap = 50 * time.Millisecond

	maxRowBytes  = 8 << 10
	maxFileBytes = 1 << 20
)

// kinds lists the kinds of rows in their canonical order.
var kinds = []*kind{
	{name: "centre", ids: 1, columns: []string{"name", "region"}, add: addCentre},
	{name: "seat", ids: 1, columns: []string{"name", "centre", "share"}, add: addSeat},
	{name: "link", ids: 2, columns: []string{"from", "to", "rate", "burst"}, add: addLink},
	{name: "class", ids: 1, columns: []string{"name", "first_token", "token_gap", "queue", "cross", "priority"}, add: addClass},
	{
		name: "model", ids: 1,
		columns:  []string{"name", "class", "piece_tokens", "max_prompt", "max_output", "kv_bytes"},
		optional: []string{"kv_bytes"},
		add:      addModel,
	},
	{name: "customer", ids: 1, columns: []string{"name", "weight", "rate", "burst"}, add: addCustomer},
	{name: "key", ids: 1, columns: []string{"hash", "customer"}, add: addKey},
	{
		name: "server", ids: 1,
		columns:  []string{"name", "centre", "kind", "role", "model", "service", "address", "places", "rate", "link", "fenced", "orders", "token_gap"},
		optional: []string{"role", "model", "service", "places", "rate", "link", "fenced", "orders", "token_gap"},
		add:      addServer,
	},
	{
		name: "route", ids: 1,
		columns:  []string{"name", "prefix", "service", "open", "idempotent", "timeout", "body_limit", "key_age", "home", "status"},
		optional: []string{"key_age", "home", "status"},
		add:      addRoute,
	},
	{
		name: "order", ids: 1,
		columns:  []string{"server", "model", "adapter", "version", "role"},
		optional: []string{"adapter", "version"},
		add:      addOrder,
	},
}

func kindOf(name string) *kind {
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	return nil
}

func (k *kind) required(column string) bool {
	for _, c := range k.optional {
		if c == column {
			return false
		}
	}
	return true
}

func (k *kind) position(column string) int {
	for i, c := range k.columns {
		if c == column {
			return i
		}
	}
	return -1
}

func addCentre(t *Table, d cells) {
	t.centres = append(t.centres, Centre{
		Name:   ident.Centre(d.name("name")),
		Region: ident.Region(d.name("region")),
	})
}

func addSeat(t *Table, d cells) {
	t.seats = append(t.seats, Seat{
		Name:   ident.Instance(d.name("name")),
		Centre: ident.Centre(d.name("centre")),
		Share:  d.count("share", 0, ShareUnit),
	})
}

func addLink(t *Table, d cells) {
	t.links = append(t.links, Link{
		From:  ident.Region(d.name("from")),
		To:    ident.Region(d.name("to")),
		Rate:  d.count("rate", 1, maxBytes),
		Burst: d.count("burst", 1, maxBytes),
	})
}

func addClass(t *Table, d cells) {
	t.classes = append(t.classes, Class{
		Name:       ident.Class(d.name("name")),
		FirstToken: d.span("first_token", minTarget, maxTarget),
		TokenGap:   d.span("token_gap", minTarget, maxTarget),
		Queue:      d.span("queue", 0, maxQueue),
		Cross:      d.flag("cross"),
		Priority:   int(d.count("priority", 0, maxPriority)),
	})
}

func addModel(t *Table, d cells) {
	t.models = append(t.models, Model{
		Name:         ident.Model(d.name("name")),
		DefaultClass: ident.Class(d.name("class")),
		PieceTokens:  d.count("piece_tokens", 1, maxPrompt),
		MaxPrompt:    d.count("max_prompt", 1, maxPrompt),
		MaxOutput:    d.count("max_output", 1, maxPrompt),
		KVBytes:      d.maybeCount("kv_bytes", 1, maxBytes, defaultKVBytes),
	})
}

func addCustomer(t *Table, d cells) {
	t.customers = append(t.customers, Customer{
		Name:   ident.Customer(d.name("name")),
		Weight: d.count("weight", 1, maxWeight),
		Rate:   d.count("rate", 1, maxTokens),
		Burst:  d.count("burst", 1, maxTokens),
	})
}

func addKey(t *Table, d cells) {
	t.addKey(keyRow{sum: d.sum("hash"), customer: ident.Customer(d.name("customer"))})
}

func addOrder(t *Table, d cells) {
	t.orders = append(t.orders, Order{
		Server:  ident.Server(d.name("server")),
		Model:   ident.Model(d.name("model")),
		Adapter: d.maybe("adapter"),
		Version: d.maybe("version"),
		Role:    d.role("role"),
	})
}
