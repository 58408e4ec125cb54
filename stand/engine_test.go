package stand_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

const model = ident.Model("dossier")

// bench is an engine with a fake clock and its client with the real clock.
type bench struct {
	t      *testing.T
	clock  *tick.Fake
	engine *stand.Engine
	client *engine.Client
	addr   string
}

// Address implements engine.Directory.
func (b *bench) Address(ident.Server) (string, bool) { return b.addr, true }

func newBench(t *testing.T, change func(cfg *stand.EngineConfig)) *bench {
	t.Helper()
	b := &bench{t: t, clock: tick.NewFake(0)}
	cfg := stand.EngineConfig{
		Server:       "e1",
		Models:       []engine.LoadedModel{{Model: model}},
		Timer:        b.clock,
		Places:       2,
		PrefillToken: time.Millisecond,
		TokenTime:    10 * time.Millisecond,
		Pieces:       pieces,
		CachePieces:  3,
	}
	change(&cfg)
	b.engine = stand.NewEngine(cfg)
	srv := httptest.NewServer(b.engine)
	b.addr = srv.Listener.Addr().String()
	b.client = engine.New(engine.Config{Clock: tick.NewReal(), Directory: b, StallTimeout: 10 * time.Second, CallTimeout: 10 * time.Second})
	t.Cleanup(func() {
		b.client.Close()
		b.engine.Kill()
		srv.Close()
		b.engine.Close()
	})
	return b
}

// pieces returns a block hash for every word.
func pieces(prompt string) []uint64 {
	var out []uint64
	h := uint64(7)
	for _, w := range strings.Fields(prompt) {
		h = h*31 + uint64(len(w))
		out = append(out, h)
	}
	return out
}

func attempt(serial uint64) ident.Attempt {
	return ident.Attempt{Node: ident.Node{Instance: "a", Incarnation: 1}, Serial: serial}
}

func (b *bench) reserve(serial uint64) (flow.Slot, error) {
	return b.client.Reserve(context.Background(), "e1", flow.ReserveRequest{Attempt: attempt(serial), Model: model, TTL: 5 * time.Second})
}

// prefill runs a prefill and advances the clock until it has ended.
func (b *bench) prefill(serial uint64, prompt string) (flow.KV, error) {
	type result struct {
		kv  flow.KV
		err error
	}
	c := make(chan result, 1)
	go func() {
		kv, err := b.client.Prefill(context.Background(), "e1", flow.PrefillRequest{Attempt: attempt(serial), Model: model, Prompt: prompt})
		c <- result{kv, err}
	}()
	real := tick.NewReal()
	for {
		select {
		case r := <-c:
			return r.kv, r.err
		default:
		}
		if b.engine.Counts().Prefills > 0 {
			b.clock.Advance(time.Millisecond)
		}
		_ = tick.Sleep(context.Background(), real, 100*time.Microsecond)
	}
}

// decoding prepares an attempt up to its decode.
func (b *bench) decoding(serial uint64, prompt string) {
	b.t.Helper()
	is := is.New(b.t)
	slot, err := b.reserve(serial)
	is.NoErr(err)
	kv, err := b.prefill(serial+1000, prompt)
	is.NoErr(err)
	is.NoErr(b.client.Import(context.Background(), "e1", flow.ImportRequest{Attempt: attempt(serial), Slot: slot.ID, KV: kv.Name, Source: "e1"}))
}

func TestEngineSlotsAreLimited(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	first, err := b.reserve(1)
	is.NoErr(err)
	again, err := b.reserve(1)
	is.NoErr(err)
	is.Equal(again, first) // idempotent
	_, err = b.reserve(2)
	is.NoErr(err)
	_, err = b.reserve(3)
	is.True(errors.Is(err, flow.ErrFull))
	is.Equal(fail.Outcome(err), ident.NotRun)

	n, err := b.client.Cancel(context.Background(), "e1", attempt(1), 0)
	is.NoErr(err)
	is.Equal(n, 1)
	_, err = b.reserve(3)
	is.NoErr(err)
	_, err = b.reserve(1)
	is.True(errors.Is(err, flow.ErrFull) || errors.Is(err, flow.ErrUnknownAttempt)) // a late call takes no slot
}

func TestEngineHoldsExpireWithoutContact(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newBench(t, func(*stand.EngineConfig) {})
	_, err := b.reserve(1)
	is.NoErr(err)
	_, err = b.reserve(2)
	is.NoErr(err)
	for range 4 {
		b.clock.Advance(2 * time.Second)
		gone, err := b.client.Touch(ctx, "e1", []ident.Attempt{attempt(1)})
		is.NoErr(err)
		is.Equal(len(gone), 0)
	}
	holds, err := b.client.Holds(ctx, "e1", 0)
	is.NoErr(err)
	is.Equal(len(holds), 1) // the second hold had no contact
	is.Equal(holds[0].Attempt, attempt(1))
	holds, err = b.client.Holds(ctx, "e1", time.Second)
	is.NoErr(err)
	is.Equal(len(holds), 0) // no hold was without contact for so long
	gone, err := b.client.Touch(ctx, "e1", []ident.Attempt{attempt(2)})
	is.NoErr(err)
	is.Equal(gone, []ident.Attempt{attempt(2)})
}

func TestEngineCancelSparesHoldsWithContact(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	_, err := b.reserve(1)
	is.NoErr(err)
	b.clock.Advance(3 * time.Second)
	n, err := b.client.Cancel(context.Background(), "e1", attempt(1), 3*time.Second)
	is.NoErr(err)
	is.Equal(n, 0)
	n, err = b.client.Cancel(context.Background(), "e1", attempt(1), 2*time.Second)
	is.NoErr(err)
	is.Equal(n, 1)
}

func TestEnginePrefixCacheAndEvents(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newBench(t, func(cfg *stand.EngineConfig) { cfg.EventGap = 2 })
	long := strings.Repeat("x", 8000)
	kv, err := b.prefill(1, "aa bbb "+long)
	is.NoErr(err)
	is.Equal(kv.CachedTokens, int64(0))
	kv, err = b.prefill(2, "aa bbb c"+long)
	is.NoErr(err)
	is.Equal(kv.CachedTokens, int64(2000)) // two blocks of a thousand tokens
	_, err = b.prefill(3, "dddd")
	is.NoErr(err)

	b.clock.Advance(time.Second)
	feed, err := b.client.Events(ctx, "e1", 0)
	is.NoErr(err)
	defer feed.Close()
	first, err := feed.Next()
	is.NoErr(err)
	is.Equal(first.Seq, uint64(1))
	is.Equal(first.Added, pieces("aa bbb "+long))
	second, err := feed.Next()
	is.NoErr(err)
	is.Equal(second.Seq, uint64(3))  // one event was lost
	is.Equal(len(second.Evicted), 1) // the capacity of the cache is limited
}

func TestEngineExportExpires(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	slot, err := b.reserve(1)
	is.NoErr(err)
	kv, err := b.prefill(2, "letter")
	is.NoErr(err)
	is.True(kv.TTL > 0 && kv.TTL <= 900*time.Millisecond)
	b.clock.Advance(time.Second)
	err = b.client.Import(context.Background(), "e1", flow.ImportRequest{Attempt: attempt(1), Slot: slot.ID, KV: kv.Name, Source: "e1"})
	is.True(errors.Is(err, flow.ErrKVGone))
}

func TestEngineStreamResumesAtOffset(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	const prompt = "[output=5] letter"
	tokens, _ := stand.Answer(prompt, 0)
	is.Equal(len(tokens), 5)
	b.decoding(1, prompt)
	read := func(offset int64, n int) []string {
		s, err := b.client.Stream(context.Background(), "e1", attempt(1), offset)
		is.NoErr(err)
		defer s.Close()
		var out []string
		for range n {
			ev, err := s.Next()
			is.NoErr(err)
			is.Equal(ev.Offset, offset+int64(len(out)))
			out = append(out, ev.Text)
		}
		return out
	}
	is.Equal(read(0, 1), tokens[:1])
	b.clock.Advance(time.Second)
	is.Equal(read(3, 2), tokens[3:])
	is.Equal(read(0, 5), tokens)
	_, err := b.client.Stream(context.Background(), "e1", attempt(1), 6)
	is.True(err != nil)
	is.Equal(b.engine.Counts().Decodes, int64(1))
	is.Equal(b.engine.Counts().Busy, 0) // a completed decode releases its slot
}

func TestEngineLoadReportLags(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(cfg *stand.EngineConfig) { cfg.ReportEvery = time.Second })
	before, err := b.client.Load(context.Background(), "e1")
	is.NoErr(err)
	_, err = b.reserve(1)
	is.NoErr(err)
	b.clock.Advance(900 * time.Millisecond)
	lagging, err := b.client.Load(context.Background(), "e1")
	is.NoErr(err)
	is.Equal(lagging.BusySlots, 0)
	is.Equal(lagging.Seq, before.Seq)
	is.Equal(lagging.AgeMS, int64(900))
	b.clock.Advance(100 * time.Millisecond)
	renewed, err := b.client.Load(context.Background(), "e1")
	is.NoErr(err)
	is.Equal(renewed.BusySlots, 1)
}

func TestEngineOrders(t *testing.T) {
	load := orders.Order{Server: "e1", Kind: orders.Load, Model: orders.Model{Name: "opinion"}, Fence: 5}
	older := orders.Order{Server: "e1", Kind: orders.Unload, Model: orders.Model{Name: "opinion"}, Fence: 4}
	for _, fencing := range []bool{true, false} {
		name := "ignores fences"
		if fencing {
			name = "checks fences"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			var store *stand.Store
			b := newBench(t, func(cfg *stand.EngineConfig) {
				cfg.Fencing = fencing
				store = stand.NewStore(cfg.Timer, time.Minute)
				cfg.Store = store
			})
			is.NoErr(b.client.Order(ctx, load))
			is.NoErr(b.client.Order(ctx, load))
			loads, _ := store.Loads()
			is.Equal(loads, 1) // a repeated order has no effect
			is.Equal(b.engine.Serves("opinion"), false)
			b.clock.Advance(time.Minute)
			is.Equal(b.engine.Serves("opinion"), true)
			err := b.client.Order(ctx, older)
			is.Equal(errors.Is(err, flow.ErrStaleFence), fencing)
			is.Equal(b.engine.Serves("opinion"), fencing)
			report, err := b.client.Load(ctx, "e1")
			is.NoErr(err)
			is.Equal(report.State("e1", 0).Fence > 0, fencing)
		})
	}
}

// TestEngineAnswersAgain guards against a client that takes the answer to the call before as its own.
func TestEngineAnswersAgain(t *testing.T) {
	ctx := context.Background()
	calls := []struct {
		name string
		path string
		call func(b *bench) error
	}{
		{"cancel", engine.PathCancel, func(b *bench) error { _, err := b.client.Cancel(ctx, "e1", attempt(1), 0); return err }},
		{"touch", engine.PathTouch, func(b *bench) error { _, err := b.client.Touch(ctx, "e1", []ident.Attempt{attempt(1)}); return err }},
		{"holds", engine.PathHolds, func(b *bench) error { _, err := b.client.Holds(ctx, "e1", 0); return err }},
		{"load", engine.PathLoad, func(b *bench) error { _, err := b.client.Load(ctx, "e1"); return err }},
	}
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, func(*stand.EngineConfig) {})
			for range 3 {
				is.NoErr(tt.call(b))
				b.engine.Inject(stand.Fault{Kind: stand.FaultAgain, Path: tt.path, N: 1})
				is.Equal(fail.Outcome(tt.call(b)), ident.Unknown)
			}
			is.NoErr(tt.call(b))
		})
	}
}
