package storepos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// small returns all positions with an era and a revision below n.
func small(n uint64) []Position {
	var list []Position
	for era := range n {
		for revision := range n {
			list = append(list, Position{Era: era, Revision: revision})
		}
	}
	return list
}

// Guards against positions that are compared by their revision alone after the store gave out
// revisions again.
func TestOrder(t *testing.T) {
	Convey("A position of a later era comes after all of the eras before, whatever its revision", t, func() {
		So(Position{Era: 2, Revision: 1}.After(Position{Era: 1, Revision: 900}), ShouldBeTrue)
		So(Position{Era: 1, Revision: 1}.After(Position{Revision: 900}), ShouldBeTrue)
	})
	Convey("The order is total: antisymmetric and transitive", t, func() {
		violations := 0
		list := small(4)
		for _, p := range list {
			for _, q := range list {
				if p.Compare(q) != -q.Compare(p) || (p.Compare(q) == 0) != (p == q) {
					violations++
				}
				for _, r := range list {
					if p.Before(q) && q.Before(r) && !p.Before(r) {
						violations++
					}
				}
			}
		}
		So(violations, ShouldEqual, 0)
	})
}

// Guards against entries that hear the same reports in different orders and end at different
// positions.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		position := rapid.Custom(func(t *rapid.T) Position {
			return Position{Era: rapid.Uint64Range(0, 5).Draw(t, "era"), Revision: rapid.Uint64Range(0, 9).Draw(t, "revision")}
		})
		reports := rapid.SliceOfN(position, 1, 20).Draw(t, "reports")
		merge := func(list []Position) (merged Position) {
			for _, p := range list {
				merged = Later(merged, p)
			}
			return merged
		}
		want := merge(reports)
		if got := merge(append(rapid.Permutation(reports).Draw(t, "order"), reports...)); got != want {
			t.Fatalf("merged to %v, then to %v", want, got)
		}
	})
}
