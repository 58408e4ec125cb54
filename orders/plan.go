package orders

import (
	"slices"
	"sort"
	"strings"
	"time"

	"wasabidock.dev/dock/ident"
)

// The roles of a server.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	Load       Kind = "load"
	Unload     Kind = "unload"
	ChangeRole Kind = "role"
)

// Model is a version of a model or of an adapter of a model. In a desired state, an empty version
// matches any version.
type Model struct {
	Name    ident.Model
	Adapter string
	Version string
}

// same reports whether two models serve the same requests.
func (m Model) same(o Model) bool { return m.Name == o.Name && m.Adapter == o.Adapter }

// matches reports whether a loaded model is the desired one.
func (m Model) matches(want Model) bool {
	return m.same(want) && (want.Version == "" || m.Version == want.Version)
}

// includes reports whether the server should have the loaded model m.
func (d DesiredState) includes(m Model) bool { return slices.ContainsFunc(d.Models, m.matches) }

// has reports whether one of the loaded models is the desired one.
func has(models []Model, want Model) bool {
	return slices.ContainsFunc(models, func(m Model) bool { return m.matches(want) })
}

func (m Model) compare(o Model) int {
	return strings.Compare(string(m.Name)+"\x00"+m.Adapter+"\x00"+m.Version,
		string(o.Name)+"\x00"+o.Adapter+"\x00"+o.Version)
}

// DesiredState is the role and the models that a server should have by the published configuration.
type DesiredState struct {
	Server ident.Server
	Role   string
	Models []Model
	Fenced bool   // the server rejects orders with an older fencing number
	Store  string // name of the weight store from which the server loads models
}

// State is the report of a server on itself.
type State struct {
	Server   ident.Server
	Role     string
	Models   []Model
	Loading  []Model
	Deferred []Model // set by Reconciler: load orders had no effect, so other loads come first
	Draining bool
	Fence    uint64        // highest fencing number received, 0 if the server ignores them
	Age      time.Duration // time since the report was made
}

// Order is an order to a server. It names the state to reach, so repeating it has no effect.
type Order struct {
	Server ident.Server
	Kind   Kind
	Model  Model
	Role   string
	Fence  uint64 // fencing number: the published revision
}

// Limits bound the orders of one plan.
type Limits struct {
	MaxLoads     int           // simultaneous loads from one weight store
	MaxReportAge time.Duration // older reports are ignored
}

// Withheld is an unload or a role change that Plan does not order, because too few other replicas of
// the model would remain.
type Withheld struct {
	Server ident.Server
	Kind   Kind
	Model  Model
}

// Plan returns the orders that lead from the reported to the desired states, and the orders that it
// withholds. The result does not depend on the order of the arguments' elements.
func Plan(revision uint64, desired []DesiredState, states []State, lim Limits) ([]Order, []Withheld) {
	p := newPlan(revision, desired, states, lim)
	for _, s := range p.servers {
		p.planRole(s)
		p.planUnloads(s)
	}
	p.planLoads()
	p.planFences()
	return p.orders, p.withheld
}

type plan struct {
	revision uint64
	lim      Limits
	servers  []server // with a recent report, sorted by name
	named    []Model  // models that any server should have
	orders   []Order
	withheld []Withheld
	raise    map[ident.Server]bool // servers that count in full once they have received the revision
}

type server struct {
	desired DesiredState
	state   State
}

func newPlan(revision uint64, desired []DesiredState, states []State, lim Limits) *plan {
	p := &plan{revision: revision, lim: lim, raise: make(map[ident.Server]bool)}
	byName := make(map[ident.Server]State, len(states))
	for _, s := range states {
		if s.Age <= lim.MaxReportAge {
			byName[s.Server] = s
		}
	}
	for _, d := range desired {
		p.named = append(p.named, d.Models...)
		if s, ok := byName[d.Server]; ok && s.Fence <= revision {
			p.servers = append(p.servers, server{desired: d, state: s})
		}
	}
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].desired.Server < p.servers[j].desired.Server })
	return p
}

// planRole orders the desired role, unless a model would lose its last replica in a role that the
// server no longer has then.
func (p *plan) planRole(s server) {
	if s.state.Role == s.desired.Role || s.state.Draining {
		return
	}
	for _, lost := range lostRoles(s.state.Role, s.desired.Role) {
		for _, m := range s.state.Models {
			if p.isNamed(m) && !p.remains(m, lost) {
				p.withheld = append(p.withheld, Withheld{Server: s.desired.Server, Kind: ChangeRole, Model: m})
				return
			}
		}
	}
	p.orders = append(p.orders, Order{Server: s.desired.Server, Kind: ChangeRole, Role: s.desired.Role, Fence: p.revision})
}

// planUnloads orders the server to unload the models that it should not have.
func (p *plan) planUnloads(s server) {
	if s.state.Draining {
		return
	}
	models := slices.Clone(s.state.Models)
	slices.SortFunc(models, Model.compare)
	for _, m := range models {
		if s.desired.includes(m) {
			continue
		}
		if p.isNamed(m) && !p.replaced(s, m) && !p.remainsInRoles(m, s) {
			p.withheld = append(p.withheld, Withheld{Server: s.desired.Server, Kind: Unload, Model: m})
			continue
		}
		p.orders = append(p.orders, Order{Server: s.desired.Server, Kind: Unload, Model: m, Fence: p.revision})
	}
}

// replaced reports whether the server has loaded the desired version of m, which is another version
// of the same model.
func (p *plan) replaced(s server, m Model) bool {
	for _, o := range s.state.Models {
		if o != m && o.same(m) && s.desired.includes(o) {
			return true
		}
	}
	return false
}

func (p *plan) remainsInRoles(m Model, s server) bool {
	for _, r := range []string{RolePrefill, RoleDecode} {
		if hasRole(s.state.Role, r) && !p.remains(m, r) {
			return false
		}
	}
	return true
}

// The weights of remaining replicas: one that has received the present fencing number is enough, of
// others it takes two.
const (
	fencedWeight   = 2
	unfencedWeight = 1
	requiredWeight = 2
)

// remains reports whether enough servers have a model in a role and should keep both. The server that
// is to lose one of them is never among them. A server that has received the revision rejects all
// older orders and is enough by itself. Servers that should receive the revision are added to raise.
func (p *plan) remains(m Model, role string) bool {
	weight := 0
	for _, s := range p.servers {
		if s.state.Draining {
			continue
		}
		if !hasRole(s.state.Role, role) || !hasRole(s.desired.Role, role) || !s.keeps(m) {
			continue
		}
		if s.desired.Fenced && s.state.Fence == p.revision {
			weight += fencedWeight
			continue
		}
		weight += unfencedWeight
		if s.desired.Fenced && s.state.Role == s.desired.Role {
			p.raise[s.desired.Server] = true
		}
	}
	return weight >= requiredWeight
}

// keeps reports whether the server has a version of the model that it should keep.
func (s server) keeps(m Model) bool {
	for _, o := range s.state.Models {
		if o.same(m) && s.desired.includes(o) {
			return true
		}
	}
	return false
}

func (p *plan) isNamed(m Model) bool {
	return slices.ContainsFunc(p.named, m.same)
}

// planFences sends the revision to the servers in raise, by an order for the role that they have.
func (p *plan) planFences() {
	for _, s := range p.servers {
		if p.raise[s.desired.Server] {
			p.orders = append(p.orders, Order{Server: s.desired.Server, Kind: ChangeRole, Role: s.desired.Role, Fence: p.revision})
		}
	}
}

func hasRole(actual, role string) bool { return actual == role || actual == RoleBoth }

// lostRoles returns the roles that a server loses by a change from one role to another.
func lostRoles(from, to string) []string {
	var lost []string
	for _, r := range []string{RolePrefill, RoleDecode} {
		if hasRole(from, r) && !hasRole(to, r) {
			lost = append(lost, r)
		}
	}
	return lost
}
