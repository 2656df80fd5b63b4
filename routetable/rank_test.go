package routetable

import (
	"testing"

	"github.com/wigeonfork/wigeonfork"
)

func newRankedTable(t *testing.T, tenants ...Tenant) *Table {
	t.Helper()
	table, err := New(Spec{
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Priority: 1, Targets: []Target{{Service: "equal", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Priority: 1, Targets: []Target{{Service: "equal", Weight: 1}, {Service: "differing", Weight: 1}}},
			{Name: "c", Host: "h", Prefix: "/c/", Priority: 3, Public: true, Targets: []Target{{Service: "differing", Weight: 1}}},
		},
		Tenants: tenants,
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// A service is ranked only if its requests can differ in priority.
func TestOnlyServicesWithDifferingRequestsAreRanked(t *testing.T) {
	table := newRankedTable(t, Tenant{Workspace: "w"})
	if table.Ranked("equal") || !table.Ranked("differing") || table.Ranked("unknown") {
		t.Errorf("ranked: equal %v, differing %v", table.Ranked("equal"), table.Ranked("differing"))
	}
	if rank := table.Rank("unknown", &Route{Priority: 7}, nil); rank != 0 {
		t.Errorf("rank %d for an unknown service", rank)
	}
}

// Load: kinds of requests compete, and every workspace has a priority of its own. That of the workspace goes first; the
// kinds of workspaces with one priority keep the order of their routes.
func TestRankFollowsTheWorkspaceThenTheRoute(t *testing.T) {
	first := Tenant{Workspace: "first", Priority: -4, HasPriority: true}
	other := Tenant{Workspace: "other", Priority: 1, HasPriority: true}
	plain := Tenant{Workspace: "plain"}
	table := newRankedTable(t, first, other, plain)
	b, c := table.Match("h", "/b/"), table.Match("h", "/c/")
	cases := []struct {
		name   string
		route  *Route
		tenant *Tenant
		want   wigeonfork.Rank
	}{
		{"first workspace", b, &first, 0},
		{"workspace with the priority of its route", b, &other, 1},
		{"workspace without priority", b, &plain, 1},
		{"public route", c, nil, 2},
	}
	for _, k := range cases {
		if got := table.Rank("differing", k.route, k.tenant); got != k.want {
			t.Errorf("%s: rank %d, %d expected", k.name, got, k.want)
		}
	}
	if table.Ranks("differing") != 3 || table.Ranks("equal") != 2 {
		t.Errorf("%d and %d ranks", table.Ranks("differing"), table.Ranks("equal"))
	}
}
