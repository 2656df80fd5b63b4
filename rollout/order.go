package rollout

import "cmp"

func compareStrata(a, b Stratum) int {
	return cmp.Or(
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Load, b.Load),
	)
}

func comparePooled(a, b pooledKey) int {
	return cmp.Or(
		cmp.Compare(a.domain, b.domain),
		cmp.Compare(a.route, b.route),
		cmp.Compare(a.load, b.load),
	)
}

func compareIncrements(a, b Increment) int {
	pooled := 0
	if a.Pooled != b.Pooled {
		pooled = 1
		if b.Pooled {
			pooled = -1
		}
	}
	return cmp.Or(
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.Criterion, b.Criterion),
		pooled,
	)
}

func compareServerIncrements(a, b ServerIncrement) int {
	return cmp.Or(
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Criterion, b.Criterion),
		cmp.Compare(a.Server, b.Server),
	)
}

func compareUses(a, b ServerUse) int { return cmp.Compare(a.Server, b.Server) }

func compareDeaths(a, b EngineDeath) int { return cmp.Compare(a.Server, b.Server) }
