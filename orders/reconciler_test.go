package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/tick"
)

// fakeFleet is the source and the engines of a Runner. Engines in refuse turn
// every order down, the others load at once.
type fakeFleet struct {
	wants  []orders.DesiredState
	states []orders.State
	refuse map[ident.Server]bool
	tried  map[ident.Server]int
}

func (f *fakeFleet) DesiredStates() (uint64, time.Duration, []orders.DesiredState) {
	return revision, time.Hour, f.wants
}

func (f *fakeFleet) States() []orders.State { return f.states }

func (f *fakeFleet) Order(_ context.Context, o orders.Order) error {
	f.tried[o.Server]++
	if f.refuse[o.Server] {
		return errors.New("no memory for the model")
	}
	for i := range f.states {
		if s := &f.states[i]; s.Server == o.Server && o.Kind == orders.Load {
			s.Models = append(s.Models, o.Model)
		}
	}
	return nil
}

func TestRunnerPassesOverRefusedLoad(t *testing.T) {
	tests := []struct {
		name string
		owns func(s ident.Server) bool
	}{
		{"own order", func(ident.Server) bool { return true }},
		{"order of another instance", func(s ident.Server) bool { return s != "a" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeFleet{
				wants:  []orders.DesiredState{want("a", orders.RoleBoth, m1), want("b", orders.RoleBoth, m1)},
				states: []orders.State{state("a", orders.RoleBoth), state("b", orders.RoleBoth)},
				refuse: map[ident.Server]bool{"a": true},
				tried:  make(map[ident.Server]int),
			}
			timer := tick.NewFake(0)
			r := orders.NewReconciler(orders.ReconcilerConfig{Source: f, Engines: f, Clock: timer, Owns: tt.owns, Limits: limits})
			const step, limit = 2 * time.Second, time.Minute
			for timer.Now() < limit {
				r.Reconcile(context.Background())
				timer.Advance(step)
			}
			is.Equal(f.tried["b"], 1)                // b is loaded although a refuses for good
			is.Equal(f.tried["a"] > 1, tt.owns("a")) // a is tried again
		})
	}
}
