package stand_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

// pump advances the fake clock until every call has ended, and returns the time
// by which it has advanced.
func (b *bench) pump(calls ...<-chan error) time.Duration {
	b.t.Helper()
	real := tick.NewReal()
	begin := b.clock.Now()
	for _, c := range calls {
		for ended := false; !ended; {
			select {
			case err := <-c:
				if err != nil {
					b.t.Error(err)
				}
				ended = true
			default:
				b.clock.Advance(time.Millisecond)
				_ = tick.Sleep(context.Background(), real, 200*time.Microsecond)
			}
		}
	}
	return b.clock.Now() - begin
}

// async runs a call in the background.
func async(call func() error) <-chan error {
	c := make(chan error, 1)
	go func() { c <- call() }()
	return c
}

// awaitQueue waits until the engine has received n prefills.
func (b *bench) awaitQueue(n int) {
	b.t.Helper()
	real := tick.NewReal()
	for len(b.engine.Holds()) < n {
		if real.Now() > 10*time.Second {
			b.t.Fatalf("%d prefills did not arrive", n)
		}
		_ = tick.Sleep(context.Background(), real, time.Millisecond)
	}
}

func TestEnginePrefillsByPriority(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	exports := make(map[int]int) // number of the export, by priority
	var mu sync.Mutex
	submit := func(serial uint64, priority int) <-chan error {
		return async(func() error {
			kv, err := b.client.Prefill(context.Background(), "e1", flow.PrefillRequest{
				Attempt:  attempt(serial),
				Model:    model,
				Prompt:   "a letter that takes its time",
				Priority: priority,
			})
			mu.Lock()
			defer mu.Unlock()
			exports[priority], _ = strconv.Atoi(strings.TrimPrefix(kv.Name, "e1-kv-"))
			return err
		})
	}
	first := submit(1, 5)
	b.awaitQueue(1)
	second := submit(2, 9)
	b.awaitQueue(2)
	third := submit(3, 1)
	b.awaitQueue(3)
	b.pump(first, second, third)
	is.True(exports[5] < exports[1]) // the running prefill is not interrupted
	is.True(exports[1] < exports[9])
}

func TestEngineSkipsReleasedPrefills(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(*stand.EngineConfig) {})
	prefill := func(serial uint64) <-chan error {
		return async(func() error {
			_, err := b.client.Prefill(context.Background(), "e1", flow.PrefillRequest{Attempt: attempt(serial), Model: model, Prompt: "letter"})
			return err
		})
	}
	first := prefill(1)
	b.awaitQueue(1)
	second := prefill(2)
	b.awaitQueue(2)
	_, err := b.client.Cancel(context.Background(), "e1", attempt(2), 0)
	is.NoErr(err)
	b.pump(first)
	is.True(<-second != nil)
	is.Equal(b.engine.Counts().Prefills, int64(1)) // the released prefill was never started
}

func TestTransfersShareTheLink(t *testing.T) {
	const alone = 100 * time.Millisecond
	tests := []struct {
		name      string
		transfers uint64
		least     time.Duration
	}{
		{"one transfer", 1, alone},
		{"two transfers", 2, 2 * alone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const prompt = "[output=5] letter"
			b := newBench(t, func(cfg *stand.EngineConfig) {
				cfg.KVTokenBytes = 200
				cfg.KVLife = time.Hour
				cfg.HoldLife = time.Hour
				cfg.Link = stand.NewLink(200 * 5 * int64(time.Second/alone)) // the prompt has five tokens
			})
			var calls []<-chan error
			for n := uint64(1); n <= tt.transfers; n++ {
				slot, err := b.reserve(n)
				is.NoErr(err)
				kv, err := b.prefill(n+100, prompt)
				is.NoErr(err)
				calls = append(calls, async(func() error {
					return b.client.Import(context.Background(), "e1", flow.ImportRequest{Attempt: attempt(n), Slot: slot.ID, KV: kv.Name, Source: "e1"})
				}))
			}
			for b.engine.Counts().Exports < int64(tt.transfers) {
				_ = tick.Sleep(context.Background(), tick.NewReal(), time.Millisecond)
			}
			took := b.pump(calls...)
			is.True(took >= tt.least*9/10)
			t.Logf("%v", took)
		})
	}
}
