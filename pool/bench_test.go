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

// bench drives a scheduler of 100 servers and 900 customers. Each request stays live for len(live)
// decisions.
type bench struct {
	s        *pool.Scheduler
	now      tick.Instant
	requests []place.Request
	out      []pool.Decision
	live     [512]pool.Progress
	n        int
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
		req := place.Request{Customer: ident.Customer(fmt.Sprint("c", i%900)), PromptTokens: 5000, MaxOutputTokens: 400}
		// Five block hashes. The first two belong to one of ten shared preambles.
		p := uint64(rnd.IntN(10) + 1)
		req.BlockHashes = []uint64{p, p << 8, rnd.Uint64(), rnd.Uint64(), rnd.Uint64()}
		b.requests = append(b.requests, req)
	}
	return b
}

// decide submits one request, dispatches, and takes the placed request through all its stages.
func (b *bench) decide() {
	b.now += 4 * time.Millisecond
	b.s.Submit(&b.requests[b.n%len(b.requests)], "e", b.now)
	b.out = b.s.Dispatch(b.now, b.out[:0])
	for i := range b.out {
		if !b.out[i].Placed() {
			continue
		}
		p := &b.live[b.n%len(b.live)]
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

// TestDecisionAllocations guards against allocations on the hot path: a decision may allocate its
// record and its placement ID, nothing else.
func TestDecisionAllocations(t *testing.T) {
	x := newBench(1)
	for range 20000 {
		x.decide()
	}
	if n := testing.AllocsPerRun(5000, x.decide); n > 2 {
		t.Errorf("a decision makes %.1f allocations, want at most 2", n)
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
