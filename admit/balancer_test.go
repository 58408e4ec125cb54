package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

func server(id, centre, region string, st route.Stage) *route.Server {
	return &route.Server{ID: id, Service: "m", Addr: id + ":1", Centre: centre, Region: region, Stage: st}
}

var engine = &route.Engine{Slots: 8, KVTokens: 10_000}

func names(p *Placement) (prefill, decode string) {
	if p == nil {
		return "", ""
	}
	if p.Prefill != nil {
		prefill = p.Prefill.ID
	}
	return prefill, p.Decode.ID
}

func TestPlace(t *testing.T) {
	p1, p2 := server("p1", "a", "r", route.StagePrefill), server("p2", "b", "r", route.StagePrefill)
	d1, d2 := server("d1", "a", "r", route.StageDecode), server("d2", "b", "r", route.StageDecode)
	d3 := server("d3", "c", "abroad", route.StageDecode)
	both := server("x", "a", "r", route.StageBoth)
	all := []*route.Server{p1, p2, d1, d2, d3}
	const small = 1_000
	tests := []struct {
		name    string
		servers []*route.Server
		before  func(b *Balancer)
		closed  *route.Server // wants no request
		want    Request
		prefill string
		decode  string // "" for no place
	}{
		{name: "near", servers: all, prefill: "p1", decode: "d1"},
		{name: "prefill queue", servers: all, before: func(b *Balancer) { b.load(p1).peers.PrefillTokens = 9_000 }, prefill: "p2", decode: "d1"},
		{name: "both prefill queues", servers: all, before: func(b *Balancer) {
			b.load(p1).peers.PrefillTokens = 50_000
			b.load(p2).peers.PrefillTokens = 50_000
		}, decode: "d1"},
		{name: "both prefill queues, and time for them", servers: all, want: Request{Due: time.Minute}, before: func(b *Balancer) {
			b.load(p1).peers.PrefillTokens = 9_000
			b.load(p2).peers.PrefillTokens = 9_000
		}, prefill: "p1", decode: "d1"},
		{name: "memory of peers", servers: all, before: func(b *Balancer) { b.load(d1).peers.KVTokens = 9_000 }, prefill: "p1", decode: "d2"},
		{name: "full", servers: all, before: func(b *Balancer) { b.ServerFull(d1, 0) }, prefill: "p1", decode: "d2"},
		{name: "abroad last", servers: all, before: func(b *Balancer) {
			b.ServerFull(d1, 0)
			b.ServerFull(d2, 0)
		}, prefill: "p1", decode: "d3"},
		{name: "slots", servers: []*route.Server{p1, d1}, before: func(b *Balancer) { b.load(d1).peers.Running = 8 }},
		{name: "no room", servers: []*route.Server{p1, d1}, before: func(b *Balancer) { b.load(d1).peers.KVTokens = 9_500 }},
		{name: "closed, whatever else is known", servers: all, closed: d1, prefill: "p1", decode: "d2"},
		{name: "closed reader", servers: all, closed: p1, prefill: "p2", decode: "d1"},
		{name: "the last one is closed", servers: []*route.Server{p1, d1}, closed: d1},
		{name: "avoided", servers: all, want: Request{Avoid: []string{d1.Key(), p1.Key()}}, prefill: "p2", decode: "d2"},
		{name: "reads itself", servers: all, want: Request{LocalPrefill: true}, decode: "d1"},
		{name: "prompt is read", servers: all, want: Request{Prefilled: true}, decode: "d1"},
		{name: "one stage", servers: []*route.Server{both}, decode: "x"},
		{name: "no decode server", servers: []*route.Server{p1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBalancer(Config{Centre: "a", Region: "r", ClosedUntil: func(key string, _ tick.Instant) tick.Instant {
				if tt.closed != nil && key == tt.closed.Key() {
					return health.Forever
				}
				return 0
			}})
			if tt.before != nil {
				tt.before(b)
			}
			w := tt.want
			w.Prompt, w.Output = small, 100
			p, _ := b.Place(w, tt.servers, engine, 0)
			prefill, decode := names(p)
			is.Equal(prefill, tt.prefill)
			is.Equal(decode, tt.decode)
		})
	}
}

// TestSlow has a server not read a prompt in time: another gets the next
// prompts, and it is tried again later.
func TestSlow(t *testing.T) {
	is := is.New(t)
	p1, p2 := server("p1", "a", "r", route.StagePrefill), server("p2", "b", "r", route.StagePrefill)
	all := []*route.Server{p1, p2, server("d1", "a", "r", route.StageDecode)}
	b := NewBalancer(Config{Centre: "a", Region: "r"})
	reader := func(now tick.Instant) string {
		p, ok := b.Place(Request{Prompt: 2_500}, all, engine, now)
		is.True(ok)
		defer b.Release(p)
		name, _ := names(p)
		return name
	}
	p, _ := b.Place(Request{Prompt: 2_500}, all, engine, 0)
	is.Equal(p.Prefill, p1)
	b.PrefillSlow(p, 400*time.Millisecond, 400*time.Millisecond)
	b.Release(p)
	is.Equal(reader(time.Second), "p2")
	is.Equal(reader(10*time.Second), "p1")
}

// TestOpenConnectionsAreUsed prefers a server to which a connection is open while
// the load does not speak against it.
func TestOpenConnectionsAreUsed(t *testing.T) {
	p1, p2 := server("p1", "a", "r", route.StagePrefill), server("p2", "a", "r", route.StagePrefill)
	d1, d2 := server("d1", "a", "r", route.StageDecode), server("d2", "a", "r", route.StageDecode)
	all := []*route.Server{p1, p2, d1, d2}
	tests := []struct {
		name    string
		before  func(b *Balancer)
		prefill string
		decode  string
	}{
		{name: "idle", prefill: "p2", decode: "d2"},
		{name: "loaded", prefill: "p1", decode: "d1", before: func(b *Balancer) {
			b.load(p2).peers.PrefillTokens = 1_000
			b.load(d2).peers = Load{KVTokens: 4_000, Running: 1}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			open := func(addr string) bool { return addr == p2.Addr || addr == d2.Addr }
			b := NewBalancer(Config{Centre: "a", Region: "r", Connected: open})
			if tt.before != nil {
				tt.before(b)
			}
			p, ok := b.Place(Request{Prompt: 1_000, Output: 100}, all, engine, 0)
			is.True(ok)
			prefill, decode := names(p)
			is.Equal(prefill, tt.prefill)
			is.Equal(decode, tt.decode)
		})
	}
}

// TestUnusableServersAreTheLastResort prefers a server that failed over none.
func TestUnusableServersAreTheLastResort(t *testing.T) {
	is := is.New(t)
	d1, d2 := server("d1", "a", "r", route.StageDecode), server("d2", "a", "r", route.StageDecode)
	b := NewBalancer(Config{Centre: "a", Region: "r", Usable: func(k string, _ tick.Instant) bool { return k == d2.Key() }})
	p, ok := b.Place(Request{Prompt: 100}, []*route.Server{d1, d2}, engine, 0)
	is.True(ok)
	is.Equal(p.Decode, d2)
	p, ok = b.Place(Request{Prompt: 100}, []*route.Server{d1}, engine, 0)
	is.True(ok)
	is.Equal(p.Decode, d1)
}

func TestChargesAreGivenBack(t *testing.T) {
	is := is.New(t)
	p1, d1 := server("p1", "a", "r", route.StagePrefill), server("d1", "a", "r", route.StageDecode)
	b := NewBalancer(Config{Centre: "a", Region: "r"})
	w := Request{Prompt: 1_000, Output: 100}
	p, ok := b.Place(w, []*route.Server{p1, d1}, engine, 0)
	is.True(ok)
	is.Equal(b.OwnLoad()[route.Hash(p1.Key())], Load{PrefillTokens: 1_000})
	is.Equal(b.OwnLoad()[route.Hash(d1.Key())], Load{KVTokens: w.KVTokens(), Running: 1})
	b.PrefillDone(p, 100*time.Millisecond)
	b.PrefillDone(p, 100*time.Millisecond) // twice is harmless
	is.Equal(b.load(p1).reading, 0)
	is.True(b.load(p1).speed != speedDefault) // measured
	b.Release(p)
	is.Equal(len(b.OwnLoad()), 0)
	b.Prune(func(uint64) bool { return false })
	is.Equal(len(b.loads), 0)
}

func TestNeedIsWholeBlocks(t *testing.T) {
	for _, tt := range []struct{ prompt, output, want int }{{0, 0, 0}, {1, 0, 16}, {16, 0, 16}, {17, 0, 32}, {100, 200, 208}} {
		w := Request{Prompt: tt.prompt, Output: tt.output}
		if got := w.KVTokens(); got != tt.want {
			t.Errorf("%+v: need %d, want %d", tt, got, tt.want)
		}
	}
}

// TestRefusal has servers that could not run a request even if they were idle.
func TestRefusal(t *testing.T) {
	const ms = time.Millisecond
	d1, d2 := server("d1", "a", "r", route.StageDecode), server("d2", "a", "r", route.StageDecode)
	p1 := server("p1", "a", "r", route.StagePrefill)
	tests := []struct {
		name    string
		servers []*route.Server
		want    Request
		closed  map[string]tick.Instant
		retry   time.Duration // 0 for no refusal
	}{
		{name: "fits", servers: []*route.Server{d1}, want: Request{Prompt: 9_000}},
		{name: "larger than any memory", servers: []*route.Server{d1}, want: Request{Prompt: 11_000}, retry: retryLeast},
		{name: "nobody decodes", servers: []*route.Server{p1}, want: Request{Prompt: 100}, retry: retryLeast},
		{name: "avoided", servers: []*route.Server{d1}, want: Request{Avoid: []string{d1.Key()}}, retry: retryLeast},
		{
			name: "one is open", servers: []*route.Server{d1, d2},
			closed: map[string]tick.Instant{d1.Key(): 700 * ms},
		},
		{
			name: "all want nothing", servers: []*route.Server{p1, d1, d2},
			closed: map[string]tick.Instant{d1.Key(): 700 * ms, d2.Key(): 600 * ms}, retry: 500 * ms,
		},
		{
			name: "one leaves", servers: []*route.Server{d1, d2},
			closed: map[string]tick.Instant{d1.Key(): health.Forever, d2.Key(): 900 * ms}, retry: 800 * ms,
		},
		{
			name: "all leave", servers: []*route.Server{d1, d2},
			closed: map[string]tick.Instant{d1.Key(): health.Forever, d2.Key(): health.Forever}, retry: retryLeast,
		},
		{
			name: "tried and closed", servers: []*route.Server{d1, d2}, want: Request{Avoid: []string{d1.Key(), d2.Key()}},
			closed: map[string]tick.Instant{d1.Key(): 700 * ms, d2.Key(): 600 * ms}, retry: 500 * ms,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBalancer(Config{ClosedUntil: func(key string, _ tick.Instant) tick.Instant { return tt.closed[key] }})
			r := b.refusal(&tt.want, tt.servers, engine, 100*ms)
			is.Equal(r != nil, tt.retry > 0)
			if r != nil {
				is.Equal(r.RetryAfter(), tt.retry)
			}
		})
	}
}
