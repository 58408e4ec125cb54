package pool_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

// bench is a scheduler of 100 replicas and 900 customers with requests that
// run for runs decisions.
type bench struct {
	s    *pool.Scheduler
	now  tick.Instant
	asks []place.Request
	out  []pool.Decision
	runs [512]pool.Progress
	n    int
}

func newBench(seed uint64) *bench {
	b := &bench{s: pool.New(pool.Config{Instance: "i", Incarnation: 1, Rand: rand.NewPCG(seed, 1)})}
	spec := place.Spec{KVBytes: 100 << 10}
	for i := range 100 {
		sv := place.Server{Name: ident.Server(fmt.Sprint("r", i)), LinkBandwidth: 10 << 30}
		if i < 40 {
			sv.Role, sv.PrefillRate = place.RolePrefill, 20000
		} else {
			sv.Role, sv.Slots, sv.TokenInterval = place.RoleDecode, 20, 50*time.Millisecond
		}
		spec.Servers = append(spec.Servers, sv)
	}
	b.s.Configure(spec, []pool.Class{pool.DefaultClass})
	rnd := rand.New(rand.NewPCG(seed, 2))
	for i := range 4096 {
		a := place.Request{Customer: ident.Customer(fmt.Sprint("c", i%900)), PromptTokens: 5000, MaxOutputTokens: 400}
		// Five pieces, the first two of one of ten preambles.
		p := uint64(rnd.IntN(10) + 1)
		a.BlockHashes = []uint64{p, p << 8, rnd.Uint64(), rnd.Uint64(), rnd.Uint64()}
		b.asks = append(b.asks, a)
	}
	return b
}

// decide takes one request through all its stages.
func (b *bench) decide() {
	b.now += 4 * time.Millisecond
	b.s.Submit(&b.asks[b.n%len(b.asks)], "e", b.now)
	b.out = b.s.Dispatch(b.now, b.out[:0])
	for i := range b.out {
		if !b.out[i].Placed() {
			continue
		}
		p := &b.runs[b.n%len(b.runs)]
		if p.ID != "" {
			p.Stage, p.OutputTokens = place.StageDone, 200
			b.s.RecordProgress("e", p, b.now)
		}
		*p = pool.Progress{ID: b.out[i].Placement.ID, Stage: place.StageTransfer}
		b.s.RecordProgress("e", p, b.now)
		p.Stage = place.StageDecode
		b.s.RecordProgress("e", p, b.now)
	}
	b.n++
}

func BenchmarkDecision(b *testing.B) {
	x := newBench(1)
	for range 2000 {
		x.decide()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		x.decide()
	}
}

// TestDecisionAllocations keeps a decision at two allocations or fewer: its
// record and its name.
func TestDecisionAllocations(t *testing.T) {
	x := newBench(1)
	for range 20000 {
		x.decide()
	}
	if n := testing.AllocsPerRun(5000, x.decide); n > 2 {
		t.Errorf("a decision takes %.1f allocations, want at most 2", n)
	}
}

func BenchmarkShards(b *testing.B) {
	for _, shards := range []int{1, 10} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			set := make([]*bench, shards)
			for i := range set {
				set[i] = newBench(uint64(i + 1))
				for range 2000 {
					set[i].decide()
				}
			}
			b.ResetTimer()
			var wg sync.WaitGroup
			for _, x := range set {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for range b.N {
						x.decide()
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(b.N*shards)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
