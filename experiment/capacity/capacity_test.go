package capacity

import (
	"bytes"
	"encoding/csv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/experiment/report"
)

func TestFitLine(t *testing.T) {
	Convey("Points on a line are fitted exactly", t, func() {
		l := fitLine([]point{{1, 5}, {2, 7}, {10, 23}})
		So(l.slope, ShouldAlmostEqual, 2, 1e-9)
		So(l.intercept, ShouldAlmostEqual, 3, 1e-9)
		So(l.residualStdDev, ShouldAlmostEqual, 0, 1e-9)
		So(l.r2, ShouldAlmostEqual, 1, 1e-9)
	})
	Convey("Points off the line give the residual standard deviation and r2 calculated by hand", t, func() {
		l := fitLine([]point{{0, 0}, {1, 3}, {2, 0}})
		So(l.slope, ShouldAlmostEqual, 0, 1e-9)
		So(l.intercept, ShouldAlmostEqual, 1, 1e-9)
		So(l.residualStdDev, ShouldAlmostEqual, 1.4142135, 1e-6)
		So(l.r2, ShouldAlmostEqual, 0, 1e-9)
	})
	Convey("Points of equal size give a level line at their mean", t, func() {
		So(fitLine([]point{{4, 1}, {4, 3}}), ShouldResemble, line{intercept: 2, residualStdDev: 1, r2: 0})
	})
	Convey("The median ignores an outlier and does not modify its argument", t, func() {
		values := []float64{9000, 1, 2}
		So(median(values), ShouldEqual, 2)
		So(values[0], ShouldEqual, 9000)
		So(median([]float64{1, 2, 3, 10}), ShouldEqual, 2.5)
		So(median(nil), ShouldEqual, 0)
	})
}

// newSeries returns a series with the given points and their fit.
func newSeries(design float64, points ...point) series {
	return series{role: roleEntry, name: "made", unit: "us", sizeUnit: "servers", designSize: design, points: points, line: fitLine(points)}
}

func TestSeries(t *testing.T) {
	Convey("The cost at the design size is the measured one if there is one, else that of the line and at least 0", t, func() {
		measured := newSeries(2, point{1, 5}, point{2, 100}, point{3, 9})
		So(measured.atDesign(), ShouldEqual, 100)
		beyond := newSeries(100, point{1, 5}, point{2, 7})
		So(beyond.atDesign(), ShouldAlmostEqual, 203, 1e-9)
		falling := newSeries(100, point{1, 5}, point{2, 4})
		So(falling.atDesign(), ShouldEqual, 0)
	})
	Convey("The table and the CSV contain the points, the fit and the verdicts", t, func() {
		var out, data bytes.Buffer
		r := report.New(&out, &data, columns...)
		s := newSeries(10, point{1, 5}, point{2, 7})
		s.addTo(r)
		r.AtMost("made", s.atDesign(), 22, "us")
		missed, err := r.Print()
		So(err, ShouldBeNil)
		So(missed, ShouldEqual, 1)
		So(out.String(), ShouldContainSubstring, "1: 5, 2: 7")
		So(out.String(), ShouldContainSubstring, "3 + 2 x servers")
		So(out.String(), ShouldContainSubstring, "MISSED")
		rows, err := csv.NewReader(&data).ReadAll()
		So(err, ShouldBeNil)
		So(rows[1], ShouldResemble, []string{"entry", "made", "us", "1: 5, 2: 7", "3 + 2 x servers", "0", "1.000", "10", "23"})
	})
}

func TestSum(t *testing.T) {
	Convey("The sum for a role includes only its own components of one kind", t, func() {
		list := []component{
			{role: roleEntry, bytes: 1, micros: 10_000, memory: 1e6},
			{role: roleEntry, bytes: 2, micros: 1_000, memory: 2e6},
			{role: roleEntry, serving: true, bytes: 50, micros: 50, memory: 50},
			{role: roleAgent, bytes: 70, micros: 70, memory: 70},
		}
		total := sum(list, roleEntry, false)
		So(total.bytes, ShouldEqual, 3)
		So(percent(total.micros), ShouldAlmostEqual, 1.1, 1e-9)
		So(total.memory, ShouldEqual, 3e6)
		So(sum(list, roleEntry, true).bytes, ShouldEqual, 50)
		var out strings.Builder
		So(writeComponents(&out, list), ShouldBeNil)
		So(strings.Count(out.String(), "control together"), ShouldEqual, 3)
	})
}

func TestCountedCosts(t *testing.T) {
	Convey("Counted costs do not depend on real time", t, func() {
		Convey("three contenders for each of two leases cause one write and two reads a second in all", func() {
			reads, writes, err := leaseLoad(2)
			So(err, ShouldBeNil)
			So(writes, ShouldAlmostEqual, 1, 0.05)
			So(reads, ShouldAlmostEqual, 2, 0.1)
		})
		Convey("an action takes two transactions at a low rate and under 0.2 at 4,000 actions a second", func() {
			So(transactionsPerAction(0.1, 1), ShouldAlmostEqual, 2, 0.05)
			So(transactionsPerAction(4_000, 1), ShouldBeLessThan, 0.2)
		})
		Convey("each entry reports a death to every other entry once", func() {
			So(callsPerDeath(10), ShouldEqual, 9)
		})
	})
}
