package rollout

import (
	"maps"
	"slices"
	"time"
)

// maxReportRoutes bounds the routes in one report, so that it is small. More routes are reported by
// turns.
const maxReportRoutes = 12

// MoveReport is what one entry knows of a move from its own requests. The counts are totals since
// the start of the move, so of two reports by the same source the larger counts are the later ones.
type MoveReport struct {
	// Sent counts the requests sent to the service, NewSent those sent to the new version.
	Sent    uint32 `cbor:"1,keyasint,omitempty"`
	NewSent uint32 `cbor:"2,keyasint,omitempty"`
	// Results holds the results by route, of some or all routes.
	Results map[Route]RouteResults `cbor:"3,keyasint,omitempty"`
	// HasHistory is set if the entry has seen the move from its start.
	HasHistory bool `cbor:"4,keyasint,omitempty"`
	// Handover is how far the entry has left the old version. Builds that don't wait for runs there leave it out.
	Handover Handover `cbor:"5,keyasint"`
}

// Report returns the next report of this entry. It has up to maxReportRoutes routes, those not reported
// for longest.
func (m *ServiceMove) Report() MoveReport {
	routes := slices.Sorted(maps.Keys(m.own.Results))
	m.own.Handover.Sequence++
	report := m.own
	report.Results = make(map[Route]RouteResults)
	for range min(len(routes), maxReportRoutes) {
		route := routes[m.reportedRoutes%len(routes)]
		report.Results[route] = m.own.Results[route]
		m.reportedRoutes++
	}
	return report
}

// Merge adds a report of a source, which is unique to an incarnation of an entry. Reports may arrive
// repeatedly and in any order.
func (m *ServiceMove) Merge(now time.Time, source string, report MoveReport) {
	known, isKnown := m.peers[source]
	if !isKnown && len(m.peers) >= maxSources {
		return
	}
	if !isKnown {
		known.Results = make(map[Route]RouteResults)
	}
	known.Sent, known.NewSent = max(known.Sent, report.Sent), max(known.NewSent, report.NewSent)
	known.HasHistory = known.HasHistory || report.HasHistory
	known.Handover = m.mergeHandover(now, source, known.Handover, report.Handover)
	for route, r := range report.Results {
		last, isKnown := known.Results[route]
		// One more route may stand for those beyond maxMoveRoutes.
		if isKnown || len(known.Results) <= maxMoveRoutes {
			known.Results[route] = last.latest(r)
		}
	}
	m.peers[source] = known
}

// latest returns the later counts of two states.
func (r RouteResults) latest(o RouteResults) RouteResults {
	return RouteResults{Failures: r.Failures.latest(o.Failures), Slowness: r.Slowness.latest(o.Slowness)}
}

func (t Totals) latest(o Totals) Totals {
	if uint64(o.NewTotal)+uint64(o.OldTotal) > uint64(t.NewTotal)+uint64(t.OldTotal) {
		return o
	}
	return t
}

// results returns the results of all entries by route.
func (m *ServiceMove) results() map[Route]RouteResults {
	sums := make(map[Route]RouteResults)
	for _, report := range m.reports() {
		for route, r := range report.Results {
			sum := sums[route]
			sum.add(r)
			sums[route] = sum
		}
	}
	return sums
}

// sum returns the counts of all entries, without results.
func (m *ServiceMove) sum() MoveReport {
	var sum MoveReport
	for _, report := range m.reports() {
		sum.Sent += report.Sent
		sum.NewSent += report.NewSent
	}
	return sum
}

// historyKnown reports whether an entry that has seen the move from its start has reported.
func (m *ServiceMove) historyKnown() bool {
	return slices.ContainsFunc(m.reports(), func(r MoveReport) bool { return r.HasHistory })
}

func (m *ServiceMove) reports() []MoveReport {
	list := []MoveReport{m.own}
	for _, report := range m.peers {
		list = append(list, report)
	}
	return list
}
