package replay

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

// Trace is a recorded load and the pool that it was recorded for.
type Trace struct {
	Name      string
	Centre    ident.Centre
	Model     ident.Model
	KVBytes   int64
	Length    time.Duration
	Servers   []Server
	Classes   []pool.Class
	Customers []Customer
	Events    []Event
	Requests  []Request
}

// Server is a backend server with the size of its prefix cache.
type Server struct {
	place.Server
	CachedBlocks int
}

// Customer is a customer with its weight and its limit in tokens.
type Customer struct {
	Name   ident.Customer
	Weight float64
	Rate   float64
	Burst  float64
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventDepart EventKind = "depart"
	EventSilent EventKind = "silent"
	EventStall  EventKind = "stall"
	EventLoss   EventKind = "loss"
)

// Event is a fault or a change of a server during the replay.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Server ident.Server
	For    time.Duration
}

// Request is one request of the trace.
type Request struct {
	At             time.Duration
	Customer       ident.Customer
	Class          ident.Class
	Prompt         int64
	MaxOutput      int64
	Output         int64
	Preamble       uint64
	PreambleTokens int64
	CancelAfter    time.Duration
}

// Read parses a trace.
func Read(r io.Reader) (*Trace, error) {
	cr := csv.NewReader(r)
	cr.Comment = '#'
	cr.FieldsPerRecord = -1
	cr.ReuseRecord = true
	t := &Trace{}
	for {
		rec, err := cr.Read()
		if errors.Is(err, io.EOF) {
			return t, t.check()
		}
		if err != nil {
			return nil, errors.Wrap(err, "read trace")
		}
		p := record{f: rec}
		t.add(&p)
		if p.err != nil {
			line, _ := cr.FieldPos(0)
			return nil, errors.Wrapf(p.err, "trace line %d", line)
		}
	}
}

func (t *Trace) add(p *record) {
	switch kind := p.text(0); kind {
	case "pool":
		t.Name = p.text(1)
		t.Centre = ident.Centre(p.text(2))
		t.Model = ident.Model(p.text(3))
		t.KVBytes = p.number(4)
		t.Length = p.millis(5)
	case "server":
		t.Servers = append(t.Servers, p.server())
	case "class":
		t.Classes = append(t.Classes, pool.Class{
			Name:             ident.Class(p.text(1)),
			FirstTokenTarget: p.millis(2),
			GapTarget:        p.millis(3),
			Deferrable:       p.text(4) == "patient",
		})
	case "customer":
		t.Customers = append(t.Customers, Customer{
			Name:   ident.Customer(p.text(1)),
			Weight: p.float(2),
			Rate:   p.float(3),
			Burst:  p.float(4),
		})
	case "event":
		t.Events = append(t.Events, Event{
			At:     p.millis(1),
			Kind:   EventKind(p.text(2)),
			Server: ident.Server(p.text(3)),
			For:    p.millis(4),
		})
	case "request":
		t.Requests = append(t.Requests, Request{
			At:             p.millis(1),
			Customer:       ident.Customer(p.text(2)),
			Class:          ident.Class(p.text(3)),
			Prompt:         p.number(4),
			MaxOutput:      p.number(5),
			Output:         p.number(6),
			Preamble:       uint64(p.number(7)),
			PreambleTokens: p.number(8),
			CancelAfter:    p.millis(9),
		})
	default:
		p.err = errors.Errorf("unknown kind of record %q", kind)
	}
}

func (t *Trace) check() error {
	switch {
	case t.Length <= 0:
		return errors.New("trace has no pool record")
	case len(t.Requests) == 0:
		return errors.New("trace has no requests")
	case len(t.Servers) == 0:
		return errors.New("trace has no servers")
	case len(t.Classes) == 0:
		return errors.New("trace has no classes")
	case len(t.Customers) == 0:
		return errors.New("trace has no customers")
	}
	known := make(map[ident.Customer]bool)
	for _, c := range t.Customers {
		known[c.Name] = true
	}
	for _, r := range t.Requests {
		if !known[r.Customer] {
			return errors.Errorf("request of unknown customer %q", r.Customer)
		}
	}
	return nil
}

// record reads the fields of one line and keeps the first error.
type record struct {
	f   []string
	err error
}

func (p *record) text(i int) string {
	if i >= len(p.f) {
		p.keep(errors.Errorf("field %d is missing", i+1))
		return ""
	}
	return p.f[i]
}

func (p *record) number(i int) int64 {
	n, err := strconv.ParseInt(p.text(i), 10, 64)
	if err == nil && n < 0 {
		err = errors.Errorf("%d is negative", n)
	}
	p.keep(err)
	return n
}

func (p *record) float(i int) float64 {
	n, err := strconv.ParseFloat(p.text(i), 64)
	p.keep(err)
	return n
}

func (p *record) millis(i int) time.Duration {
	return time.Duration(p.number(i)) * time.Millisecond
}

func (p *record) keep(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *record) server() Server {
	s := Server{}
	s.Name = ident.Server(p.text(1))
	switch p.text(2) {
	case "prefill":
		s.Role = place.RolePrefill
	case "decode":
		s.Role = place.RoleDecode
	default:
		p.keep(errors.Errorf("unknown role %q", p.text(2)))
	}
	s.Slots = int(p.number(3))
	s.PrefillRate = float64(p.number(4))
	s.TokenInterval = p.millis(5)
	s.LinkBandwidth = float64(p.number(6))
	s.CachedBlocks = int(p.number(7))
	return s
}

// Write writes the trace in the form that Read reads.
func (t *Trace) Write(w io.Writer) error {
	cw := csv.NewWriter(w)
	put := func(f ...string) { _ = cw.Write(f) } // the error is kept for cw.Error
	put("pool", t.Name, string(t.Centre), string(t.Model), digits(t.KVBytes), millis(t.Length))
	for _, s := range t.Servers {
		role := "prefill"
		if s.Role == place.RoleDecode {
			role = "decode"
		}
		put("server", string(s.Name), role, digits(int64(s.Slots)), digits(int64(s.PrefillRate)),
			millis(s.TokenInterval), digits(int64(s.LinkBandwidth)), digits(int64(s.CachedBlocks)))
	}
	for _, c := range t.Classes {
		kind := "prompt"
		if c.Deferrable {
			kind = "patient"
		}
		put("class", string(c.Name), millis(c.FirstTokenTarget), millis(c.GapTarget), kind)
	}
	for _, c := range t.Customers {
		put("customer", string(c.Name), decimal(c.Weight), decimal(c.Rate), decimal(c.Burst))
	}
	for _, e := range t.Events {
		put("event", millis(e.At), string(e.Kind), string(e.Server), millis(e.For))
	}
	for i := range t.Requests {
		r := &t.Requests[i]
		put("request", millis(r.At), string(r.Customer), string(r.Class), digits(r.Prompt), digits(r.MaxOutput),
			digits(r.Output), digits(int64(r.Preamble)), digits(r.PreambleTokens), millis(r.CancelAfter))
	}
	cw.Flush()
	if err := cw.Error(); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return nil
}

func digits(n int64) string         { return strconv.FormatInt(n, 10) }
func millis(d time.Duration) string { return digits(d.Milliseconds()) }
func decimal(f float64) string      { return strconv.FormatFloat(f, 'f', -1, 64) }
