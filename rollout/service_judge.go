package rollout

import (
	"fmt"
	"maps"
	"math"
	"time"
)

const (
	// moveStopProbability bounds the probability that a good version is stopped.
	moveStopProbability = 0.004
	// toleratedMoveOdds is the odds ratio of bad results up to which a version counts as good.
	toleratedMoveOdds = 1.5
	// maxLooks corrects the probability for judging again with each result.
	maxLooks = 20
)

// sinceHalf names the results over all routes since half of the time.
const sinceHalf Route = "(all since half)"

// RouteResults compares two versions by failures, and by slowness among the requests that did not
// fail. Slowness varies much more, so that together failures would show late.
type RouteResults struct {
	Failures Totals `cbor:"1,keyasint,omitzero"`
	Slowness Totals `cbor:"2,keyasint,omitzero"`
}

func (r *RouteResults) add(o RouteResults) {
	r.Failures.add(o.Failures)
	r.Slowness.add(o.Slowness)
}

// minus returns the results of the new version since an earlier state, with all of the old one.
func (r RouteResults) minus(earlier RouteResults) RouteResults {
	return RouteResults{Failures: r.Failures.since(earlier.Failures), Slowness: r.Slowness.since(earlier.Slowness)}
}

// since returns the totals of the new version since an earlier state, with all of the old one.
func (t Totals) since(earlier Totals) Totals {
	t.NewBad -= min(t.NewBad, earlier.NewBad)
	t.NewTotal -= min(t.NewTotal, earlier.NewTotal)
	t.NewBad = min(t.NewBad, t.NewTotal)
	return t
}

// good returns the number of good results of the new version.
func (r *RouteResults) good() uint32 { return r.Slowness.NewTotal - r.Slowness.NewBad }

// judge stops the version if its results are worse than those of the old one, on one route or over
// all routes.
func (m *ServiceMove) judge(now time.Time) {
	routes := m.results()
	m.all = RouteResults{}
	for _, r := range routes {
		m.all.add(r)
	}
	if m.half == nil && m.elapsed(now) >= m.Order.Duration/2 {
		m.half = maps.Clone(routes)
	}
	pooled := pool(routes)
	if m.half != nil {
		routes[sinceHalf] = pool(since(routes, m.half))
	}
	routes[allRoutes] = pooled
	threshold := math.Log(moveStopProbability / float64(2*len(routes)*maxLooks))
	m.suspicion = 0
	for route, r := range routes {
		m.judgeTotals("failed", route, r.Failures, threshold)
		m.judgeTotals("slow", route, r.Slowness, threshold)
	}
}

// since returns the results of the new version since an earlier state, by route.
func since(routes, earlier map[Route]RouteResults) map[Route]RouteResults {
	later := make(map[Route]RouteResults, len(routes))
	for route, r := range routes {
		later[route] = r.minus(earlier[route])
	}
	return later
}

// pool returns the results over all routes. Those of the old version are weighted by the requests of the
// new one on each route, since otherwise a version that happens to get more requests of a bad route
// looks bad itself.
func pool(routes map[Route]RouteResults) RouteResults {
	var failures, slowness []Totals
	for _, r := range routes {
		failures, slowness = append(failures, r.Failures), append(slowness, r.Slowness)
	}
	return RouteResults{Failures: poolTotals(failures), Slowness: poolTotals(slowness)}
}

// poolWeight is the number of results by which the rate of the old version on a route is drawn towards
// that over all routes, which matters only on routes with few results.
const poolWeight = 2

func poolTotals(routes []Totals) Totals {
	var sum Totals
	for _, t := range routes {
		sum.add(t)
	}
	if sum.OldTotal == 0 || sum.NewTotal == 0 {
		return sum
	}
	rate := float64(sum.OldBad) / float64(sum.OldTotal)
	expected := 0.0
	for _, t := range routes {
		expected += float64(t.NewTotal) * (float64(t.OldBad) + poolWeight*rate) / (float64(t.OldTotal) + poolWeight)
	}
	weighted := expected / float64(sum.NewTotal)
	sum.OldBad = uint32(math.Round(weighted * float64(sum.OldTotal)))
	return sum
}

func (m *ServiceMove) judgeTotals(what string, route Route, t Totals, threshold float64) {
	evidence := t.logChance()
	m.suspicion = max(m.suspicion, evidence/threshold)
	if evidence <= threshold {
		m.stage = StageStopped
		m.reason = fmt.Sprintf("route %s: %d of %d %s, with the old version %d of %d", route, t.NewBad, t.NewTotal, what, t.OldBad, t.OldTotal)
	}
}

// logChance returns the log of the probability that a version which is tolerably worse than the old
// one has as many bad results. The rate of the old one is estimated with one result of each kind
// added, so that few results of it prove little.
func (t *Totals) logChance() float64 {
	if t.NewBad == 0 {
		return 0
	}
	rate := (float64(t.OldBad) + 1) / (float64(t.OldTotal) + 2)
	odds := toleratedMoveOdds * rate / (1 - rate)
	return logBinomialTail(t.NewTotal, t.NewBad, odds/(1+odds))
}

// negligible is the part of a sum from which its decreasing terms are left out.
const negligible = 1e-12

// logBinomialTail returns the log of the probability of k or more hits in n trials with probability
// p each, or 0 if k is no more than expected.
func logBinomialTail(n, k uint32, p float64) float64 {
	if float64(k) <= float64(n)*p {
		return 0
	}
	logP, logQ := math.Log(p), math.Log1p(-p)
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(n, i) + float64(i)*logP + float64(n-i)*logQ)
		sum += term
		if term <= negligible*sum {
			break
		}
	}
	return math.Log(max(sum, math.SmallestNonzeroFloat64))
}

func logChoose(n, k uint32) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
