package rollout

import (
	"cmp"
	"slices"
)

// sortEvidence puts e in an order that does not depend on map iteration.
func sortEvidence(e *Evidence) {
	slices.SortFunc(e.Cells, func(a, b Cell) int { return compareStrata(a.Stratum, b.Stratum) })
	slices.SortFunc(e.Deaths, func(a, b Death) int { return cmp.Compare(a.Server, b.Server) })
}

func compareStrata(a, b Stratum) int {
	return cmp.Or(
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Load, b.Load),
	)
}
