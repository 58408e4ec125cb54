package orders_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/tick"
)

// fleet is a set of simulated servers. They execute orders that arrive late, repeated and in any
// order.
type fleet struct {
	rnd          *rand.Rand
	revision     uint64
	desired      []orders.DesiredState
	states       []orders.State
	past         [][]orders.State // reports since the revision has been in force on all instances
	inFlight     []orders.Order
	lateRemovals int // unloads and role changes of an older revision that were executed
	unloads      int
}

func newFleet(rnd *rand.Rand) *fleet {
	f := &fleet{rnd: rnd}
	f.publish()
	for _, w := range f.desired {
		f.states = append(f.states, orders.State{Server: w.Server, Role: w.Role, Models: slices.Clone(w.Models)})
	}
	f.past = [][]orders.State{f.report()}
	return f
}

// publish draws a random configuration. Orders of the previous one may still be in flight.
func (f *fleet) publish() {
	f.revision++
	f.lateRemovals = 0
	f.desired = nil
	roles := []string{orders.RolePrefill, orders.RoleDecode, orders.RoleBoth}
	for i := range 5 {
		w := orders.DesiredState{
			Server: ident.Server(fmt.Sprintf("s%d", i)),
			Role:   roles[f.rnd.IntN(len(roles))],
			Fenced: i%2 == 0,
			Store:  "sierra",
		}
		for _, m := range []orders.Model{m1, m2, mo} {
			if f.rnd.IntN(2) == 0 {
				w.Models = append(w.Models, m)
			}
		}
		f.desired = append(f.desired, w)
	}
}

func (f *fleet) report() []orders.State {
	out := slices.Clone(f.states)
	for i := range out {
		out[i].Models = slices.Clone(out[i].Models)
		out[i].Loading = slices.Clone(out[i].Loading)
	}
	return out
}

// plan makes a plan as one of the instances would, from reports of different ages.
func (f *fleet) plan() {
	seen := make([]orders.State, len(f.states))
	for i := range seen {
		seen[i] = f.past[f.rnd.IntN(len(f.past))][i]
	}
	got, _ := orders.Plan(f.revision, f.desired, seen, limits)
	f.inFlight = append(f.inFlight, got...)
}

// deliver delivers an order in flight, which may be delivered again later.
func (f *fleet) deliver() {
	if len(f.inFlight) == 0 {
		return
	}
	i := f.rnd.IntN(len(f.inFlight))
	o := f.inFlight[i]
	if f.rnd.IntN(3) > 0 {
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
	for n := range f.states {
		if f.states[n].Server == o.Server {
			f.execute(&f.states[n], o, f.desired[n].Fenced)
		}
	}
}

func (f *fleet) execute(s *orders.State, o orders.Order, fenced bool) {
	if fenced {
		if o.Fence < s.Fence {
			return
		}
		s.Fence = o.Fence
	}
	if o.Fence < f.revision && o.Kind != orders.Load {
		if f.lateRemovals > 0 {
			return // Plan does not protect against a second late removal
		}
		f.lateRemovals++
	}
	switch o.Kind {
	case orders.ChangeRole:
		s.Role = o.Role
	case orders.Unload:
		f.unloads++
		s.Models = slices.DeleteFunc(s.Models, func(m orders.Model) bool { return m == o.Model })
	case orders.Load:
		if !slices.Contains(s.Models, o.Model) {
			s.Models = append(s.Models, o.Model)
		}
	}
}

// names reports whether the configuration names a model.
func (f *fleet) names(m ident.Model) bool {
	return slices.ContainsFunc(f.desired, func(w orders.DesiredState) bool {
		return slices.ContainsFunc(w.Models, func(o orders.Model) bool { return o.Name == m })
	})
}

// replicas counts the servers that serve each named model in each role.
func (f *fleet) replicas() map[string]int {
	out := make(map[string]int)
	for _, s := range f.states {
		for _, m := range []ident.Model{m1.Name, mo.Name} {
			if !f.names(m) || !slices.ContainsFunc(s.Models, func(o orders.Model) bool { return o.Name == m }) {
				continue
			}
			for _, r := range []string{orders.RolePrefill, orders.RoleDecode} {
				if s.Role == r || s.Role == orders.RoleBoth {
					out[string(m)+" "+r]++
				}
			}
		}
	}
	return out
}

// TestRandomWalkKeepsLastReplica guards against orders of the revision in force removing the last
// replica of a named model in a role. It draws servers, configurations and deliveries at random. One
// late removal of an older revision may be executed as well. It may remove only a replica that was
// the last one already.
func TestRandomWalkKeepsLastReplica(t *testing.T) {
	const schedules, revisions, steps = 1000, 3, 40
	unloads, late, lost := 0, 0, 0
	for seed := range uint64(schedules) {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)))
		for range revisions {
			f.publish()
			f.past = [][]orders.State{f.report()}
			first := f.replicas()
			for range steps {
				old := f.lateRemovals
				switch f.rnd.IntN(3) {
				case 0:
					f.plan()
				case 1:
					f.deliver()
				default:
					f.past = append(f.past, f.report())
				}
				now := f.replicas()
				for k, n := range first {
					switch {
					case now[k] > 0:
					case n == 1 && f.lateRemovals > old:
						delete(first, k)
						lost++
					default:
						t.Fatalf("seed %d: revision %d lost the last replica of %s\ndesired %+v\nstates %+v", seed, f.revision, k, f.desired, f.states)
					}
				}
			}
			late += f.lateRemovals
		}
		unloads += f.unloads
	}
	if unloads == 0 || late == 0 {
		t.Fatalf("%d unloads and %d late removals executed: the test needs both", unloads, late)
	}
	t.Logf("%d schedules, %d unloads executed, %d late removals, which removed %d last replicas", schedules, unloads, late, lost)
}

type fakeSource struct {
	revision uint64
	inForce  time.Duration
	desired  []orders.DesiredState
	states   []orders.State
}

func (f *fakeSource) DesiredStates() (uint64, time.Duration, []orders.DesiredState) {
	return f.revision, f.inForce, f.desired
}
func (f *fakeSource) States() []orders.State { return f.states }

type fakeEngines struct {
	sent  []orders.Order
	pause func() // called during each order; may be nil
}

func (f *fakeEngines) Order(_ context.Context, o orders.Order) error {
	f.sent = append(f.sent, o)
	if f.pause != nil {
		f.pause()
	}
	return nil
}

// TestReconcilerPlansAgainAfterPause guards against sending the rest of an outdated plan after a pause
// of the process.
func TestReconcilerPlansAgainAfterPause(t *testing.T) {
	is := is.New(t)
	timer := tick.NewFake(0)
	src := &fakeSource{
		revision: revision,
		inForce:  time.Minute,
		desired:  []orders.DesiredState{desiredState("a", orders.RoleBoth, m1), desiredState("b", orders.RoleBoth, m1)},
		states:   []orders.State{state("a", orders.RoleBoth), state("b", orders.RoleBoth)},
	}
	engines := &fakeEngines{}
	r := orders.NewReconciler(orders.ReconcilerConfig{
		Source:  src,
		Engines: engines,
		Clock:   timer,
		Owns:    func(ident.Server) bool { return true },
		Limits:  orders.Limits{MaxLoads: 2},
	})
	engines.pause = func() { timer.Advance(time.Hour) }
	r.Reconcile(context.Background())
	is.Equal(engines.sent, []orders.Order{order("a", orders.Load, m1)})
	engines.pause = nil
	r.Reconcile(context.Background())
	is.Equal(len(engines.sent), 3)
}

// TestReconcile guards against orders before the revision has settled, repeated orders within
// RetryInterval, too many loads at a time, and orders to servers of other instances.
func TestReconcile(t *testing.T) {
	is := is.New(t)
	timer := tick.NewFake(0)
	src := &fakeSource{
		revision: revision,
		desired:  []orders.DesiredState{desiredState("a", orders.RoleBoth, m1), desiredState("b", orders.RoleBoth, m1), desiredState("c", orders.RoleBoth, m1)},
		states:   []orders.State{state("a", orders.RoleBoth), state("b", orders.RoleBoth), state("c", orders.RoleBoth)},
	}
	engines := &fakeEngines{}
	r := orders.NewReconciler(orders.ReconcilerConfig{
		Source:  src,
		Engines: engines,
		Clock:   timer,
		Owns:    func(s ident.Server) bool { return s != "c" },
	})
	ctx := context.Background()

	r.Reconcile(ctx)
	is.Equal(len(engines.sent), 0) // the revision may not be in force on all instances
	src.inForce = time.Minute
	r.Reconcile(ctx)
	r.Reconcile(ctx)
	is.Equal(engines.sent, []orders.Order{order("a", orders.Load, m1)}) // sent once, and b waits until a has loaded
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(len(engines.sent), 2) // repeated because it had no effect
	src.states[0].Models = []orders.Model{m1}
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(engines.sent[2], order("b", orders.Load, m1))
	src.states[1].Models = []orders.Model{m1}
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(len(engines.sent), 3) // c belongs to another instance
}
