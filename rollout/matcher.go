package rollout

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// minWindow and maxWindow are the ages between which a window is
	// closed once both versions were seen in it.
	minWindow = 2 * time.Second
	maxWindow = 3 * time.Minute
	// useInterval is the time between reports that a backend server is
	// used.
	useInterval = activeFor / 2
	// reportInterval is the time between reports of findings that are not
	// urgent. From urgentEvidence on a finding is reported at once.
	reportInterval = 5 * time.Second
	urgentEvidence = 1.0
)

// pooledCriteria are compared over all backend servers of a failure domain
// too, because they hardly depend on the backend server and can be rare.
var pooledCriteria = [...]Criterion{CriterionErrors, CriterionWrongStops}

// cell holds the counts of both versions in one stratum.
type cell struct {
	stratum  Stratum
	host     wigeonfork.HostID
	domain   wigeonfork.FailureDomain
	old, new counts
}

// matcher closes windows in which both versions were seen, and turns them into
// evidence. A window is on one backend server, for one route and for all, or on
// a failure domain. Latencies of different routes can be counted together,
// because each is held against its own route's.
type matcher struct {
	windows    map[Stratum]*window
	pooled     map[pooledKey]*pooledWindow
	uses       map[wigeonfork.BackendServerID]*reportedUse
	increments map[incrementKey]*Increment
	charges    map[chargeKey]*ServerIncrement
	newStarts  uint64
	reported   time.Time
}

type window struct {
	opened   time.Time
	old, new counts
}

func (w *window) add(c *cell) {
	w.old.add(c.old)
	w.new.add(c.new)
}

// due says whether the window is to be closed, and over whether it is to be
// dropped.
func (w *window) due(now time.Time) (due, over bool) {
	age := now.Sub(w.opened)
	matched := w.new.starts > 0 && w.old.starts > 0
	return matched && age >= minWindow, age >= maxWindow
}

type pooledKey struct {
	route  Route
	load   LoadLevel
	domain wigeonfork.FailureDomain
}

// pooledWindow also says which backend servers the new version's bad requests
// were on.
type pooledWindow struct {
	window
	bad []serverBad
}

type serverBad struct {
	server wigeonfork.BackendServerID
	counts counts
}

type reportedUse struct {
	use      ServerUse
	reported time.Time
}

type incrementKey struct {
	criterion Criterion
	route     Route
	load      LoadLevel
	pooled    bool
}

type chargeKey struct {
	criterion Criterion
	route     Route
	server    wigeonfork.BackendServerID
}

func newMatcher() matcher {
	return matcher{
		windows:    make(map[Stratum]*window),
		pooled:     make(map[pooledKey]*pooledWindow),
		uses:       make(map[wigeonfork.BackendServerID]*reportedUse),
		increments: make(map[incrementKey]*Increment),
		charges:    make(map[chargeKey]*ServerIncrement),
	}
}

// add counts a cell. It is false if there is no room for another window.
func (m *matcher) add(now time.Time, c *cell, maxWindows int) bool {
	m.newStarts += uint64(c.new.starts)
	m.use(c)
	all := c.stratum
	all.Route = allRoutes
	matched := m.addMatched(now, c.stratum, c, maxWindows)
	matched = m.addMatched(now, all, c, maxWindows) && matched
	return m.addPooled(now, c, maxWindows) && matched
}

// addMatched counts a cell in a window on one backend server.
func (m *matcher) addMatched(now time.Time, key Stratum, c *cell, maxWindows int) bool {
	w := m.windows[key]
	if w == nil {
		if len(m.windows) >= maxWindows {
			return false
		}
		w = &window{opened: now}
		m.windows[key] = w
	}
	w.add(c)
	return true
}

// addPooled counts a cell in a window on a failure domain.
func (m *matcher) addPooled(now time.Time, c *cell, maxWindows int) bool {
	key := pooledKey{c.stratum.Route, c.stratum.Load, c.domain}
	w := m.pooled[key]
	if w == nil {
		if len(m.pooled) >= maxWindows {
			return false
		}
		w = &pooledWindow{window: window{opened: now}}
		m.pooled[key] = w
	}
	w.add(c)
	if c.new.errors+c.new.wrongStops > 0 {
		w.bad = append(w.bad, serverBad{server: c.stratum.Server, counts: c.new})
	}
	return true
}

func (m *matcher) use(c *cell) {
	u := m.uses[c.stratum.Server]
	if u == nil {
		u = &reportedUse{use: ServerUse{Server: c.stratum.Server, Host: c.host, Domain: c.domain}}
		m.uses[c.stratum.Server] = u
	}
	if c.new.starts > 0 && !u.use.New {
		u.reported = time.Time{}
	}
	u.use.Old = u.use.Old || c.old.starts > 0
	u.use.New = u.use.New || c.new.starts > 0
}

// flush closes the windows that are due and moves what is to be reported by
// now into e. Windows are closed in an order that does not depend on map
// iteration.
func (m *matcher) flush(now time.Time, e *Evidence) {
	for _, key := range dueWindows(now, m.windows, compareStrata) {
		m.match(key, m.windows[key])
		delete(m.windows, key)
	}
	for _, key := range dueWindows(now, m.pooled, comparePooled) {
		m.pool(key, m.pooled[key])
		delete(m.pooled, key)
	}
	m.report(now, e)
}

// closer is a window that knows when it is to be closed.
type closer interface {
	due(now time.Time) (due, over bool)
}

// dueWindows drops the windows that saw one version only for too long, and
// returns the keys of those to close.
func dueWindows[K comparable, W closer](now time.Time, windows map[K]W, compare func(a, b K) int) []K {
	var keys []K
	for key, w := range windows {
		due, over := w.due(now)
		switch {
		case due:
			keys = append(keys, key)
		case over:
			delete(windows, key)
		}
	}
	slices.SortFunc(keys, compare)
	return keys
}

func (m *matcher) match(key Stratum, w *window) {
	for i := range numMatched {
		c := Criterion(i)
		t := c.totals(w.new, w.old)
		if t.NewTotal == 0 || t.OldTotal == 0 {
			continue
		}
		logs := logRatio(c.tolerated(), float64(t.NewBad), float64(t.OldBad), float64(t.NewTotal), float64(t.OldTotal))
		m.increment(incrementKey{c, key.Route, key.Load, false}, logs, t)
	}
}

func (m *matcher) pool(key pooledKey, w *pooledWindow) {
	for _, c := range pooledCriteria {
		t := c.totals(w.new, w.old)
		newWeight, oldWeight := float64(t.NewTotal), float64(t.OldTotal)
		logs := logRatio(c.tolerated(), 0, float64(t.OldBad), newWeight, oldWeight)
		m.increment(incrementKey{c, key.route, anyLoad, true}, logs, t)
		for _, bad := range w.bad {
			if n, _ := c.of(bad.counts); n > 0 {
				logs := logRatio(c.tolerated(), float64(n), 0, newWeight, oldWeight)
				m.charge(chargeKey{c, key.route, bad.server}, logs)
			}
		}
	}
}

func (m *matcher) increment(key incrementKey, logs LogRatio, t Totals) {
	found := m.increments[key]
	if found == nil {
		found = &Increment{Criterion: key.criterion, Route: key.route, Load: key.load, Pooled: key.pooled}
		m.increments[key] = found
	}
	found.Logs.add(logs)
	found.Totals.add(t)
}

func (m *matcher) charge(key chargeKey, logs LogRatio) {
	found := m.charges[key]
	if found == nil {
		found = &ServerIncrement{Criterion: key.criterion, Route: key.route, Server: key.server}
		m.charges[key] = found
	}
	found.Logs.add(logs)
}

// urgent says that a finding is too strong to wait for the next report.
func (m *matcher) urgent() bool {
	if len(m.charges) > 0 {
		return true
	}
	for _, found := range m.increments {
		if found.Logs.most() >= urgentEvidence {
			return true
		}
	}
	return false
}

// report moves what was found into e. Increments without a bad request wait
// for one, as they add nothing to a test.
func (m *matcher) report(now time.Time, e *Evidence) {
	if !m.urgent() && now.Sub(m.reported) < reportInterval {
		return
	}
	m.reported = now
	e.NewStarts = m.newStarts
	m.newStarts = 0
	for key, found := range m.increments {
		if found.Totals.NewBad+found.Totals.OldBad > 0 {
			e.Increments = append(e.Increments, *found)
			delete(m.increments, key)
		}
	}
	for _, found := range m.charges {
		e.ServerIncrements = append(e.ServerIncrements, *found)
	}
	clear(m.charges)
	for _, u := range m.uses {
		if (u.use.Old || u.use.New) && now.Sub(u.reported) >= useInterval {
			e.Uses = append(e.Uses, u.use)
			u.reported = now
			u.use.Old, u.use.New = false, false
		}
	}
	slices.SortFunc(e.Increments, compareIncrements)
	slices.SortFunc(e.ServerIncrements, compareCharges)
	slices.SortFunc(e.Uses, compareUses)
}
