package rollout

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// Guards against plain requests that are still at old servers when these end with the completion.
func TestServiceMoveHandsOverBeforeCompletion(t *testing.T) {
	timeUp := moveStart.Add(moveOrder.Duration - maxFinishMargin + 200*time.Millisecond)
	Convey("A version that is to be completed gets all requests for some time before", t, func() {
		m := newTestMove(1, 0.5)
		for range 12 {
			m.Answered(newVersion, moveRoute, false)
			m.Timed(newVersion, moveRoute, false)
		}
		m.own.NewSent = 1000
		m.Step(timeUp.Add(-moveSimulationStep), manyUsable)
		So(m.Preference(timeUp.Add(-moveSimulationStep)), ShouldResemble, []wigeonfork.Version{oldVersion})
		So(m.Preference(timeUp), ShouldResemble, []wigeonfork.Version{newVersion, oldVersion})
		m.Step(timeUp.Add(moveSimulationStep), manyUsable)
		So(m.Finished(), ShouldBeFalse)
		So(m.Preference(timeUp.Add(moveSimulationStep)), ShouldResemble, []wigeonfork.Version{newVersion, oldVersion})
		m.Step(timeUp.Add(2*moveSimulationStep), manyUsable)
		So(m.Finished(), ShouldBeTrue)
	})
	Convey("The second leader completes a short move in time too", t, func() {
		short := moveOrder
		short.Duration = 6 * time.Second
		m := NewServiceMove(moveStart, short, oldVersion, short.Duration, moveLimits, true, 0.5)
		m.SetEntries(2)
		m.Advance(StageTrial, "")
		m.Timed(newVersion, moveRoute, false)
		second := manyUsable
		second.Rank = 1
		m.Step(moveStart.Add(short.Duration-200*time.Millisecond), second)
		So(m.Finished(), ShouldBeFalse)
		m.Step(moveStart.Add(short.Duration-100*time.Millisecond), second)
		So(m.Finished(), ShouldBeTrue)
	})
	Convey("One with too few servers gets none", t, func() {
		m := newTestMove(1, 0.5)
		for range 12 {
			m.Timed(newVersion, moveRoute, false)
		}
		m.own.NewSent = 1000
		few := FleetView{OldUsable: 24, NewUsable: 3, Rank: 5}
		m.Step(timeUp, few)
		So(m.Preference(timeUp)[0], ShouldEqual, oldVersion)
	})
}

// Guards against a bad version that gets more than allowed since its entries forget at restarts what
// they sent, and against a good one that gets nothing and is stopped at the deadline for that.
func TestServiceMoveRestarts(t *testing.T) {
	// sendAfterRestarts plays a move at entries that are all restarted at the given ages of the move.
	sendAfterRestarts := func(entries int, rate, random float64, ages ...time.Duration) (sent, newSent int) {
		moves := make([]*ServiceMove, entries)
		start := func(age time.Duration) {
			for i := range moves {
				offset := random + float64(i)/float64(entries)
				offset -= math.Floor(offset)
				// A restarted entry reads the order as if it were new, and then when it was given.
				moves[i] = NewServiceMove(moveStart.Add(age), moveOrder, oldVersion, moveOrder.Duration, moveLimits, age == 0, offset)
				moves[i].SetEntries(entries)
				moves[i].Shorten(moveStart.Add(age), moveOrder.Duration-age)
				moves[i].Advance(StageTrial, "")
			}
		}
		start(0)
		pause := time.Duration(float64(time.Second) / rate)
		for age := pause; age < moveOrder.Duration-maxFinishMargin; age += pause {
			if len(ages) > 0 && age >= ages[0] {
				start(ages[0])
				ages = ages[1:]
			}
			m := moves[sent%entries]
			version := m.Preference(moveStart.Add(age))[0]
			m.Sent(version)
			sent++
			if version == newVersion {
				newSent++
			}
		}
		return sent, newSent
	}
	Convey("Entries that are restarted send the new version no more than others, and something", t, func() {
		for _, entries := range []int{1, 4, 31} {
			for _, rate := range []float64{9, 29, 40, 200} {
				sent, undisturbed := sendAfterRestarts(entries, rate, 0.3)
				for _, ages := range [][]time.Duration{{2 * time.Second}, {7 * time.Second}, {3 * time.Second, 6 * time.Second, 9 * time.Second}} {
					_, newSent := sendAfterRestarts(entries, rate, 0.3, ages...)
					t.Logf("%d entries, %.0f requests a second, restarts at %v: %d of %d sent, %d without restarts", entries, rate, ages, newSent, sent, undisturbed)
					So(newSent, ShouldBeGreaterThanOrEqualTo, minTrialResults)
					So(float64(newSent), ShouldBeLessThanOrEqualTo, moveLimits.Share*float64(sent)+moveLimits.Slack)
				}
			}
		}
	})
	Convey("The deadline stays that of the order", t, func() {
		m := NewServiceMove(moveStart.Add(5*time.Second), moveOrder, oldVersion, moveOrder.Duration, moveLimits, false, 0.5)
		m.Shorten(moveStart.Add(5*time.Second), moveOrder.Duration-5*time.Second)
		m.Shorten(moveStart.Add(5*time.Second), moveOrder.Duration-2*time.Second)
		So(m.Left(moveStart), ShouldEqual, moveOrder.Duration)
	})
	Convey("Without any entry that has seen its start, a version needs more than one good result", t, func() {
		end := moveStart.Add(moveOrder.Duration - 500*time.Millisecond)
		for _, known := range []bool{false, true} {
			m := NewServiceMove(moveStart.Add(5*time.Second), moveOrder, oldVersion, moveOrder.Duration-5*time.Second, moveLimits, false, 0.5)
			m.SetEntries(2)
			m.Advance(StageTrial, "")
			m.Merge(moveStart, "a", MoveReport{HasHistory: known})
			m.Timed(newVersion, moveRoute, false)
			m.Step(end, manyUsable)
			So(m.Finished(), ShouldEqual, known)
		}
	})
}

// Guards against a good version that is taken for slow since by chance it got many requests of a route
// whose requests are slow in any version, and against a bad one that is excused by such a route.
func TestServiceMoveRouteMix(t *testing.T) {
	const slowRoute Route = "slow"
	timed := func(m *ServiceMove, route Route, newSlow, newTotal, oldSlow, oldTotal uint32) {
		m.addResult(route, RouteResults{Slowness: Totals{NewBad: newSlow, NewTotal: newTotal, OldBad: oldSlow, OldTotal: oldTotal}})
	}
	decided := moveStart.Add(moveOrder.Duration - 500*time.Millisecond)
	for _, c := range []struct {
		name    string
		newSlow uint32
		good    bool
	}{{"as slow as the old one on each route", 1, true}, {"slow on the others too", 14, false}} {
		Convey("A version "+c.name, t, func() {
			m := newTestMove(1, 0.5)
			timed(m, slowRoute, 6, 6, 16, 16)
			timed(m, moveRoute, c.newSlow, 27, 2, 660)
			m.Step(moveStart.Add(moveOrder.Duration*2/3), manyUsable)
			stage, _ := m.Stage()
			So(stage == StageTrial, ShouldEqual, c.good)
			m.Step(decided, manyUsable)
			So(m.Finished(), ShouldEqual, c.good)
		})
	}
}

// Guards against a bad version that is completed since the old one had no requests to compare it with: its servers
// were down for the whole move.
func TestServiceMoveWithoutResultsOfTheOldVersion(t *testing.T) {
	timeUp := moveStart.Add(moveOrder.Duration - 500*time.Millisecond)
	// play ends a move with results of the new version, of which every n-th is a failure, and old results.
	play := func(results, everyNth, oldResults int) *ServiceMove {
		m := newTestMove(1, 0.5)
		for i := range results {
			failed := everyNth > 0 && i%everyNth == 0
			m.Answered(newVersion, moveRoute, failed)
			if !failed {
				m.Timed(newVersion, moveRoute, false)
			}
		}
		for i := range oldResults {
			m.Answered(oldVersion, moveRoute, i%2 == 0)
			m.Timed(oldVersion, moveRoute, false)
		}
		m.Step(timeUp, manyUsable)
		m.Step(timeUp.Add(2*maxHandover), manyUsable)
		return m
	}
	Convey("A version that fails half of its requests is stopped, also if the old one got none", t, func() {
		m := play(32, 2, 0)
		stage, reason := m.Stage()
		So(stage, ShouldEqual, StageStopped)
		So(reason, ShouldContainSubstring, "fails")
	})
	Convey("A version that hardly fails is completed", t, func() {
		So(play(32, 0, 0).Finished(), ShouldBeTrue)
		So(play(32, 16, 0).Finished(), ShouldBeTrue)
	})
	Convey("A version that fails like the old one is completed", t, func() {
		So(play(32, 2, 32).Finished(), ShouldBeTrue)
	})
	// playSlow ends a move with results of the new version of which slow are slow, and old results of which as many are
	// slow, in proportion.
	playSlow := func(results, slow, oldResults int) *ServiceMove {
		m := newTestMove(1, 0.5)
		for i := range results {
			m.Answered(newVersion, moveRoute, false)
			m.Timed(newVersion, moveRoute, i < slow)
		}
		for i := range oldResults {
			m.Answered(oldVersion, moveRoute, false)
			m.Timed(oldVersion, moveRoute, i*results < slow*oldResults)
		}
		m.Step(timeUp, manyUsable)
		m.Step(timeUp.Add(2*maxHandover), manyUsable)
		return m
	}
	Convey("A version that is slow in three quarters of its requests is stopped, also if the old one got none", t, func() {
		m := playSlow(32, 24, 0)
		stage, reason := m.Stage()
		So(stage, ShouldEqual, StageStopped)
		So(reason, ShouldContainSubstring, "slow without")
	})
	Convey("A version that is slow now and then, or as often as the old one, is completed", t, func() {
		So(playSlow(32, 0, 0).Finished(), ShouldBeTrue)
		So(playSlow(32, 6, 0).Finished(), ShouldBeTrue)
		So(playSlow(32, 24, 32).Finished(), ShouldBeTrue)
	})
}
