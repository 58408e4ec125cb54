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

func desiredState(s ident.Server, role string, models ...orders.Model) orders.DesiredState {
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

// TestPlan guards against orders that remove the last replica of a model in a role, and against orders
// to servers that are draining, unknown or ahead of this revision.
func TestPlan(t *testing.T) {
	both := orders.RoleBoth
	tests := []struct {
		name     string
		desired  []orders.DesiredState
		states   []orders.State
		orders   []orders.Order
		withheld []orders.Withheld
	}{
		{
			name:    "nothing to do",
			desired: []orders.DesiredState{desiredState("a", both, m1)},
			states:  []orders.State{state("a", both, m1)},
		},
		{
			name:    "server without a report gets no order",
			desired: []orders.DesiredState{desiredState("a", both, m1)},
			states:  nil,
		},
		{
			name:     "model desired on a server without a report is not unloaded elsewhere",
			desired:  []orders.DesiredState{desiredState("a", both, mo), desiredState("b", both, m1)},
			states:   []orders.State{state("a", both, m1, mo)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:    "stale report gets no order",
			desired: []orders.DesiredState{desiredState("a", both, m1)},
			states:  []orders.State{{Server: "a", Role: both, Age: time.Minute}},
		},
		{
			name:    "server with a newer fencing number gets no order",
			desired: []orders.DesiredState{desiredState("a", both, m1)},
			states:  []orders.State{{Server: "a", Role: both, Fence: revision + 1}},
		},
		{
			name:    "draining server gets no order",
			desired: []orders.DesiredState{desiredState("a", both, m1), desiredState("b", both, m1)},
			states:  []orders.State{{Server: "a", Role: both, Draining: true}, state("b", both, m1)},
		},
		{
			name:    "one load at a time, models without replicas first",
			desired: []orders.DesiredState{desiredState("a", both, m1), desiredState("b", both, m1), desiredState("c", both, mo)},
			states:  []orders.State{state("a", both), state("b", both, m1), state("c", both)},
			orders:  []orders.Order{order("c", orders.Load, mo)},
		},
		{
			name:    "load in progress delays other loads",
			desired: []orders.DesiredState{desiredState("a", both, m1), desiredState("b", both, m1)},
			states:  []orders.State{{Server: "a", Role: both, Loading: []orders.Model{m1}}, state("b", both)},
		},
		{
			name:     "last replica is not unloaded",
			desired:  []orders.DesiredState{desiredState("a", both), desiredState("b", both, m1)},
			states:   []orders.State{state("a", both, m1), state("b", both)},
			orders:   []orders.Order{order("b", orders.Load, m1)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:     "replica that is to be unloaded too does not count",
			desired:  []orders.DesiredState{desiredState("a", both), desiredState("b", both), desiredState("c", both, m1)},
			states:   []orders.State{state("a", both, m1), state("b", both, m1), {Server: "c", Loading: []orders.Model{m1}}},
			orders:   []orders.Order{roleOrder("c", both)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}, {Server: "b", Kind: orders.Unload, Model: m1}},
		},
		{
			name:    "replica is unloaded when another one remains",
			desired: []orders.DesiredState{desiredState("a", both), desiredState("b", both, m1)},
			states:  []orders.State{state("a", both, m1), state("b", both, m1)},
			orders:  []orders.Order{order("a", orders.Unload, m1)},
		},
		{
			name:     "remaining server is sent the revision first",
			desired:  []orders.DesiredState{desiredState("a", both), desiredState("b", both, m1)},
			states:   []orders.State{state("a", both, m1), {Server: "b", Role: both, Models: []orders.Model{m1}}},
			orders:   []orders.Order{roleOrder("b", both)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:     "one server that ignores fencing numbers is not enough",
			desired:  []orders.DesiredState{desiredState("a", both), {Server: "b", Role: both, Models: []orders.Model{m1}}},
			states:   []orders.State{state("a", both, m1), state("b", both, m1)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:    "model that no server should have is unloaded",
			desired: []orders.DesiredState{desiredState("a", both, m1)},
			states:  []orders.State{state("a", both, m1, mo)},
			orders:  []orders.Order{order("a", orders.Unload, mo)},
		},
		{
			name:    "old version is unloaded once the new one is loaded",
			desired: []orders.DesiredState{desiredState("a", both, m2)},
			states:  []orders.State{state("a", both, m1, m2)},
			orders:  []orders.Order{order("a", orders.Unload, m1)},
		},
		{
			name:     "old version remains while the new one loads",
			desired:  []orders.DesiredState{desiredState("a", both, m2)},
			states:   []orders.State{state("a", both, m1)},
			orders:   []orders.Order{order("a", orders.Load, m2)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.Unload, Model: m1}},
		},
		{
			name:    "empty version matches any version",
			desired: []orders.DesiredState{desiredState("a", both, orders.Model{Name: "dossier"}), desiredState("b", both, orders.Model{Name: "dossier"})},
			states:  []orders.State{state("a", both, m1), {Server: "b", Role: both, Loading: []orders.Model{m2}}},
		},
		{
			name:     "last replica in a role does not change its role",
			desired:  []orders.DesiredState{desiredState("a", orders.RoleDecode, m1), desiredState("b", orders.RoleDecode, m1)},
			states:   []orders.State{state("a", orders.RolePrefill, m1), state("b", orders.RoleDecode, m1)},
			withheld: []orders.Withheld{{Server: "a", Kind: orders.ChangeRole, Model: m1}},
		},
		{
			name:     "role changes when another server has it",
			desired:  []orders.DesiredState{desiredState("a", orders.RoleDecode, m1), desiredState("b", orders.RolePrefill, m1)},
			states:   []orders.State{state("a", orders.RolePrefill, m1), state("b", both, m1)},
			orders:   []orders.Order{roleOrder("a", orders.RoleDecode)},
			withheld: []orders.Withheld{{Server: "b", Kind: orders.ChangeRole, Model: m1}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, withheld := orders.Plan(revision, tt.desired, tt.states, limits)
			is.Equal(got, tt.orders)
			is.Equal(withheld, tt.withheld)
			slices.Reverse(tt.desired)
			slices.Reverse(tt.states)
			again, _ := orders.Plan(revision, tt.desired, tt.states, limits)
			is.Equal(again, tt.orders) // the order of the input has no influence
		})
	}
}
