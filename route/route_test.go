package route_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/route"
)

func TestMatch(t *testing.T) {
	newRoute := func(host, prefix string) *route.Route {
		return &route.Route{Name: host + prefix, Host: host, Prefix: prefix}
	}
	table := route.NewTable(route.Spec{Routes: []*route.Route{
		newRoute("a.example", "/"), newRoute("a.example", "/x/"), newRoute("a.example", "/x/y/"), newRoute("b.example", "/x/"),
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"a.example", "/x/z", "a.example/x/"},
		{"a.example", "/x", "a.example/"},
		{"A.Example", "/x/", "a.example/x/"},
		{"a.example:8080", "/x/", "a.example/x/"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		r, ok := table.Match(tt.host, tt.path)
		got := ""
		if ok {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, tt := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.899, "a"}, {0.901, "b"}, {0.9999, "b"}, {1, "b"}} {
		if got := r.Pick(tt.draw); got != tt.want {
			t.Errorf("Pick(%v) = %q, want %q", tt.draw, got, tt.want)
		}
	}
	if got := (&route.Route{}).Pick(0.5); got != "" {
		t.Errorf("Pick without targets = %q, want \"\"", got)
	}
}

func TestRetryable(t *testing.T) {
	for _, tt := range []struct {
		r    route.Route
		want bool
	}{
		{route.Route{}, false},
		{route.Route{Kind: route.Mutating, Resumable: true}, false},
		{route.Route{Kind: route.Idempotent}, true},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
	} {
		if got := tt.r.Retryable(); got != tt.want {
			t.Errorf("%+v: Retryable() = %v, want %v", tt.r, got, tt.want)
		}
	}
}

func TestLiveRejectsOlderRevisions(t *testing.T) {
	is := is.New(t)
	l := route.NewLive()
	is.True(l.Table() == nil)
	is.True(l.SetTable(route.NewTable(route.Spec{Version: 2, Revision: 20})))
	is.True(!l.SetTable(route.NewTable(route.Spec{Version: 1, Revision: 10})))
	is.True(!l.SetTable(route.NewTable(route.Spec{Version: 3, Revision: 20})))
	is.Equal(l.Table().Version(), int64(2))
	is.True(l.SetFleet(route.NewFleet(5, []*route.Server{{ID: "i", Service: "s"}})))
	is.True(!l.SetFleet(route.NewFleet(4, nil)))
	is.Equal(len(l.Fleet().ServersOf("s")), 1)
}

func TestCustomerByKey(t *testing.T) {
	is := is.New(t)
	c := &route.Customer{Name: "sur", Keys: []route.Key{route.HashKey("k1"), route.HashKey("k2")}}
	table := route.NewTable(route.Spec{Customers: []*route.Customer{c}})
	for _, k := range []string{"k1", "k2"} {
		got, ok := table.Customer(route.HashKey(k))
		is.True(ok)
		is.Equal(got.Name, "sur")
	}
	_, ok := table.Customer(route.HashKey("k3"))
	is.True(!ok)
}
