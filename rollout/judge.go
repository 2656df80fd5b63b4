package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// JudgeConfig sets the chance of error and the bounds of a Judge.
type JudgeConfig struct {
	// FalseStop bounds the chance that a good version is stopped within
	// Horizon. A process that judges by its own evidence alone is given
	// its part of the whole.
	FalseStop float64
	// Horizon is the longest time for which a version is judged.
	Horizon time.Duration
	// MaxRoutes bounds the routes told apart; the rest count as one.
	MaxRoutes int
	// MaxStrata bounds the open windows.
	MaxStrata int
}

// Defaults of a JudgeConfig.
const (
	DefaultFalseStop = 0.004
	DefaultHorizon   = 4 * time.Hour
	DefaultMaxRoutes = 128

	// minWindow and maxWindow are the ages between which a window is
	// closed once both versions were seen in it.
	minWindow = 2 * time.Second
	maxWindow = 3 * time.Minute
	// deathPart is the part of FalseStop given to engine deaths.
	deathPart = 0.5
	// maxSources bounds the processes whose reports are told apart.
	maxSources = 8192

	otherRoutes Route = "(other)"
	allRoutes   Route = "(all)"
)

// WithDefaults returns c with its unset fields filled in.
func (c JudgeConfig) WithDefaults() JudgeConfig {
	if c.FalseStop == 0 {
		c.FalseStop = DefaultFalseStop
	}
	if c.Horizon == 0 {
		c.Horizon = DefaultHorizon
	}
	if c.MaxRoutes == 0 {
		c.MaxRoutes = DefaultMaxRoutes
	}
	if c.MaxStrata == 0 {
		c.MaxStrata = DefaultMaxStrata
	}
	return c
}

// Reason says what speaks against a version.
type Reason struct {
	Criterion Criterion
	Route     Route
	Load      LoadLevel
	// NewBad of NewTotal and OldBad of OldTotal were compared. The totals
	// are requests; for engine deaths they are backend servers.
	NewBad, NewTotal uint64
	OldBad, OldTotal uint64
	// Evidence is the logarithm of the evidence and Limit what stops.
	Evidence, Limit float64
}

// String explains r to an operator.
func (r Reason) String() string {
	return fmt.Sprintf("%s on route %s at load %s: %d of %d with the new version, %d of %d with the old one (evidence %.1f of %.1f)",
		r.Criterion, r.Route, r.Load, r.NewBad, r.NewTotal, r.OldBad, r.OldTotal, r.Evidence, r.Limit)
}

// Verdict is the state of the comparison.
type Verdict struct {
	// Stop says that the new version is bad. It stays set.
	Stop bool
	// Suspicion is the strongest evidence as a part of what stops.
	Suspicion float64
	// NewStarts is the number of requests that the new version was sent.
	NewStarts uint64
	// Reasons are the strongest, the first one first.
	Reasons []Reason
}

// Judge compares the new version with the old one in windows of the same
// backend server, route and load level. It is not safe for concurrent use.
type Judge struct {
	config    JudgeConfig
	windows   map[Stratum]*window
	groups    map[limitKey]*group
	routes    map[Route]struct{}
	sources   map[string]uint64
	pool      pool
	deaths    deathTest
	began     time.Time
	newStarts uint64
	stop      bool
	reasons   []Reason
	dropped   uint64
}

type window struct {
	opened   time.Time
	old, new Counts
}

type group struct{ tests [numMatched]oddsTest }

// NewJudge returns a Judge.
func NewJudge(config JudgeConfig) *Judge {
	j := &Judge{
		config:  config.WithDefaults(),
		windows: make(map[Stratum]*window),
		groups:  make(map[limitKey]*group),
		routes:  make(map[Route]struct{}),
		sources: make(map[string]uint64),
		pool:    newPool(),
	}
	j.deaths = newDeathTest(j.limit(j.config.FalseStop*deathPart, 1, deathEpoch))
	return j
}

// Merge takes one report. A report that was merged before is ignored.
func (j *Judge) Merge(now time.Time, e Evidence) {
	last, known := j.sources[e.Source]
	if known && e.Sequence <= last {
		return
	}
	if !known && len(j.sources) >= maxSources {
		j.dropped++
		return
	}
	j.sources[e.Source] = e.Sequence
	if j.began.IsZero() {
		j.began = now
	}
	for i := range e.Cells {
		j.mergeCell(now, &e.Cells[i])
	}
	for _, death := range e.Deaths {
		j.deaths.died(now, j.epoch(now, deathEpoch), death)
	}
}

func (j *Judge) mergeCell(now time.Time, c *Cell) {
	j.deaths.used(now, c)
	j.newStarts += uint64(c.New.Starts)
	key := c.Stratum
	key.Route = j.route(key.Route)
	if !j.pool.add(now, key.Route, c, j.config.MaxStrata) {
		j.dropped++
	}
	w := j.windows[key]
	if w == nil {
		if len(j.windows) >= j.config.MaxStrata {
			j.dropped++
			return
		}
		w = &window{opened: now}
		j.windows[key] = w
	}
	w.old.add(c.Old)
	w.new.add(c.New)
}

// route returns the name under which a route is judged.
func (j *Judge) route(r Route) Route {
	if _, known := j.routes[r]; known {
		return r
	}
	if len(j.routes) >= j.config.MaxRoutes {
		return otherRoutes
	}
	j.routes[r] = struct{}{}
	return r
}

// Advance closes the windows that are due and returns the verdict.
func (j *Judge) Advance(now time.Time) Verdict {
	for _, key := range j.dueWindows(now) {
		j.closeWindow(now, key, j.windows[key])
		delete(j.windows, key)
	}
	j.pool.advance(now, j.epoch(now, testEpoch), j.matchedLimit())
	return j.Verdict()
}

// dueWindows drops the windows that saw one version only for too long, and
// returns those to close in an order that does not depend on map iteration.
func (j *Judge) dueWindows(now time.Time) []Stratum {
	var due []Stratum
	for key, w := range j.windows {
		age := now.Sub(w.opened)
		matched := w.new.Starts > 0 && w.old.Starts > 0
		switch {
		case matched && age >= minWindow:
			due = append(due, key)
		case age >= maxWindow:
			delete(j.windows, key)
		}
	}
	slices.SortFunc(due, compareStrata)
	return due
}

func (j *Judge) closeWindow(now time.Time, key Stratum, w *window) {
	for _, route := range [...]Route{key.Route, allRoutes} {
		for _, load := range [...]LoadLevel{key.Load, anyLoad} {
			j.addWindow(now, limitKey{route, load}, w)
		}
	}
}

func (j *Judge) addWindow(now time.Time, key limitKey, w *window) {
	g := j.groups[key]
	if g == nil {
		g = &group{}
		j.groups[key] = g
	}
	epoch := j.epoch(now, testEpoch)
	for i := range g.tests {
		criterion := Criterion(i)
		newBad, newTotal := criterion.of(w.new)
		oldBad, oldTotal := criterion.of(w.old)
		g.tests[i].add(epoch, tolerated(criterion), newBad, newTotal, oldBad, oldTotal)
	}
}

func tolerated(c Criterion) float64 {
	if c == CriterionFirstToken || c == CriterionInterToken {
		return toleratedLatencyOdds
	}
	return toleratedErrorOdds
}

func (j *Judge) epoch(now time.Time, length time.Duration) int64 {
	return int64(now.Sub(j.began) / length)
}

// limit returns the evidence at which one of tests tests stops, so that all
// of them over all epochs together stop a good version with chance part.
func (j *Judge) limit(part float64, tests int, epoch time.Duration) float64 {
	epochs := math.Ceil(float64(j.config.Horizon) / float64(epoch))
	return math.Log(float64(tests*len(oddsRatios)) * epochs / part)
}

// matchedLimit takes account of the routes that there are.
func (j *Judge) matchedLimit() float64 {
	routes := len(j.routes) + 1
	tests := routes*int(anyLoad+1)*numMatched + routes*len(pooledCriteria)
	return j.limit(j.config.FalseStop*(1-deathPart), tests, testEpoch)
}

// Verdict returns the state of the comparison.
func (j *Judge) Verdict() Verdict {
	if !j.stop {
		j.reasons = j.strongest()
		j.stop = len(j.reasons) > 0 && j.reasons[0].Evidence >= j.reasons[0].Limit
	}
	v := Verdict{Stop: j.stop, NewStarts: j.newStarts, Reasons: j.reasons}
	if len(j.reasons) > 0 {
		v.Suspicion = j.reasons[0].Evidence / j.reasons[0].Limit
	}
	return v
}

// maxReasons bounds the reasons in a verdict.
const maxReasons = 5

// strongest returns the tests with the most evidence, as a part of their limit.
func (j *Judge) strongest() []Reason {
	limit := j.matchedLimit()
	var found []Reason
	for key, g := range j.groups {
		for i := range g.tests {
			if evidence := g.tests[i].evidence(); evidence > 0 {
				found = append(found, reason(Criterion(i), key, &g.tests[i], evidence, limit))
			}
		}
	}
	found = append(found, j.pool.reasons(limit)...)
	if evidence := j.deaths.evidence(); evidence > 0 {
		r := reason(CriterionDeaths, limitKey{allRoutes, anyLoad}, &j.deaths.test, evidence, j.deaths.limit)
		r.NewTotal, r.OldTotal = j.deaths.running()
		found = append(found, r)
	}
	slices.SortFunc(found, compareReasons)
	return found[:min(len(found), maxReasons)]
}

func reason(c Criterion, key limitKey, t *oddsTest, evidence, limit float64) Reason {
	return Reason{
		Criterion: c, Route: key.route, Load: key.load,
		NewBad: t.new.bad, NewTotal: t.new.total, OldBad: t.old.bad, OldTotal: t.old.total,
		Evidence: evidence, Limit: limit,
	}
}

func compareReasons(a, b Reason) int {
	return cmp.Or(
		cmp.Compare(b.Evidence/b.Limit, a.Evidence/a.Limit),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.Criterion, b.Criterion),
	)
}
