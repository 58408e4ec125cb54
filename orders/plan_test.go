package orders_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
)

var (
	m1 = orders.Model{Name: "dossier", Version: "1"}
	m2 = orders.Model{Name: "dossier", Version: "2"}
	mo = orders.Model{Name: "opinion", Version: "1"}

	limits = orders.Limits{MaxLoads: 1, MaxReportAge: 10 * time.Second}
)

const revision = 7

func want(s ident.Server, role string, models ...orders.Model) orders.DesiredState {
	return orders.DesiredState{Server: s, Role: role, Models: models, Fenced: true, Store: "sierra"}
}

func state(s ident.Server, role string, models ...orders.Model) orders.State {
	return orders.State{Server: s, Role: role, Models: models, Fence: revision}
}

func order(s ident.Server, k orders.Kind, m orders.Model) orders.Order {
	return orders.Order{Server: s, Kind: k, Model: m, Fence: revision}
}

func roleOrder(s ident.Server, role string) orders.Order {
	return orders.Order{Server: s, Kind: orders.ChangeRole, Role: role, Fence: revision}
}

func TestPlan(t *testing.T) {
	both := orders.RoleBoth
	tests := []struct {
		name   string
		wants  []orders.DesiredState
		states []orders.State
		orders []orders.Order
		kept   []orders.Withheld
	}{
		{
			name:   "nothing to do",
			wants:  []orders.DesiredState{want("a", both, m1)},
			states: []orders.State{state("a", both, m1)},
		},
		{
			name:   "unknown server gets no order",
			wants:  []orders.DesiredState{want("a", both, m1)},
			states: nil,
		},
		{
			name:   "model wanted at a server without a report is kept elsewhere",
			wants:  []orders.DesiredState{want("a", both, mo), want("b", both, m1)},
			states: []orders.State{state("a", both, m1, mo)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "stale report gets no order",
			wants:  []orders.DesiredState{want("a", both, m1)},
			states: []orders.State{{Server: "a", Role: both, Age: time.Minute}},
		},
		{
			name:   "server with a newer fence gets no order",
			wants:  []orders.DesiredState{want("a", both, m1)},
			states: []orders.State{{Server: "a", Role: both, Fence: revision + 1}},
		},
		{
			name:   "draining server gets no order",
			wants:  []orders.DesiredState{want("a", both, m1), want("b", both, m1)},
			states: []orders.State{{Server: "a", Role: both, Draining: true}, state("b", both, m1)},
		},
		{
			name:   "loads take turns, models without replicas first",
			wants:  []orders.DesiredState{want("a", both, m1), want("b", both, m1), want("c", both, mo)},
			states: []orders.State{state("a", both), state("b", both, m1), state("c", both)},
			orders: []orders.Order{order("c", orders.Load, mo)},
		},
		{
			name:   "a load in flight takes the turn",
			wants:  []orders.DesiredState{want("a", both, m1), want("b", both, m1)},
			states: []orders.State{{Server: "a", Role: both, Loading: []orders.Model{m1}}, state("b", both)},
		},
		{
			name:   "last replica stays",
			wants:  []orders.DesiredState{want("a", both), want("b", both, m1)},
			states: []orders.State{state("a", both, m1), state("b", both)},
			orders: []orders.Order{order("b", orders.Load, m1)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "a replica that goes too is no substitute",
			wants:  []orders.DesiredState{want("a", both), want("b", both), want("c", both, m1)},
			states: []orders.State{state("a", both, m1), state("b", both, m1), {Server: "c", Loading: []orders.Model{m1}}},
			orders: []orders.Order{roleOrder("c", both)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}, {Server: "b", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "replica goes when another one stays",
			wants:  []orders.DesiredState{want("a", both), want("b", both, m1)},
			states: []orders.State{state("a", both, m1), state("b", both, m1)},
			orders: []orders.Order{order("a", orders.Unload, m1)},
		},
		{
			name:   "the one that stays is shown the revision first",
			wants:  []orders.DesiredState{want("a", both), want("b", both, m1)},
			states: []orders.State{state("a", both, m1), {Server: "b", Role: both, Models: []orders.Model{m1}}},
			orders: []orders.Order{roleOrder("b", both)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "one that ignores fences is not enough",
			wants:  []orders.DesiredState{want("a", both), {Server: "b", Role: both, Models: []orders.Model{m1}}},
			states: []orders.State{state("a", both, m1), state("b", both, m1)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "model that no row names goes",
			wants:  []orders.DesiredState{want("a", both, m1)},
			states: []orders.State{state("a", both, m1, mo)},
			orders: []orders.Order{order("a", orders.Unload, mo)},
		},
		{
			name:   "old version goes once the new one is there",
			wants:  []orders.DesiredState{want("a", both, m2)},
			states: []orders.State{state("a", both, m1, m2)},
			orders: []orders.Order{order("a", orders.Unload, m1)},
		},
		{
			name:   "old version stays while the new one loads",
			wants:  []orders.DesiredState{want("a", both, m2)},
			states: []orders.State{state("a", both, m1)},
			orders: []orders.Order{order("a", orders.Load, m2)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:   "any version will do where the table names none",
			wants:  []orders.DesiredState{want("a", both, orders.Model{Name: "dossier"}), want("b", both, orders.Model{Name: "dossier"})},
			states: []orders.State{state("a", both, m1), {Server: "b", Role: both, Loading: []orders.Model{m2}}},
		},
		{
			name:   "last replica of a role keeps it",
			wants:  []orders.DesiredState{want("a", orders.RoleDecode, m1), want("b", orders.RoleDecode, m1)},
			states: []orders.State{state("a", orders.RolePrefill, m1), state("b", orders.RoleDecode, m1)},
			kept:   []orders.Withheld{{Server: "a", Kind: orders.ChangeRole, Model: m1}},
		},
		{
			name:   "role changes when another one has it",
			wants:  []orders.DesiredState{want("a", orders.RoleDecode, m1), want("b", orders.RolePrefill, m1)},
			states: []orders.State{state("a", orders.RolePrefill, m1), state("b", both, m1)},
			orders: []orders.Order{roleOrder("a", orders.RoleDecode)},
			kept:   []orders.Withheld{{Server: "b", Kind: orders.ChangeRole, Model: m1}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, kept := orders.Plan(revision, tt.wants, tt.states, limits)
			is.Equal(got, tt.orders)
			is.Equal(kept, tt.kept)
			slices.Reverse(tt.wants)
			slices.Reverse(tt.states)
			again, _ := orders.Plan(revision, tt.wants, tt.states, limits)
			is.Equal(again, tt.orders) // the order of the input does not matter
		})
	}
}
