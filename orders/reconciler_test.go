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

// fakeFleet is the Source and the EngineClient of a Reconciler. Servers in rejects reject every order,
// the others load at once.
type fakeFleet struct {
	desired  []orders.DesiredState
	states   []orders.State
	rejects  map[ident.Server]bool
	attempts map[ident.Server]int
}

func (f *fakeFleet) DesiredStates() (uint64, time.Duration, []orders.DesiredState) {
	return revision, time.Hour, f.desired
}

func (f *fakeFleet) States() []orders.State { return f.states }

func (f *fakeFleet) Order(_ context.Context, o orders.Order) error {
	f.attempts[o.Server]++
	if f.rejects[o.Server] {
		return errors.New("no memory for the model")
	}
	for i := range f.states {
		if s := &f.states[i]; s.Server == o.Server && o.Kind == orders.Load {
			s.Models = append(s.Models, o.Model)
		}
	}
	return nil
}

// TestReconcilerDefersRejectedLoad guards against a server that rejects its load blocking the loads of
// the other servers of its weight store, whichever instance sends the rejected order.
func TestReconcilerDefersRejectedLoad(t *testing.T) {
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
				desired:  []orders.DesiredState{desiredState("a", orders.RoleBoth, m1), desiredState("b", orders.RoleBoth, m1)},
				states:   []orders.State{state("a", orders.RoleBoth), state("b", orders.RoleBoth)},
				rejects:  map[ident.Server]bool{"a": true},
				attempts: make(map[ident.Server]int),
			}
			timer := tick.NewFake(0)
			r := orders.NewReconciler(orders.ReconcilerConfig{Source: f, Engines: f, Clock: timer, Owns: tt.owns, Limits: limits})
			const step, limit = 2 * time.Second, time.Minute
			for timer.Now() < limit {
				r.Reconcile(context.Background())
				timer.Advance(step)
			}
			is.Equal(f.attempts["b"], 1)                // b is loaded although a rejects every order
			is.Equal(f.attempts["a"] > 1, tt.owns("a")) // the order to a is repeated
		})
	}
}
