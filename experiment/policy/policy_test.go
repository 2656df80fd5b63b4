package policy

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/routing"
)

func shortRun(seed uint64) scenario {
	return scenario{
		deployment: regnsamler(), seed: seed, capacity: 15_000, load: steady(0.8),
		warmup: 5 * time.Second, length: 25 * time.Second, deathsPerMin: 20,
		poisons: []time.Duration{6 * time.Second},
	}
}

func TestSimulation(t *testing.T) {
	Convey("The same seed gives the same figures and another seed gives others", t, func() {
		a, b, c := simulate(shortRun(1)), simulate(shortRun(1)), simulate(shortRun(2))
		So(a.goodTokens, ShouldEqual, b.goodTokens)
		So(quantile(a.resume, 99), ShouldEqual, quantile(b.resume, 99))
		So(a.goodTokens, ShouldNotEqual, c.goodTokens)
	})
	Convey("Every offered request ends despite engine deaths, and repeated work is counted", t, func() {
		s := shortRun(3)
		offeredFor := s.end() - 10*time.Second
		s.load = func(at time.Duration) float64 {
			if at < offeredFor {
				return 0.5
			}
			return 1e-6
		}
		s.length += 3 * time.Minute
		s.poisons = nil
		r := simulate(s)
		offered, finished := 0, 0
		for i := range r.classes {
			offered += r.classes[i].offered
			finished += r.classes[i].finished + r.classes[i].refused
		}
		So(offered, ShouldBeGreaterThan, 100)
		So(finished, ShouldEqual, offered)
		So(r.deaths, ShouldBeGreaterThan, 0)
		So(r.resume.TotalCount(), ShouldBeGreaterThan, 0)
		So(r.repeatedPrefill, ShouldBeGreaterThan, 0)
	})
	// Guards against shares of refused requests above the true ones, up to more than 100%: resends
	// counted when refused, but not when offered.
	Convey("Under overload each offered request is finished or refused, resends included", t, func() {
		s := shortRun(3)
		offeredFor := s.end() - 10*time.Second
		s.load = func(at time.Duration) float64 {
			if at < offeredFor {
				return 3
			}
			return 1e-6
		}
		s.length += 3 * time.Minute
		s.deathsPerMin, s.poisons, s.warmup = 0, nil, 0
		r := simulate(s)
		refused := 0
		for i := range r.classes {
			c := &r.classes[i]
			So(c.finished+c.refused, ShouldEqual, c.offered)
			refused += c.refused
		}
		So(refused, ShouldBeGreaterThan, 100)
	})
	Convey("Disabling a term of the routing score changes the result", t, func() {
		for _, term := range []routing.Term{routing.TermWait, routing.TermReports, routing.TermPrefix, routing.TermSpeed} {
			s := shortRun(1)
			s.disabledTerms = term
			So(simulate(s).goodTokens, ShouldNotEqual, simulate(shortRun(1)).goodTokens)
		}
	})
}

func TestEngine(t *testing.T) {
	Convey("A single stream takes the time of its prefill and its tokens, and less with a cached prefix", t, func() {
		d := regnsamler()
		e := newEngines(&d)[0]
		runStream := func(from time.Duration) (first, last time.Duration) {
			s := &stream{promptTokens: 1000, answerTokens: 100}
			s.prefixes = append(s.prefixes, (&generator{deployment: &d}).prefixes(s, &d.profiles[1], 0, 0)...)
			e.advance(from)
			e.add(s)
			for {
				at, ok := e.nextEvent()
				So(ok, ShouldBeTrue)
				begun, ended := e.step(at)
				if len(begun) > 0 {
					first = at - from
				}
				if len(ended) > 0 {
					return first, at - from
				}
			}
		}
		first, last := runStream(0)
		So(first.Seconds(), ShouldAlmostEqual, 1145/maxPrefillRate, 0.001)
		decode := 100 * minEmptyBatchGap * (1 + batchGrowth/slotsPerEngine)
		So((last - first).Seconds(), ShouldAlmostEqual, decode, 0.001)
		cachedFirst, _ := runStream(time.Hour)
		So(cachedFirst, ShouldBeLessThan, first/2)
	})
}

func TestReport(t *testing.T) {
	Convey("A missed target appears in the table, in the CSV and in the result", t, func() {
		var text, figures bytes.Buffer
		r := newReport(&text, &figures)
		r.begin("table", "a table")
		r.row("case", timing("wait", 3*time.Second, atMost(2)), percent("goodput", 0.95, atLeast(0.9)), number("free", 1, nil))
		r.end()
		result, err := r.close()
		So(err, ShouldBeNil)
		So(result.Targets, ShouldEqual, 2)
		So(result.Missed, ShouldHaveLength, 1)
		So(text.String(), ShouldContainSubstring, "3s (<=2s MISSED)")
		So(figures.String(), ShouldContainSubstring, "table,case,wait,3,<=2s,false")
	})
}
