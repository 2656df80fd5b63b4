package routetable

import (
	"testing"

	"github.com/wigeonfork/wigeonfork"
)

// The priority of a workspace goes before that of its route, and a service is ranked only if its requests can differ.
func TestRankFollowsTheWorkspaceThenTheRoute(t *testing.T) {
	table, err := New(Spec{
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Priority: 1, Targets: []Target{{Service: "equal", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Priority: 1, Targets: []Target{{Service: "equal", Weight: 1}, {Service: "differing", Weight: 1}}},
			{Name: "c", Host: "h", Prefix: "/c/", Priority: 3, Public: true, Targets: []Target{{Service: "differing", Weight: 1}}},
		},
		Tenants: []Tenant{{Workspace: "w"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if table.Ranked("equal") || !table.Ranked("differing") || table.Ranked("unknown") {
		t.Errorf("ranked: equal %v, differing %v", table.Ranked("equal"), table.Ranked("differing"))
	}
	route := &Route{Priority: 2}
	cases := []struct {
		tenant *Tenant
		want   wigeonfork.Rank
	}{
		{nil, 2},
		{&Tenant{Priority: 0}, 2},
		{&Tenant{Priority: 0, HasPriority: true}, 0},
		{&Tenant{Priority: -4, HasPriority: true}, 0},
		{&Tenant{Priority: 1000, HasPriority: true}, wigeonfork.MaxRank},
	}
	for _, c := range cases {
		if got := Rank(route, c.tenant); got != c.want {
			t.Errorf("rank with %+v is %d, %d expected", c.tenant, got, c.want)
		}
	}
}
