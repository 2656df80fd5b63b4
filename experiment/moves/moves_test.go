package moves

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRunMove(t *testing.T) {
	Convey("The same seed gives the same result and another seed gives another", t, func() {
		key := resultKey{kindFailsLate, policyRollout}
		first := runMove(7, key, 3)
		So(runMove(7, key, 3), ShouldResemble, first)
		So(runMove(8, key, 3), ShouldNotResemble, first)
		So(first.reverted, ShouldBeTrue)
		So(first.harmed, ShouldBeGreaterThan, 0)
	})
	Convey("Under the same fault, the threshold baseline reverts and the timetable completes the move", t, func() {
		timetable := runMove(7, resultKey{kindFailsAtOnce, policyTimetable}, 3)
		threshold := runMove(7, resultKey{kindFailsAtOnce, policyThreshold}, 3)
		So(timetable.doneInTime, ShouldBeTrue)
		So(threshold.reverted, ShouldBeTrue)
		So(timetable.harmed, ShouldBeGreaterThan, threshold.harmed)
	})
}

// totalsOnTarget returns totals that meet every target.
func totalsOnTarget() map[resultKey]*totals {
	results := make(map[resultKey]*totals)
	for _, k := range allKinds {
		for _, p := range allPolicies {
			results[resultKey{k, p}] = &totals{moves: 200}
		}
	}
	for _, k := range goodKinds {
		results[resultKey{k, policyRollout}].done = 200
	}
	for _, k := range badKinds {
		results[resultKey{k, policyRollout}].reverted = 200
	}
	return results
}

func TestReportTargets(t *testing.T) {
	printReport := func(kind kind, change func(*totals)) error {
		results := totalsOnTarget()
		change(results[resultKey{kind, policyRollout}])
		r := report{w: &bytes.Buffer{}, options: Options{Moves: 200}, results: results}
		return r.print(0)
	}
	Convey("Figures at their targets pass", t, func() {
		So(printReport(kindGood, func(t *totals) { t.done = 198 }), ShouldBeNil)
		So(printReport(kindSlowLate, func(t *totals) { t.reverted = 190 }), ShouldBeNil)
	})
	Convey("Each figure beyond its target fails the run", t, func() {
		for kind, change := range map[kind]func(*totals){
			kindGood:        func(t *totals) { t.done = 197 },
			kindBadHosts:    func(t *totals) { t.reverted = 10 },
			kindSlowLate:    func(t *totals) { t.reverted = 189 },
			kindFailsAtOnce: func(t *totals) { t.reverted = 199 },
			kindWrongStop:   func(t *totals) { t.worstShare = 0.051 },
			kindOneRoute:    func(t *totals) { t.sentAfterStop = 1 },
		} {
			So(errors.Is(printReport(kind, change), ErrTargetMissed), ShouldBeTrue)
		}
	})
}
