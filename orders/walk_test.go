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

// fleet is a set of engines that obey orders which arrive in any order, late
// and repeated.
type fleet struct {
	rnd      *rand.Rand
	revision uint64
	wants    []orders.DesiredState
	states   []orders.State
	past     [][]orders.State // reports since the revision is in force everywhere
	flight   []orders.Order
	oldTaken int // removals of an older revision that were obeyed
	unloads  int
}

func newFleet(rnd *rand.Rand) *fleet {
	f := &fleet{rnd: rnd}
	f.publish()
	for _, w := range f.wants {
		f.states = append(f.states, orders.State{Server: w.Server, Role: w.Role, Models: slices.Clone(w.Models)})
	}
	f.past = [][]orders.State{f.report()}
	return f
}

// publish draws a table. Orders of the one before may still be in flight.
func (f *fleet) publish() {
	f.revision++
	f.oldTaken = 0
	f.wants = nil
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
		f.wants = append(f.wants, w)
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

// plan lets one of the instances plan on reports of different ages.
func (f *fleet) plan() {
	seen := make([]orders.State, len(f.states))
	for i := range seen {
		seen[i] = f.past[f.rnd.IntN(len(f.past))][i]
	}
	got, _ := orders.Plan(f.revision, f.wants, seen, limits)
	f.flight = append(f.flight, got...)
}

// deliver lets an engine obey an order in flight, which may come again.
func (f *fleet) deliver() {
	if len(f.flight) == 0 {
		return
	}
	i := f.rnd.IntN(len(f.flight))
	o := f.flight[i]
	if f.rnd.IntN(3) > 0 {
		f.flight = slices.Delete(f.flight, i, i+1)
	}
	for n := range f.states {
		if f.states[n].Server == o.Server {
			f.obey(&f.states[n], o, f.wants[n].Fenced)
		}
	}
}

func (f *fleet) obey(s *orders.State, o orders.Order, fenced bool) {
	if fenced {
		if o.Fence < s.Fence {
			return
		}
		s.Fence = o.Fence
	}
	if o.Fence < f.revision && o.Kind != orders.Load {
		if f.oldTaken > 0 {
			return // a second removal this late is not promised to do no harm
		}
		f.oldTaken++
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

// names reports whether the table names a model.
func (f *fleet) names(m ident.Model) bool {
	return slices.ContainsFunc(f.wants, func(w orders.DesiredState) bool {
		return slices.ContainsFunc(w.Models, func(o orders.Model) bool { return o.Name == m })
	})
}

// replicas counts the engines that serve each named model in each role.
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

// TestWalkKeepsLastReplica draws fleets, tables and deliveries. No order of
// the revision in force takes the last replica of a named model in a role,
// also when one removal of an older revision is still obeyed somewhere. Only a
// replica that was the last one already may go by that.
func TestWalkKeepsLastReplica(t *testing.T) {
	const schedules, revisions, steps = 1000, 3, 40
	unloads, late, lost := 0, 0, 0
	for seed := range uint64(schedules) {
		f := newFleet(rand.New(rand.NewPCG(seed, 1)))
		for range revisions {
			f.publish()
			f.past = [][]orders.State{f.report()}
			first := f.replicas()
			for range steps {
				old := f.oldTaken
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
					case n == 1 && f.oldTaken > old:
						delete(first, k)
						lost++
					default:
						t.Fatalf("seed %d: revision %d lost the last replica of %s\nwants %+v\nstates %+v", seed, f.revision, k, f.wants, f.states)
					}
				}
			}
			late += f.oldTaken
		}
		unloads += f.unloads
	}
	if unloads == 0 || late == 0 {
		t.Fatalf("%d unloads and %d late removals obeyed: the walk shows nothing", unloads, late)
	}
	t.Logf("%d schedules, %d unloads obeyed, %d late removals, which took %d replicas that were the last", schedules, unloads, late, lost)
}

type fakeSource struct {
	revision uint64
	inForce  time.Duration
	wants    []orders.DesiredState
	states   []orders.State
}

func (f *fakeSource) DesiredStates() (uint64, time.Duration, []orders.DesiredState) {
	return f.revision, f.inForce, f.wants
}
func (f *fakeSource) States() []orders.State { return f.states }

type fakeEngines struct {
	given []orders.Order
	pause func() // called within each order; may be nil
}

func (f *fakeEngines) Order(_ context.Context, o orders.Order) error {
	f.given = append(f.given, o)
	if f.pause != nil {
		f.pause()
	}
	return nil
}

func TestRunnerPlansAgainAfterPause(t *testing.T) {
	is := is.New(t)
	timer := tick.NewFake(0)
	src := &fakeSource{
		revision: revision,
		inForce:  time.Minute,
		wants:    []orders.DesiredState{want("a", orders.RoleBoth, m1), want("b", orders.RoleBoth, m1)},
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
	is.Equal(engines.given, []orders.Order{order("a", orders.Load, m1)})
	engines.pause = nil
	r.Reconcile(context.Background())
	is.Equal(len(engines.given), 3)
}

func TestRunnerStep(t *testing.T) {
	is := is.New(t)
	timer := tick.NewFake(0)
	src := &fakeSource{
		revision: revision,
		wants:    []orders.DesiredState{want("a", orders.RoleBoth, m1), want("b", orders.RoleBoth, m1), want("c", orders.RoleBoth, m1)},
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
	is.Equal(len(engines.given), 0) // the revision has not settled
	src.inForce = time.Minute
	r.Reconcile(ctx)
	r.Reconcile(ctx)
	is.Equal(engines.given, []orders.Order{order("a", orders.Load, m1)}) // once, and b waits for its turn
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(len(engines.given), 2) // repeated without an effect
	src.states[0].Models = []orders.Model{m1}
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(engines.given[2], order("b", orders.Load, m1))
	src.states[1].Models = []orders.Model{m1}
	timer.Advance(time.Minute)
	r.Reconcile(ctx)
	is.Equal(len(engines.given), 3) // c belongs to another instance
}
