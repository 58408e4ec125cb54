package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
)

// Shape describes the load of a deployment, from which Generate draws a trace.
type Shape struct {
	Name       string
	Centre     ident.Centre
	Model      ident.Model
	Length     time.Duration
	Prefill    int           // prefill servers
	Decode     int           // decode servers
	Rate       float64       // prompt tokens per second of a prefill server
	TokenTime  time.Duration // token interval with all slots taken
	Customers  []ShapeCustomer
	Preambles  int
	Preamble   int64   // tokens
	Patient    float64 // fraction of the requests that are in the deferrable class
	LongBody   int64   // median body of a patient request, tokens
	ShortBody  int64   // median body of the other requests
	LongOutput int64   // mean output of a patient request
	Output     int64   // mean output of the other requests
	Cancelled  float64 // fraction of the requests that callers cancel
	Events     []Event
}

// ShapeCustomer is a customer that sends Times its rate. The rates are
// proportional to the weights.
type ShapeCustomer struct {
	Name   ident.Customer
	Weight float64
	Times  float64
}

const (
	decodeSlots  = 20
	kvBytes      = 100 << 10
	linkRate     = 10 << 30
	cachedBlocks = 1000
	// burstTime is the burst of a customer divided by its rate.
	burstTime = 20 * time.Second
)

// ErrShape means that there is no shape with the given name.
var ErrShape = errors.New("unknown shape")

// Shapes returns the shapes of both deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "intercambio", Centre: "sierra-a", Model: "dossier", Length: time.Minute,
			Prefill: 7, Decode: 13, Rate: 20000, TokenTime: 50 * time.Millisecond,
			Customers: []ShapeCustomer{
				{"quito", 4, 1}, {"cuenca", 3, 1}, {"loja", 2, 1}, {"manta", 1, 5}, {"ambato", 1, 1},
			},
			Preambles: 3, Preamble: 2000, Patient: 0.6, LongBody: 4500, ShortBody: 700,
			LongOutput: 140, Output: 160, Cancelled: 0.02,
			Events: []Event{
				{At: 20 * time.Second, Kind: EventDepart, Server: "p3"},
				{At: 30 * time.Second, Kind: EventSilent, Server: "p1"},
				{At: 40 * time.Second, Kind: EventStall, Server: "d2", For: 3 * time.Second},
			},
		},
		{
			Name: "koperasi", Centre: "bandung", Model: "opinion", Length: time.Minute,
			Prefill: 4, Decode: 6, Rate: 16000, TokenTime: 55 * time.Millisecond,
			Customers: []ShapeCustomer{
				{"kota", 3, 1}, {"utara", 3, 1}, {"selatan", 2, 1}, {"pesisir", 1, 5}, {"desa", 1, 1},
			},
			Preambles: 2, Preamble: 1000, Patient: 0.4, LongBody: 3500, ShortBody: 1200,
			LongOutput: 180, Output: 140, Cancelled: 0.02,
			Events: []Event{
				{At: 20 * time.Second, Kind: EventDepart, Server: "p2"},
				{At: 30 * time.Second, Kind: EventSilent, Server: "p1"},
				{At: 40 * time.Second, Kind: EventStall, Server: "d2", For: 3 * time.Second},
			},
		},
	}
}

// ShapeOf returns the shape with the name.
func ShapeOf(name string) (Shape, error) {
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, errors.Wrapf(ErrShape, "%q", name)
}

// Generate returns a random trace that at load one takes the whole capacity of the
// scarcer of prefill and decode, with full batches and all preambles cached.
func Generate(s Shape, seed uint64) *Trace {
	g := generator{shape: s, rnd: rand.New(rand.NewPCG(seed, 0))}
	t := g.header()
	g.requests(t)
	return t
}

type generator struct {
	shape Shape
	rnd   *rand.Rand
}

func (g *generator) header() *Trace {
	s := &g.shape
	t := &Trace{Name: s.Name, Centre: s.Centre, Model: s.Model, KVBytes: kvBytes, Length: s.Length, Events: s.Events}
	for i := range s.Prefill {
		t.Servers = append(t.Servers, Server{
			Server: place.Server{
				Name: ident.Server(fmt.Sprintf("p%d", i+1)), Role: place.RolePrefill,
				PrefillRate: s.Rate, LinkBandwidth: linkRate,
			},
			CachedBlocks: cachedBlocks,
		})
	}
	for i := range s.Decode {
		t.Servers = append(t.Servers, Server{
			Server: place.Server{
				Name: ident.Server(fmt.Sprintf("d%d", i+1)), Role: place.RoleDecode,
				Slots: decodeSlots, TokenInterval: s.TokenTime, LinkBandwidth: linkRate,
			},
		})
	}
	t.Classes = []pool.Class{
		{Name: "interactive", FirstTokenTarget: 1200 * time.Millisecond, GapTarget: 77 * time.Millisecond},
		{Name: "patient", FirstTokenTarget: 20 * time.Second, GapTarget: 150 * time.Millisecond, Deferrable: true},
	}
	return t
}

// requests adds random requests until they take the capacity for the length of
// the trace.
func (g *generator) requests(t *Trace) {
	s := &g.shape
	var parts []float64
	var sum float64
	for _, c := range s.Customers {
		sum += c.Weight * c.Times
		parts = append(parts, sum)
	}
	var prefill, decode float64 // seconds of the whole pool
	for max(prefill, decode) < s.Length.Seconds() {
		r := g.request()
		x := g.rnd.Float64() * sum
		r.Customer = s.Customers[sort.SearchFloat64s(parts, x)].Name
		r.At = time.Duration(g.rnd.Float64() * float64(s.Length)).Truncate(time.Millisecond)
		t.Requests = append(t.Requests, r)
		prefill += float64(r.Prompt-r.PreambleTokens) / s.Rate / float64(s.Prefill)
		decode += float64(r.Output) * s.TokenTime.Seconds() / float64(s.Decode*decodeSlots)
	}
	sort.SliceStable(t.Requests, func(i, j int) bool { return t.Requests[i].At < t.Requests[j].At })
	g.limits(t, sum)
}

// limits sets the rate of each customer: the one at which it sends at load one,
// divided by Times.
func (g *generator) limits(t *Trace, sum float64) {
	var tokens float64
	for i := range t.Requests {
		tokens += float64(t.Requests[i].Prompt + t.Requests[i].Output)
	}
	rate := tokens / t.Length.Seconds()
	for _, c := range g.shape.Customers {
		part := math.Round(rate * c.Weight / sum)
		t.Customers = append(t.Customers, Customer{
			Name:   c.Name,
			Weight: c.Weight,
			Rate:   part,
			Burst:  math.Round(part * burstTime.Seconds()),
		})
	}
}

func (g *generator) request() Request {
	s := &g.shape
	r := Request{
		Class:          "interactive",
		Preamble:       uint64(g.rnd.IntN(s.Preambles) + 1),
		PreambleTokens: s.Preamble,
	}
	body, output := s.ShortBody, s.Output
	if g.rnd.Float64() < s.Patient {
		r.Class = "patient"
		body, output = s.LongBody, s.LongOutput
	}
	r.Prompt = r.PreambleTokens + min(int64(float64(body)*math.Exp(0.6*g.rnd.NormFloat64())), 6*body)
	r.Output = max(8, min(int64(float64(output)*math.Exp(0.5*g.rnd.NormFloat64()-0.125)), 4*output))
	r.MaxOutput = 4 * output
	if g.rnd.Float64() < s.Cancelled {
		r.CancelAfter = time.Duration(100+g.rnd.IntN(5000)) * time.Millisecond
	}
	return r
}
