package sweep_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

type fakeView struct {
	servers   []ident.Server
	instances []ident.Instance
}

func (v fakeView) Servers() []ident.Server     { return v.servers }
func (v fakeView) Instances() []ident.Instance { return v.instances }

func TestSweepCancelsIdleHoldsOfOthers(t *testing.T) {
	const idle = 10 * time.Second
	tests := []struct {
		name  string
		hold  sweep.Hold
		swept bool
	}{
		{"own hold", sweep.Hold{Attempt: attempt("a", 2, 1), Idle: time.Hour}, false},
		{"hold of an earlier process in the same seat", sweep.Hold{Attempt: attempt("a", 1, 1), Idle: time.Hour}, true},
		{"idle hold of another instance", sweep.Hold{Attempt: attempt("b", 1, 1), Idle: idle + 1}, true},
		{"hold of another instance at the limit", sweep.Hold{Attempt: attempt("b", 1, 1), Idle: idle}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := newFakeEngines()
			engines.holds = map[ident.Server][]sweep.Hold{"d1": {tt.hold, tt.hold}}
			s := sweep.NewSweeper(sweep.SweeperConfig{
				Self:    ident.Node{Instance: "a", Incarnation: 2},
				Engines: engines,
				View:    fakeView{servers: []ident.Server{"d1"}, instances: []ident.Instance{"a"}},
				Timer:   tick.NewFake(0),
				Idle:    idle,
			})
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.Sweep(context.Background())
			}()
			if tt.swept {
				c := <-engines.calls
				engines.fail <- nil
				is.Equal(c, call{name: "cancel", server: "d1", attempts: []ident.Attempt{tt.hold.Attempt}, idleOver: idle})
			}
			<-done // one cancel, although the attempt has two holds
			is.Equal(s.Swept() > 0, tt.swept)
		})
	}
}

func TestOwnsChoosesFew(t *testing.T) {
	is := is.New(t)
	const owners, servers = 2, 600
	var instances []ident.Instance
	for i := range 60 {
		instances = append(instances, ident.Instance(fmt.Sprintf("sierra-a-%d", i)))
	}
	most := 0
	load := make(map[ident.Instance]int)
	for n := range servers {
		s := ident.Server(fmt.Sprintf("sierra-a-d%d", n))
		chosen := 0
		for _, i := range instances {
			if sweep.Owns(i, s, instances, owners) {
				chosen++
				load[i]++
				most = max(most, load[i])
			}
		}
		is.Equal(chosen, owners)
	}
	is.True(most < 3*owners*servers/len(instances)) // no instance is responsible for three times its share
	t.Logf("at most %d engines for each of %d instances", most, len(instances))
}
