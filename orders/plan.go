package orders

import (
	"slices"
	"sort"
	"strings"
	"time"

	"wasabidock.dev/dock/ident"
)

// The roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Kind is what an order asks for.
type Kind string

// The kinds of orders.
const (
	Load       Kind = "load"
	Unload     Kind = "unload"
	ChangeRole Kind = "role"
)

// Model is a model, or an adapter of one, in a version. Where a table wants it,
// an empty version stands for any.
type Model struct {
	Name    ident.Model
	Adapter string
	Version string
}

// same reports whether two models answer the same requests.
func (m Model) same(o Model) bool { return m.Name == o.Name && m.Adapter == o.Adapter }

// meets reports whether a loaded model is what a table wants.
func (m Model) meets(want Model) bool {
	return m.same(want) && (want.Version == "" || m.Version == want.Version)
}

// wanted reports whether the table wants the server to have the model.
func (w DesiredState) wanted(m Model) bool { return slices.ContainsFunc(w.Models, m.meets) }

// has reports whether one of the models is what a table wants.
func has(models []Model, want Model) bool {
	return slices.ContainsFunc(models, func(m Model) bool { return m.meets(want) })
}

func (m Model) compare(o Model) int {
	return strings.Compare(string(m.Name)+"\x00"+m.Adapter+"\x00"+m.Version,
		string(o.Name)+"\x00"+o.Adapter+"\x00"+o.Version)
}

// DesiredState is what the published table asks of a server.
type DesiredState struct {
	Server ident.Server
	Role   string
	Models []Model
	Fenced bool   // the server refuses orders with an older number
	Store  string // name of the weight store from which it loads
}

// State is what a server reports of itself.
type State struct {
	Server   ident.Server
	Role     string
	Models   []Model
	Loading  []Model
	Deferred []Model // ordered to be loaded without effect, as seen by the Runner; other loads go first
	Draining bool
	Fence    uint64 // highest number that it has seen, 0 if it ignores them
	Age      time.Duration
}

// Order is an order to a server.
type Order struct {
	Server ident.Server
	Kind   Kind
	Model  Model
	Role   string
	Fence  uint64
}

// Limits bound what Plan does at once.
type Limits struct {
	MaxLoads     int           // at a time from one store
	MaxReportAge time.Duration // age up to which a report counts
}

// Withheld is an unload or change of role that Plan withholds, because too few
// other replicas remain.
type Withheld struct {
	Server ident.Server
	Kind   Kind
	Model  Model
}

// Plan returns the orders that lead from the states to the wants, and those
// that it withholds.
func Plan(revision uint64, wants []DesiredState, states []State, lim Limits) ([]Order, []Withheld) {
	p := newPlan(revision, wants, states, lim)
	for _, s := range p.servers {
		p.planRole(s)
		p.planUnloads(s)
	}
	p.planLoads()
	p.planFences()
	return p.orders, p.kept
}

type plan struct {
	revision uint64
	lim      Limits
	servers  []server // with a fresh report, in the order of their names
	named    []Model  // wanted anywhere
	orders   []Order
	kept     []Withheld
	raise    map[ident.Server]bool // to be relied on once they have seen the revision
}

type server struct {
	want  DesiredState
	state State
}

func newPlan(revision uint64, wants []DesiredState, states []State, lim Limits) *plan {
	p := &plan{revision: revision, lim: lim, raise: make(map[ident.Server]bool)}
	byName := make(map[ident.Server]State, len(states))
	for _, s := range states {
		if s.Age <= lim.MaxReportAge {
			byName[s.Server] = s
		}
	}
	for _, w := range wants {
		p.named = append(p.named, w.Models...)
		if s, ok := byName[w.Server]; ok && s.Fence <= revision {
			p.servers = append(p.servers, server{want: w, state: s})
		}
	}
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].want.Server < p.servers[j].want.Server })
	return p
}

// planRole orders the wanted role unless a model would lose its last replica
// in the present one.
func (p *plan) planRole(s server) {
	if s.state.Role == s.want.Role || s.state.Draining {
		return
	}
	for _, lost := range lostRoles(s.state.Role, s.want.Role) {
		for _, m := range s.state.Models {
			if p.isNamed(m) && !p.remains(m, lost) {
				p.kept = append(p.kept, Withheld{Server: s.want.Server, Kind: ChangeRole, Model: m})
				return
			}
		}
	}
	p.orders = append(p.orders, Order{Server: s.want.Server, Kind: ChangeRole, Role: s.want.Role, Fence: p.revision})
}

// planUnloads orders the models away that the table does not want there.
func (p *plan) planUnloads(s server) {
	if s.state.Draining {
		return
	}
	models := slices.Clone(s.state.Models)
	slices.SortFunc(models, Model.compare)
	for _, m := range models {
		if s.want.wanted(m) {
			continue
		}
		if p.isNamed(m) && !p.replaced(s, m) && !p.remainsInRoles(m, s) {
			p.kept = append(p.kept, Withheld{Server: s.want.Server, Kind: Unload, Model: m})
			continue
		}
		p.orders = append(p.orders, Order{Server: s.want.Server, Kind: Unload, Model: m, Fence: p.revision})
	}
}

// replaced reports whether the server has the wanted version of a model of
// which it is to unload another version.
func (p *plan) replaced(s server, m Model) bool {
	for _, o := range s.state.Models {
		if o != m && o.same(m) && s.want.wanted(o) {
			return true
		}
	}
	return false
}

func (p *plan) remainsInRoles(m Model, s server) bool {
	for _, r := range []string{RolePrefill, RoleDecode} {
		if plays(s.state.Role, r) && !p.remains(m, r) {
			return false
		}
	}
	return true
}

// The weights of a remaining replica, and what must remain.
const (
	weightFenced   = 2
	weightUnfenced = 1
	weightRemains  = 2
)

// remains reports whether enough servers have a model in a role and are wanted
// to keep both. The server that is to give one of them up is never among them. A server that has seen the revision refuses all older
// orders and is enough by itself.
func (p *plan) remains(m Model, role string) bool {
	weight := 0
	for _, s := range p.servers {
		if s.state.Draining {
			continue
		}
		if !plays(s.state.Role, role) || !plays(s.want.Role, role) || !s.keeps(m) {
			continue
		}
		if s.want.Fenced && s.state.Fence == p.revision {
			weight += weightFenced
			continue
		}
		weight += weightUnfenced
		if s.want.Fenced && s.state.Role == s.want.Role {
			p.raise[s.want.Server] = true
		}
	}
	return weight >= weightRemains
}

// keeps reports whether the server has a version of the model that the table
// wants it to keep.
func (s server) keeps(m Model) bool {
	for _, o := range s.state.Models {
		if o.same(m) && s.want.wanted(o) {
			return true
		}
	}
	return false
}

func (p *plan) isNamed(m Model) bool {
	return slices.ContainsFunc(p.named, m.same)
}

// planFences shows the revision to servers that others are to rely on, by an
// order for the role that they have.
func (p *plan) planFences() {
	for _, s := range p.servers {
		if p.raise[s.want.Server] {
			p.orders = append(p.orders, Order{Server: s.want.Server, Kind: ChangeRole, Role: s.want.Role, Fence: p.revision})
		}
	}
}

func plays(has, role string) bool { return has == role || has == RoleBoth }

// lostRoles returns the roles that a server gives up.
func lostRoles(from, to string) []string {
	var lost []string
	for _, r := range []string{RolePrefill, RoleDecode} {
		if plays(from, r) && !plays(to, r) {
			lost = append(lost, r)
		}
	}
	return lost
}
