package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// pooledCriteria are compared over all backend servers of a failure domain,
// because they hardly depend on the backend server and can be rare.
var pooledCriteria = [...]Criterion{CriterionErrors, CriterionWrongStops}

// maxServerPart bounds what one backend server can add to a pooled test, as a
// part of what stops, so that it takes three to stop a version.
const maxServerPart = 0.34

// pooledKey names a window over the backend servers of a failure domain.
type pooledKey struct {
	route  Route
	load   LoadLevel
	domain wigeonfork.FailureDomain
}

func comparePooled(a, b pooledKey) int {
	return cmp.Or(
		cmp.Compare(a.route, b.route),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.domain, b.domain),
	)
}

// pooledWindow holds the counts of one window, and which backend servers the
// new version's bad requests were on.
type pooledWindow struct {
	opened   time.Time
	old, new Counts
	bad      []serverBad
}

type serverBad struct {
	server wigeonfork.BackendServerID
	counts [len(pooledCriteria)]uint32
}

func (w *pooledWindow) add(c *Cell) {
	w.old.add(c.Old)
	w.new.add(c.New)
	found := serverBad{server: c.Stratum.Server}
	any := false
	for i, criterion := range pooledCriteria {
		found.counts[i], _ = criterion.of(c.New)
		any = any || found.counts[i] > 0
	}
	if any {
		w.bad = append(w.bad, found)
	}
}

// pooledTest is an oddsTest in which each backend server counts for a bounded
// part of the evidence.
type pooledTest struct {
	oddsTest
	charged map[wigeonfork.BackendServerID]float64
}

// addWindow takes one window for the criterion with the given index.
func (t *pooledTest) addWindow(epoch int64, limit float64, criterion int, w *pooledWindow) {
	newBad, newTotal := pooledCriteria[criterion].of(w.new)
	oldBad, oldTotal := pooledCriteria[criterion].of(w.old)
	if newTotal == 0 || oldTotal == 0 {
		return
	}
	t.startEpoch(epoch)
	if t.evidence() <= 0 {
		clear(t.charged)
	}
	t.new.bad += uint64(newBad)
	t.new.total += uint64(newTotal)
	t.old.bad += uint64(oldBad)
	t.old.total += uint64(oldTotal)
	if newBad+oldBad == 0 {
		return
	}
	counted := t.charge(limit, criterion, w, largestStep(toleratedErrorOdds, float64(newTotal), float64(oldTotal)))
	t.weigh(toleratedErrorOdds, counted, float64(oldBad), float64(newTotal), float64(oldTotal))
}

// charge returns how many of the new version's bad requests count.
func (t *pooledTest) charge(limit float64, criterion int, w *pooledWindow, step float64) float64 {
	if t.charged == nil {
		t.charged = make(map[wigeonfork.BackendServerID]float64)
	}
	counted := 0.0
	for _, bad := range w.bad {
		wanted := step * float64(bad.counts[criterion])
		room := max(0, maxServerPart*limit-t.charged[bad.server])
		taken := min(wanted, room)
		t.charged[bad.server] += taken
		counted += taken / step
	}
	return counted
}

// pool compares the versions over the backend servers of failure domains.
type pool struct {
	windows map[pooledKey]*pooledWindow
	groups  map[Route]*[len(pooledCriteria)]pooledTest
}

func newPool() pool {
	return pool{
		windows: make(map[pooledKey]*pooledWindow),
		groups:  make(map[Route]*[len(pooledCriteria)]pooledTest),
	}
}

// add counts a cell. It is false if there is no room for another window.
func (p *pool) add(now time.Time, route Route, c *Cell, maxWindows int) bool {
	key := pooledKey{route, c.Stratum.Load, c.Domain}
	w := p.windows[key]
	if w == nil {
		if len(p.windows) >= maxWindows {
			return false
		}
		w = &pooledWindow{opened: now}
		p.windows[key] = w
	}
	w.add(c)
	return true
}

// advance closes the windows that are due.
func (p *pool) advance(now time.Time, epoch int64, limit float64) {
	var due []pooledKey
	for key, w := range p.windows {
		age := now.Sub(w.opened)
		if (age >= minWindow && w.new.Starts > 0 && w.old.Starts > 0) || age >= maxWindow {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, comparePooled)
	for _, key := range due {
		p.close(epoch, limit, key.route, p.windows[key])
		delete(p.windows, key)
	}
}

func (p *pool) close(epoch int64, limit float64, route Route, w *pooledWindow) {
	for _, r := range [...]Route{route, allRoutes} {
		g := p.groups[r]
		if g == nil {
			g = new([len(pooledCriteria)]pooledTest)
			p.groups[r] = g
		}
		for i := range g {
			g[i].addWindow(epoch, limit, i, w)
		}
	}
}

// reasons returns the tests that have found something.
func (p *pool) reasons(limit float64) []Reason {
	var found []Reason
	for route, g := range p.groups {
		for i := range g {
			if evidence := g[i].evidence(); evidence > 0 {
				found = append(found, reason(pooledCriteria[i], limitKey{route, anyLoad}, &g[i].oddsTest, evidence, limit))
			}
		}
	}
	return found
}
