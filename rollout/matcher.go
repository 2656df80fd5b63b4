package rollout

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// A window in which both versions were seen is closed from the age of minWindow on. One
	// without both versions is dropped at the age of maxWindow.
	minWindow = 2 * time.Second
	maxWindow = 3 * time.Minute
	// useReportInterval is the time between reports that a backend server is in use.
	useReportInterval = activeWindow / 2
	// reportInterval is the time between reports of findings that are not urgent. A finding
	// whose log evidence is at least urgentEvidence is reported at once.
	reportInterval = 5 * time.Second
	urgentEvidence = 1.0
)

// pooledCriteria are also compared over all backend servers of a failure domain, because they
// hardly depend on the backend server and can be rare.
var pooledCriteria = [...]Criterion{CriterionErrors, CriterionWrongStops}

// stratumCounts holds the counts of both versions in one stratum.
type stratumCounts struct {
	stratum  Stratum
	host     wigeonfork.HostID
	domain   wigeonfork.FailureDomain
	old, new counts
}

// matcher closes windows in which both versions were seen and turns them into evidence. A
// matched window covers a backend server, for one route or for all. A pooled window covers a
// failure domain. Latencies of different routes can be counted together, because each is
// compared with its own route's.
type matcher struct {
	windows          map[Stratum]*window
	pooled           map[pooledKey]*pooledWindow
	uses             map[wigeonfork.BackendServerID]*pendingUse
	increments       map[incrementKey]*Increment
	serverIncrements map[serverIncrementKey]*ServerIncrement
	newStarts        uint64
	lastReport       time.Time
}

type window struct {
	opened   time.Time
	old, new counts
}

func (w *window) add(c *stratumCounts) {
	w.old.add(c.old)
	w.new.add(c.new)
}

// due reports whether the window must be closed, and whether it is too old to be kept.
func (w *window) due(now time.Time) (due, expired bool) {
	age := now.Sub(w.opened)
	matched := w.new.starts > 0 && w.old.starts > 0
	return matched && age >= minWindow, age >= maxWindow
}

type pooledKey struct {
	route  Route
	load   LoadLevel
	domain wigeonfork.FailureDomain
}

// pooledWindow also records on which backend servers the new version had bad requests.
type pooledWindow struct {
	window
	bad []serverCounts
}

type serverCounts struct {
	server wigeonfork.BackendServerID
	counts counts
}

type pendingUse struct {
	use        ServerUse
	lastReport time.Time
}

type incrementKey struct {
	criterion Criterion
	route     Route
	load      LoadLevel
	pooled    bool
}

type serverIncrementKey struct {
	criterion Criterion
	route     Route
	server    wigeonfork.BackendServerID
}

func newMatcher() matcher {
	return matcher{
		windows:          make(map[Stratum]*window),
		pooled:           make(map[pooledKey]*pooledWindow),
		uses:             make(map[wigeonfork.BackendServerID]*pendingUse),
		increments:       make(map[incrementKey]*Increment),
		serverIncrements: make(map[serverIncrementKey]*ServerIncrement),
	}
}

// add adds the counts of a stratum. It returns false if the number of windows is exhausted.
func (m *matcher) add(now time.Time, c *stratumCounts, maxWindows int) bool {
	m.newStarts += uint64(c.new.starts)
	m.recordUse(c)
	all := c.stratum
	all.Route = allRoutes
	matched := m.addMatched(now, c.stratum, c, maxWindows)
	matched = m.addMatched(now, all, c, maxWindows) && matched
	return m.addPooled(now, c, maxWindows) && matched
}

// addMatched adds the counts to the matched window of key.
func (m *matcher) addMatched(now time.Time, key Stratum, c *stratumCounts, maxWindows int) bool {
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

// addPooled adds the counts to the pooled window of their failure domain.
func (m *matcher) addPooled(now time.Time, c *stratumCounts, maxWindows int) bool {
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
		w.bad = append(w.bad, serverCounts{server: c.stratum.Server, counts: c.new})
	}
	return true
}

func (m *matcher) recordUse(c *stratumCounts) {
	u := m.uses[c.stratum.Server]
	if u == nil {
		u = &pendingUse{use: ServerUse{Server: c.stratum.Server, Host: c.host, Domain: c.domain}}
		m.uses[c.stratum.Server] = u
	}
	if c.new.starts > 0 && !u.use.New {
		u.lastReport = time.Time{}
	}
	u.use.Old = u.use.Old || c.old.starts > 0
	u.use.New = u.use.New || c.new.starts > 0
}

// flush closes the windows that are due and moves the findings to report into e. It closes
// windows in a fixed order that does not depend on map iteration.
func (m *matcher) flush(now time.Time, e *Evidence) {
	for _, key := range dueWindows(now, m.windows, compareStrata) {
		m.closeMatched(key, m.windows[key])
		delete(m.windows, key)
	}
	for _, key := range dueWindows(now, m.pooled, comparePooled) {
		m.closePooled(key, m.pooled[key])
		delete(m.pooled, key)
	}
	m.appendReport(now, e)
}

// timedWindow is a window that is closed or dropped by its age.
type timedWindow interface {
	due(now time.Time) (due, expired bool)
}

// dueWindows drops expired windows and returns the keys of those to close, in order.
func dueWindows[K comparable, W timedWindow](now time.Time, windows map[K]W, compare func(a, b K) int) []K {
	var keys []K
	for key, w := range windows {
		due, expired := w.due(now)
		switch {
		case due:
			keys = append(keys, key)
		case expired:
			delete(windows, key)
		}
	}
	slices.SortFunc(keys, compare)
	return keys
}

func (m *matcher) closeMatched(key Stratum, w *window) {
	for i := range numMatchedCriteria {
		c := Criterion(i)
		t := c.totals(w.new, w.old)
		if t.NewTotal == 0 || t.OldTotal == 0 {
			continue
		}
		logs := logRatio(c.toleratedOdds(), float64(t.NewBad), float64(t.OldBad), float64(t.NewTotal), float64(t.OldTotal))
		m.addIncrement(incrementKey{c, key.Route, key.Load, false}, logs, t)
	}
}

func (m *matcher) closePooled(key pooledKey, w *pooledWindow) {
	for _, c := range pooledCriteria {
		t := c.totals(w.new, w.old)
		newWeight, oldWeight := float64(t.NewTotal), float64(t.OldTotal)
		logs := logRatio(c.toleratedOdds(), 0, float64(t.OldBad), newWeight, oldWeight)
		m.addIncrement(incrementKey{c, key.route, anyLoad, true}, logs, t)
		for _, bad := range w.bad {
			if n, _ := c.badAndTotal(bad.counts); n > 0 {
				logs := logRatio(c.toleratedOdds(), float64(n), 0, newWeight, oldWeight)
				m.addServerIncrement(serverIncrementKey{c, key.route, bad.server}, logs)
			}
		}
	}
}

func (m *matcher) addIncrement(key incrementKey, logs LogRatio, t Totals) {
	found := m.increments[key]
	if found == nil {
		found = &Increment{Criterion: key.criterion, Route: key.route, Load: key.load, Pooled: key.pooled}
		m.increments[key] = found
	}
	found.Logs.add(logs)
	found.Totals.add(t)
}

func (m *matcher) addServerIncrement(key serverIncrementKey, logs LogRatio) {
	found := m.serverIncrements[key]
	if found == nil {
		found = &ServerIncrement{Criterion: key.criterion, Route: key.route, Server: key.server}
		m.serverIncrements[key] = found
	}
	found.Logs.add(logs)
}

// urgent reports whether a finding is too strong to wait for the next report.
func (m *matcher) urgent() bool {
	if len(m.serverIncrements) > 0 {
		return true
	}
	for _, found := range m.increments {
		if found.Logs.atMaxRatio() >= urgentEvidence {
			return true
		}
	}
	return false
}

// appendReport moves the findings into e. Increments without a bad request are held back until
// there is one, because they add nothing to a test.
func (m *matcher) appendReport(now time.Time, e *Evidence) {
	if !m.urgent() && now.Sub(m.lastReport) < reportInterval {
		return
	}
	m.lastReport = now
	e.NewStarts = m.newStarts
	m.newStarts = 0
	for key, found := range m.increments {
		if found.Totals.NewBad+found.Totals.OldBad > 0 {
			e.Increments = append(e.Increments, *found)
			delete(m.increments, key)
		}
	}
	for _, found := range m.serverIncrements {
		e.ServerIncrements = append(e.ServerIncrements, *found)
	}
	clear(m.serverIncrements)
	for _, u := range m.uses {
		if (u.use.Old || u.use.New) && now.Sub(u.lastReport) >= useReportInterval {
			e.Uses = append(e.Uses, u.use)
			u.lastReport = now
			u.use.Old, u.use.New = false, false
		}
	}
	slices.SortFunc(e.Increments, compareIncrements)
	slices.SortFunc(e.ServerIncrements, compareServerIncrements)
	slices.SortFunc(e.Uses, compareUses)
}
