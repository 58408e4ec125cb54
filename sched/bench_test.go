package sched_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/sched"
	"wasabidock.dev/dock/tick"
)

// BenchmarkService places requests in one pool and in ten, each with its own lock. There are ten
// callers, and each placement logs a decision line.
func BenchmarkService(b *testing.B) {
	const callers = 10
	for _, pools := range []int{1, 10} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			svc := sched.NewService(sched.ServiceConfig{
				Self: ident.Node{Instance: "i", Incarnation: 1}, Clock: tick.NewReal(), Log: zerolog.New(io.Discard),
			})
			var specs []sched.PoolSpec
			for p := range pools {
				specs = append(specs, benchPool(p))
			}
			svc.Configure(1, specs)
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					owner := ident.Node{Instance: ident.Instance(fmt.Sprint("e", c)), Incarnation: 1}
					req := place.Request{Customer: "a", Model: ident.Model(fmt.Sprint("m", c%pools)), PromptTokens: 500, MaxOutputTokens: 100}
					for range b.N {
						p, err := svc.Place(context.Background(), &req, owner)
						if err != nil {
							b.Error(err)
							return
						}
						svc.RecordProgress(owner, req.Model, []pool.Progress{{ID: p.ID, Stage: place.StageDone, OutputTokens: 50}}, false)
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(b.N*callers)/b.Elapsed().Seconds(), "placements/s")
		})
	}
}

func benchPool(n int) sched.PoolSpec {
	p := sched.PoolSpec{
		Spec:    place.Spec{Model: ident.Model(fmt.Sprint("m", n)), KVBytes: 1},
		Classes: []pool.Class{pool.DefaultClass},
	}
	for i := range 100 {
		sv := place.Server{Name: ident.Server(fmt.Sprint("r", i)), LinkBandwidth: 10 << 30}
		if i < 40 {
			sv.Role, sv.PrefillRate = place.RolePrefill, 1e9
		} else {
			sv.Role, sv.Slots, sv.TokenInterval = place.RoleDecode, 20, 50*time.Millisecond
		}
		p.Spec.Servers = append(p.Spec.Servers, sv)
	}
	return p
}
