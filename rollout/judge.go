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
	// FalseStopProbability bounds the chance that a good version is stopped within
	// Horizon. A process that judges by its own evidence alone is given
	// its part of the whole.
	FalseStopProbability float64
	// Horizon is the longest time for which a version is judged.
	Horizon time.Duration
	// MaxRoutes bounds the routes told apart; the rest count as one.
	MaxRoutes int
}

// Defaults of a JudgeConfig.
const (
	DefaultFalseStopProbability = 0.004
	DefaultHorizon              = 4 * time.Hour
	DefaultMaxRoutes            = 128

	// deathPart is the part of FalseStop given to engine deaths.
	deathPart = 0.5
	// maxSources bounds the processes whose reports are told apart.
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

// Reason says what speaks against a version.
type Reason struct {
	Criterion Criterion
	Route     Route
	Load      LoadLevel
	// Totals are the requests compared; for engine deaths they are deaths
	// and backend servers.
	Totals Totals
	// Evidence is the logarithm of the evidence and Threshold what stops.
	Evidence, Threshold float64
}

// String explains r to an operator.
func (r Reason) String() string {
	return fmt.Sprintf("%s on route %s at load %s: %d of %d with the new version, %d of %d with the old one (evidence %.1f of %.1f)",
		r.Criterion, r.Route, r.Load, r.Totals.NewBad, r.Totals.NewTotal, r.Totals.OldBad, r.Totals.OldTotal, r.Evidence, r.Threshold)
}

// Verdict is the state of the comparison.
type Verdict struct {
	// Stop says that the new version is bad. It stays set.
	Stop bool
	// StoppedBy names the process that stopped by itself, if one did.
	StoppedBy string
	// Suspicion is the strongest evidence as a part of what stops.
	Suspicion float64
	// NewStarts is the number of requests that the new version was sent.
	NewStarts uint64
	// Reasons are the strongest, the first one first.
	Reasons []Reason
}

// Judge adds up the evidence of many processes. It is not safe for concurrent
// use.
type Judge struct {
	config    JudgeConfig
	groups    map[limitKey]*group
	pooled    map[Route]*pooledGroup
	routes    map[Route]struct{}
	sources   map[string]uint64
	deaths    deathTest
	began     time.Time
	newStarts uint64
	stop      bool
	stoppedBy string
	reasons   []Reason
	dropped   uint64
}

type group [numMatched]oddsTest

// NewJudge returns a Judge.
func NewJudge(config JudgeConfig) *Judge {
	j := &Judge{
		config:  config.WithDefaults(),
		groups:  make(map[limitKey]*group),
		pooled:  make(map[Route]*pooledGroup),
		routes:  make(map[Route]struct{}),
		sources: make(map[string]uint64),
	}
	j.deaths = newDeathTest(j.limit(j.config.FalseStopProbability*deathPart, 1, deathEpoch))
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
	if e.Stopped && !j.stop {
		j.reasons = j.strongest()
		j.stop = true
		j.stoppedBy = e.Source
	}
	j.newStarts += e.NewStarts
	for _, use := range e.Uses {
		j.deaths.used(now, use)
	}
	epoch := j.epoch(now, testEpoch)
	for _, found := range e.Increments {
		j.addIncrement(epoch, found)
	}
	for _, found := range e.ServerIncrements {
		j.addCharge(epoch, found)
	}
	for _, death := range e.Deaths {
		j.deaths.died(now, j.epoch(now, deathEpoch), death)
	}
}

// addIncrement adds to the test of the route. Pooled ones add to that of all
// routes too; for the others all routes have windows of their own.
func (j *Judge) addIncrement(epoch int64, found Increment) {
	if found.Pooled {
		for _, route := range [...]Route{j.route(found.Route), allRoutes} {
			if test := j.pooledGroup(route).of(found.Criterion); test != nil {
				test.add(epoch, found.Logs, found.Totals)
			}
		}
		return
	}
	if int(found.Criterion) >= numMatched || found.Load >= anyLoad {
		return
	}
	for _, load := range [...]LoadLevel{found.Load, anyLoad} {
		j.group(limitKey{j.route(found.Route), load})[found.Criterion].add(epoch, found.Logs, found.Totals)
	}
}

func (j *Judge) addCharge(epoch int64, found ServerIncrement) {
	for _, route := range [...]Route{j.route(found.Route), allRoutes} {
		if test := j.pooledGroup(route).of(found.Criterion); test != nil {
			test.charge(epoch, j.pooledLimit(), found.Server, found.Logs)
		}
	}
}

func (j *Judge) group(key limitKey) *group {
	g := j.groups[key]
	if g == nil {
		g = &group{}
		j.groups[key] = g
	}
	return g
}

func (j *Judge) pooledGroup(route Route) *pooledGroup {
	g := j.pooled[route]
	if g == nil {
		g = &pooledGroup{}
		j.pooled[route] = g
	}
	return g
}

// route returns the name under which a route is judged.
func (j *Judge) route(r Route) Route {
	if r == allRoutes {
		return r
	}
	if _, known := j.routes[r]; known {
		return r
	}
	if len(j.routes) >= j.config.MaxRoutes {
		return otherRoutes
	}
	j.routes[r] = struct{}{}
	return r
}

// Dropped returns how many reports came from more processes than are told
// apart.
func (j *Judge) Dropped() uint64 { return j.dropped }

func (j *Judge) epoch(now time.Time, length time.Duration) int64 {
	return int64(now.Sub(j.began) / length)
}

// limit returns the evidence at which one of tests tests stops, so that all
// of them over all epochs together stop a good version with chance part.
func (j *Judge) limit(part float64, tests int, epoch time.Duration) float64 {
	epochs := math.Ceil(float64(j.config.Horizon) / float64(epoch))
	return math.Log(float64(tests*len(oddsRatios)) * epochs / part)
}

// matchedLimit and pooledLimit take account of the routes that there are. The
// two kinds of test share alike in what engine deaths leave of FalseStop, as
// the few pooled ones would else be held back by the many others.
func (j *Judge) matchedLimit() float64 {
	tests := (len(j.routes) + 1) * int(anyLoad+1) * numMatched
	return j.limit(j.config.FalseStopProbability*(1-deathPart)/2, tests, testEpoch)
}

func (j *Judge) pooledLimit() float64 {
	tests := (len(j.routes) + 1) * len(pooledCriteria)
	return j.limit(j.config.FalseStopProbability*(1-deathPart)/2, tests, testEpoch)
}

// Verdict returns the state of the comparison.
func (j *Judge) Verdict() Verdict {
	if !j.stop {
		j.reasons = j.strongest()
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

// strongest returns the tests with the most evidence, as a part of their limit.
func (j *Judge) strongest() []Reason {
	limit := j.matchedLimit()
	var found []Reason
	for key, g := range j.groups {
		for i := range g {
			if evidence := g[i].evidence(); evidence > 0 {
				found = append(found, reason(Criterion(i), key, &g[i], evidence, limit))
			}
		}
	}
	limit = j.pooledLimit()
	for route, g := range j.pooled {
		for i := range g {
			if evidence := g[i].evidence(); evidence > 0 {
				found = append(found, reason(pooledCriteria[i], limitKey{route, anyLoad}, &g[i].oddsTest, evidence, limit))
			}
		}
	}
	if evidence := j.deaths.evidence(); evidence > 0 {
		r := reason(CriterionEngineDeaths, limitKey{allRoutes, anyLoad}, &j.deaths.test, evidence, j.deaths.limit)
		r.Totals.NewTotal, r.Totals.OldTotal = j.deaths.running()
		found = append(found, r)
	}
	slices.SortFunc(found, compareReasons)
	return found[:min(len(found), maxReasons)]
}

func reason(c Criterion, key limitKey, t *oddsTest, evidence, limit float64) Reason {
	return Reason{
		Criterion: c, Route: key.route, Load: key.load,
		Totals: t.totals, Evidence: evidence, Threshold: limit,
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
