package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
)

var (
	testVersions = VersionPair{Old: "v1", New: "v2"}
	testStart    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// simulation sends requests on both versions to twelve backend servers in three failure
// domains every second. Its run returns the last verdict and when it was given.
type simulation struct {
	r             *rand.Rand
	collector     *Collector
	judge         *Judge
	canaryServers int
	// alter changes a sample before it is counted.
	alter func(now time.Duration, server int, s *Sample)
}

func newSimulation() *simulation {
	return &simulation{
		r:             rand.New(rand.NewPCG(1, 2)),
		collector:     NewCollector("e1", testVersions),
		judge:         NewJudge(JudgeConfig{}),
		canaryServers: 3,
		alter:         func(time.Duration, int, *Sample) {},
	}
}

func testServerStart(version wigeonfork.Version, route Route, server int) Start {
	return Start{
		Version: version,
		Stratum: Stratum{Route: route, Server: wigeonfork.BackendServerID(fmt.Sprintf("b%d", server))},
		Host:    wigeonfork.HostID(fmt.Sprintf("h%d", server)),
		Domain:  wigeonfork.FailureDomain(fmt.Sprintf("d%d", server%3)),
	}
}

func (sim *simulation) run(duration time.Duration) (Verdict, time.Duration) {
	var verdict Verdict
	for now := time.Duration(0); now < duration; now += time.Second {
		for server := range 12 {
			for _, route := range []Route{"a", "b"} {
				sim.request(now, "v1", route, server)
				if server < sim.canaryServers {
					sim.request(now, "v2", route, server)
				}
			}
		}
		sim.judge.Merge(testStart.Add(now), sim.collector.Flush(testStart.Add(now)))
		verdict = sim.judge.Verdict()
		if verdict.Stop {
			return verdict, now
		}
	}
	return verdict, duration
}

func (sim *simulation) request(now time.Duration, version wigeonfork.Version, route Route, server int) {
	s := Sample{Start: testServerStart(version, route, server)}
	s.FirstToken = time.Duration((0.5 + sim.r.Float64()) * float64(time.Second))
	s.InterToken = time.Duration((0.5 + sim.r.Float64()) * float64(time.Second) / 20)
	if sim.r.Float64() < 0.01 {
		s.Outcome = OutcomeError
	}
	sim.alter(now, server, &s)
	sim.collector.Started(testStart.Add(now), s.Start)
	sim.collector.Observed(testStart.Add(now), s)
}

func TestJudge(t *testing.T) {
	const trial = 20 * time.Minute
	isNew := func(s *Sample) bool { return s.Version == "v2" }
	Convey("Given requests on both versions at the same time", t, func() {
		sim := newSimulation()
		Convey("a good version is not stopped", func() {
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeFalse)
			So(verdict.NewStarts, ShouldBeGreaterThan, 1000)
		})
		Convey("a failing version is stopped within 10 seconds and stays stopped", func() {
			sim.alter = func(_ time.Duration, _ int, s *Sample) {
				if isNew(s) {
					s.Outcome = OutcomeError
				}
			}
			verdict, after := sim.run(trial)
			So(verdict.Stop, ShouldBeTrue)
			So(after, ShouldBeLessThan, 10*time.Second)
			So(verdict.Reasons[0].Criterion, ShouldEqual, CriterionErrors)
			sim.alter = func(time.Duration, int, *Sample) {}
			later, _ := sim.run(time.Hour)
			So(later.Stop, ShouldBeTrue)
		})
		Convey("a version that starts to fail after 10 minutes is stopped within 10 seconds", func() {
			sim.alter = func(now time.Duration, _ int, s *Sample) {
				if isNew(s) && now > 10*time.Minute {
					s.Outcome = OutcomeError
				}
			}
			_, after := sim.run(trial)
			So(after, ShouldBeBetween, 10*time.Minute, 10*time.Minute+10*time.Second)
		})
		Convey("a version with twice the inter-token latency is stopped", func() {
			sim.alter = func(_ time.Duration, _ int, s *Sample) {
				if isNew(s) {
					s.InterToken *= 2
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeTrue)
			So(verdict.Reasons[0].Criterion, ShouldEqual, CriterionInterToken)
		})
		Convey("a version that fails on one route is stopped, and the reason names the route", func() {
			sim.alter = func(_ time.Duration, _ int, s *Sample) {
				if isNew(s) && s.Stratum.Route == "b" && sim.r.Float64() < 0.3 {
					s.Outcome = OutcomeError
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeTrue)
			text := fmt.Sprint(verdict.Reasons)
			So(text, ShouldContainSubstring, "errors on route b")
			So(text, ShouldNotContainSubstring, "errors on route a")
		})
		Convey("a rate of wrong stops of 0.5 percent is found within 5000 requests", func() {
			sim.alter = func(_ time.Duration, _ int, s *Sample) {
				if isNew(s) && sim.r.Float64() < 0.005 {
					s.Outcome = OutcomeWrongStop
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeTrue)
			So(verdict.NewStarts, ShouldBeLessThan, 5000)
			So(verdict.Reasons[0].Criterion, ShouldEqual, CriterionWrongStops)
		})
		Convey("a backend server that fails and is slow for both versions does not stop the new one", func() {
			sim.alter = func(now time.Duration, server int, s *Sample) {
				if server == 0 && now > 5*time.Minute {
					s.FirstToken *= 4
					if sim.r.Float64() < 0.5 {
						s.Outcome = OutcomeError
					}
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeFalse)
		})
		Convey("repeated engine deaths on one host do not stop the version", func() {
			sim.alter = func(now time.Duration, server int, s *Sample) {
				if server == 0 && now%(30*time.Second) == 0 {
					s.Outcome = OutcomeEngineDeath
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeFalse)
		})
		Convey("repeated engine deaths on two of the three hosts that run the version do not stop it", func() {
			sim.alter = func(now time.Duration, server int, s *Sample) {
				if server < 2 && now > time.Minute && now%time.Minute == time.Duration(server)*15*time.Second {
					s.Outcome = OutcomeEngineDeath
				}
			}
			verdict, _ := sim.run(3 * trial)
			So(verdict.Stop, ShouldBeFalse)
			So(verdict.Reasons[0].Criterion, ShouldEqual, CriterionEngineDeaths)
		})
		Convey("the loss of a failure domain does not stop the version", func() {
			sim.alter = func(now time.Duration, server int, s *Sample) {
				if server%3 == 0 && now == 5*time.Minute {
					s.Outcome = OutcomeEngineDeath
				}
			}
			verdict, _ := sim.run(trial)
			So(verdict.Stop, ShouldBeFalse)
		})
		Convey("engine deaths on all hosts that run the version stop it", func() {
			sim.alter = func(now time.Duration, server int, s *Sample) {
				if server < 3 && now > time.Minute && now%(time.Minute) == time.Duration(server)*15*time.Second {
					s.Outcome = OutcomeEngineDeath
				}
			}
			verdict, _ := sim.run(3 * trial)
			So(verdict.Stop, ShouldBeTrue)
			So(verdict.Reasons[0].Criterion, ShouldEqual, CriterionEngineDeaths)
		})
	})
	Convey("First tokens on the cold cache of a new or restarted engine are not counted", t, func() {
		c := NewCollector("e1", testVersions)
		start := testServerStart("v2", "a", 0)
		counted := func(at time.Duration) uint32 {
			now := testStart.Add(at)
			c.Flush(now)
			for range 2 * minQuantileValues {
				c.Observed(now, Sample{Start: testServerStart("v1", "a", 0), FirstToken: time.Second})
			}
			c.Started(now, start)
			c.Observed(now, Sample{Start: start, FirstToken: time.Second})
			return c.strata[start.Stratum].new.firstTokens
		}
		So(counted(0), ShouldEqual, 0)
		So(counted(DefaultWarmUp), ShouldEqual, 1)
		c.EngineRestarted(start.Stratum.Server)
		So(counted(DefaultWarmUp+time.Second), ShouldEqual, 0)
		So(counted(2*DefaultWarmUp+time.Second), ShouldEqual, 1)
	})
	Convey("Simultaneous deaths in one failure domain count as one", t, func() {
		d := newDeathTest(100)
		for server := range 6 {
			start := testServerStart("v2", "a", server)
			d.recordUse(testStart, ServerUse{Server: start.Stratum.Server, Host: start.Host, Domain: start.Domain, New: true})
		}
		old := testServerStart("v1", "a", 9)
		d.recordUse(testStart, ServerUse{Server: old.Stratum.Server, Host: old.Host, Domain: old.Domain, Old: true})
		for server := range 6 {
			start := testServerStart("v2", "a", server)
			d.recordDeath(testStart, 0, EngineDeath{Server: start.Stratum.Server, Host: start.Host, Domain: start.Domain})
		}
		So(d.test.totals.NewBad, ShouldEqual, 3)
	})
	Convey("A stop by one process stops the version, even if its first report is lost", t, func() {
		j := NewJudge(JudgeConfig{})
		c := NewCollector("e1", testVersions)
		c.MarkStopped()
		lost := c.Flush(testStart)
		So(lost.Empty(), ShouldBeFalse)
		j.Merge(testStart, c.Flush(testStart))
		So(j.Verdict().Stop, ShouldBeTrue)
		So(j.Verdict().StoppedBy, ShouldEqual, "e1")
	})
	Convey("A report that arrives twice counts once", t, func() {
		j := NewJudge(JudgeConfig{})
		c := NewCollector("e1", testVersions)
		c.Started(testStart, testServerStart("v2", "a", 0))
		e := c.Flush(testStart)
		j.Merge(testStart, e)
		j.Merge(testStart, e)
		So(j.Verdict().NewStarts, ShouldEqual, 1)
	})
}

// TestThresholdCountsRoutesBeyondMaximum guards against more wrong stops than configured: the
// routes beyond MaxRoutes are judged by a test that the correction for many tests left out.
func TestThresholdCountsRoutesBeyondMaximum(t *testing.T) {
	Convey("The stop threshold counts the tests of all routes, also of those that are judged as one", t, func() {
		j := NewJudge(JudgeConfig{MaxRoutes: 2})
		perKind := j.config.FalseStopProbability * (1 - deathFraction) / 2
		for n, route := range []Route{"r1", "r2", "r3", "r4"} {
			j.Merge(testStart, Evidence{Source: "e", Sequence: uint64(n + 1), Increments: []Increment{
				{Route: route, Pooled: true, Criterion: pooledCriteria[0]},
				{Route: route, Criterion: 0},
				{Route: allRoutes, Criterion: 0},
			}})
			So(j.pooledThreshold(), ShouldEqual, j.stopThreshold(perKind, len(j.pooled)*len(pooledCriteria), testEpoch))
			matchedRoutes := len(j.matched) / 2 // each at one load and at any
			So(j.matchedThreshold(), ShouldEqual, j.stopThreshold(perKind, matchedRoutes*int(anyLoad+1)*numMatchedCriteria, testEpoch))
		}
	})
}
