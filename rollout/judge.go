package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// JudgeConfig sets the error probability and the bounds of a Judge.
type JudgeConfig struct {
	// FalseStopProbability bounds the probability that a good version is stopped within
	// Horizon. A process that judges by its own evidence alone gets a part of the total.
	FalseStopProbability float64
	// Horizon is the longest time for which a version is judged.
	Horizon time.Duration
	// MaxRoutes bounds the routes judged separately. Further routes are judged as one.
	MaxRoutes int
}

// Defaults of a JudgeConfig.
const (
	DefaultFalseStopProbability = 0.004
	DefaultHorizon              = 4 * time.Hour
	DefaultMaxRoutes            = 128

	// deathFraction is the part of FalseStopProbability assigned to engine deaths.
	deathFraction = 0.5
	// maxSources bounds the processes whose reports are merged.
	maxSources = 8192

	otherRoutes Route = "(other)"
	allRoutes   Route = "(all)"
)

// WithDefaults returns c with its unset fields filled in.
func (c JudgeConfig) WithDefaults() JudgeConfig {
	if c.FalseStopProbability == 0 {
		c.FalseStopProbability = DefaultFalseStopProbability
	}
	if c.Horizon == 0 {
		c.Horizon = DefaultHorizon
	}
	if c.MaxRoutes == 0 {
		c.MaxRoutes = DefaultMaxRoutes
	}
	return c
}

// Reason is the evidence of one test against a version.
type Reason struct {
	Criterion Criterion
	Route     Route
	Load      LoadLevel
	// Totals counts the compared requests. For engine deaths it counts deaths and backend
	// servers.
	Totals Totals
	// Evidence is the natural log of the test's e-value. The version is stopped at Threshold.
	Evidence, Threshold float64
}

// String describes r for an operator.
func (r Reason) String() string {
	return fmt.Sprintf("%s on route %s at load %s: %d of %d with the new version, %d of %d with the old one (evidence %.1f of %.1f)",
		r.Criterion, r.Route, r.Load, r.Totals.NewBad, r.Totals.NewTotal, r.Totals.OldBad, r.Totals.OldTotal, r.Evidence, r.Threshold)
}

// Verdict is the current result of the comparison.
type Verdict struct {
	// Stop says that the new version is bad. It stays set.
	Stop bool
	// StoppedBy names the process that stopped the version on its own evidence, if any.
	StoppedBy string
	// Suspicion is the strongest evidence as a fraction of its stop threshold.
	Suspicion float64
	// NewStarts is the number of requests sent to the new version.
	NewStarts uint64
	// Reasons lists up to maxReasons reasons, strongest first.
	Reasons []Reason
}

// Judge merges the evidence of many processes into a Verdict. It is not safe for
// concurrent use.
type Judge struct {
	config  JudgeConfig
	matched map[routeLoadKey]*matchedTests
	pooled  map[Route]*pooledTests
	routes  map[Route]struct{} // judged separately
	// judgesOthers means that further routes are judged as otherRoutes.
	judgesOthers bool
	sources      map[string]uint64
	deaths       deathTest
	start        time.Time
	newStarts    uint64
	stop         bool
	stoppedBy    string
	reasons      []Reason
	dropped      uint64
}

type matchedTests [numMatchedCriteria]oddsTest

// NewJudge returns a Judge without evidence.
func NewJudge(config JudgeConfig) *Judge {
	j := &Judge{
		config:  config.WithDefaults(),
		matched: make(map[routeLoadKey]*matchedTests),
		pooled:  make(map[Route]*pooledTests),
		routes:  make(map[Route]struct{}),
		sources: make(map[string]uint64),
	}
	j.deaths = newDeathTest(j.stopThreshold(j.config.FalseStopProbability*deathFraction, 1, deathEpoch))
	return j
}

// Merge adds one report. It ignores a report that is not newer than the last one of its
// source, and drops reports of new sources beyond maxSources.
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
	if j.start.IsZero() {
		j.start = now
	}
	if e.Stopped && !j.stop {
		j.reasons = j.strongestReasons()
		j.stop = true
		j.stoppedBy = e.Source
	}
	j.newStarts += e.NewStarts
	for _, use := range e.Uses {
		j.deaths.recordUse(now, use)
	}
	epoch := j.epoch(now, testEpoch)
	for _, increment := range e.Increments {
		j.addIncrement(epoch, increment)
	}
	for _, increment := range e.ServerIncrements {
		j.addServerIncrement(epoch, increment)
	}
	for _, death := range e.Deaths {
		j.deaths.recordDeath(now, j.epoch(now, deathEpoch), death)
	}
}

// addIncrement adds to the test of the route. A pooled increment also adds to the test of all
// routes. Matched windows over all routes are reported as increments of their own.
func (j *Judge) addIncrement(epoch int64, increment Increment) {
	if increment.Pooled {
		for _, route := range [...]Route{j.judgedRoute(increment.Route), allRoutes} {
			if test := j.pooledTestsFor(route).forCriterion(increment.Criterion); test != nil {
				test.add(epoch, increment.Logs, increment.Totals)
			}
		}
		return
	}
	if int(increment.Criterion) >= numMatchedCriteria || increment.Load >= anyLoad {
		return
	}
	for _, load := range [...]LoadLevel{increment.Load, anyLoad} {
		j.matchedTestsFor(routeLoadKey{j.judgedRoute(increment.Route), load})[increment.Criterion].add(epoch, increment.Logs, increment.Totals)
	}
}

func (j *Judge) addServerIncrement(epoch int64, increment ServerIncrement) {
	for _, route := range [...]Route{j.judgedRoute(increment.Route), allRoutes} {
		if test := j.pooledTestsFor(route).forCriterion(increment.Criterion); test != nil {
			test.addServerIncrement(epoch, j.pooledThreshold(), increment.Server, increment.Logs)
		}
	}
}

func (j *Judge) matchedTestsFor(key routeLoadKey) *matchedTests {
	tests := j.matched[key]
	if tests == nil {
		tests = &matchedTests{}
		j.matched[key] = tests
	}
	return tests
}

func (j *Judge) pooledTestsFor(route Route) *pooledTests {
	tests := j.pooled[route]
	if tests == nil {
		tests = &pooledTests{}
		j.pooled[route] = tests
	}
	return tests
}

// judgedRoute returns the route as which r is judged: itself, or otherRoutes beyond MaxRoutes.
func (j *Judge) judgedRoute(r Route) Route {
	if r == allRoutes {
		return r
	}
	if _, known := j.routes[r]; known {
		return r
	}
	if len(j.routes) >= j.config.MaxRoutes {
		j.judgesOthers = true
		return otherRoutes
	}
	j.routes[r] = struct{}{}
	return r
}

// Dropped returns how many reports were dropped because of maxSources.
func (j *Judge) Dropped() uint64 { return j.dropped }

func (j *Judge) epoch(now time.Time, length time.Duration) int64 {
	return int64(now.Sub(j.start) / length)
}

// stopThreshold returns the log evidence at which each of the given number of tests stops. All
// of them over all epochs of the horizon then stop a good version with at most the given
// probability.
func (j *Judge) stopThreshold(probability float64, tests int, epoch time.Duration) float64 {
	epochs := math.Ceil(float64(j.config.Horizon) / float64(epoch))
	return math.Log(float64(tests*len(oddsRatios)) * epochs / probability)
}

// judgedRoutes returns the number of routes with tests of their own, with allRoutes and, if there
// are any beyond MaxRoutes, otherRoutes.
func (j *Judge) judgedRoutes() int {
	n := len(j.routes) + 1
	if j.judgesOthers {
		n++
	}
	return n
}

// matchedThreshold and pooledThreshold return the stop thresholds of the two kinds of test, which
// rise with the number of routes seen. Each kind gets half of the probability that engine deaths
// leave. With a common threshold, the many matched tests would raise that of the few pooled ones.
func (j *Judge) matchedThreshold() float64 {
	tests := j.judgedRoutes() * int(anyLoad+1) * numMatchedCriteria
	return j.stopThreshold(j.config.FalseStopProbability*(1-deathFraction)/2, tests, testEpoch)
}

func (j *Judge) pooledThreshold() float64 {
	tests := j.judgedRoutes() * len(pooledCriteria)
	return j.stopThreshold(j.config.FalseStopProbability*(1-deathFraction)/2, tests, testEpoch)
}

// Verdict returns the current result of the comparison.
func (j *Judge) Verdict() Verdict {
	if !j.stop {
		j.reasons = j.strongestReasons()
		j.stop = len(j.reasons) > 0 && j.reasons[0].Evidence >= j.reasons[0].Threshold
	}
	v := Verdict{Stop: j.stop, StoppedBy: j.stoppedBy, NewStarts: j.newStarts, Reasons: j.reasons}
	if len(j.reasons) > 0 {
		v.Suspicion = j.reasons[0].Evidence / j.reasons[0].Threshold
	}
	return v
}

// maxReasons bounds the reasons in a verdict.
const maxReasons = 5

// strongestReasons returns the tests with the most evidence relative to their threshold.
func (j *Judge) strongestReasons() []Reason {
	threshold := j.matchedThreshold()
	var found []Reason
	for key, tests := range j.matched {
		for i := range tests {
			if evidence := tests[i].evidence(); evidence > 0 {
				found = append(found, newReason(Criterion(i), key, &tests[i], evidence, threshold))
			}
		}
	}
	threshold = j.pooledThreshold()
	for route, tests := range j.pooled {
		for i := range tests {
			if evidence := tests[i].evidence(); evidence > 0 {
				found = append(found, newReason(pooledCriteria[i], routeLoadKey{route, anyLoad}, &tests[i].oddsTest, evidence, threshold))
			}
		}
	}
	if evidence := j.deaths.evidence(); evidence > 0 {
		r := newReason(CriterionEngineDeaths, routeLoadKey{allRoutes, anyLoad}, &j.deaths.test, evidence, j.deaths.threshold)
		r.Totals.NewTotal, r.Totals.OldTotal = j.deaths.serverTotals()
		found = append(found, r)
	}
	slices.SortFunc(found, compareReasons)
	return found[:min(len(found), maxReasons)]
}

func newReason(c Criterion, key routeLoadKey, t *oddsTest, evidence, threshold float64) Reason {
	return Reason{
		Criterion: c, Route: key.route, Load: key.load,
		Totals: t.totals, Evidence: evidence, Threshold: threshold,
	}
}

func compareReasons(a, b Reason) int {
	return cmp.Or(
		cmp.Compare(b.Evidence/b.Threshold, a.Evidence/a.Threshold),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.Criterion, b.Criterion),
	)
}
