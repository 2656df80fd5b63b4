package rollout

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// goodMove returns a move of a version that is known to be good.
func goodMove(entries int) *ServiceMove {
	m := newTestMove(entries, 0.5)
	for range 12 {
		m.Answered(newVersion, moveRoute, false)
		m.Timed(newVersion, moveRoute, false)
	}
	return m
}

// stepUntil steps a move at a leader with runs left at the old version, and returns when it is to be completed; zero if
// not by the end. The peers report before each step.
func stepUntil(m *ServiceMove, end time.Time, left func(time.Time) Unrepeatable, peers func(time.Time)) time.Time {
	for now := moveStart.Add(moveOrder.Duration - 3*time.Second); now.Before(end); now = now.Add(moveSimulationStep) {
		peers(now)
		view := manyUsable
		view.Left = left(now)
		if m.Step(now, view); m.Finished() {
			return now
		}
	}
	return time.Time{}
}

// Guards against answers that may not run again and are cut, since the old servers end with the completion.
func TestCompletionWaitsForRunsThatMayNotRunAgain(t *testing.T) {
	deadline := moveStart.Add(moveOrder.Duration)
	calm := deadline.Add(-goodMove(1).finishMargin() + maxHandover)
	noPeers := func(time.Time) {}
	none := func(time.Time) Unrepeatable { return Unrepeatable{} }
	leftUntil := func(end time.Time, left Unrepeatable) func(time.Time) Unrepeatable {
		return func(now time.Time) Unrepeatable {
			if now.Before(end) {
				return left
			}
			return Unrepeatable{}
		}
	}
	peer := func(m *ServiceMove, left func(time.Time) Unrepeatable, begun func(time.Time) bool, until time.Time) func(time.Time) {
		sequence := uint32(0)
		return func(now time.Time) {
			sequence++
			if now.Before(until) {
				m.Merge(now, "a", MoveReport{Handover: Handover{Sequence: sequence, Begun: begun(now), Left: left(now)}})
			}
		}
	}
	always := func(time.Time) bool { return true }
	far := deadline.Add(time.Hour)
	Convey("With nothing left, it is completed as before", t, func() {
		m := goodMove(1)
		So(stepUntil(m, far, none, noPeers), ShouldHappenWithin, moveSimulationStep, calm)
	})
	Convey("It waits for a stream of its own, also beyond the deadline, and no longer", t, func() {
		m := goodMove(1)
		end := deadline.Add(2 * time.Second)
		So(stepUntil(m, far, leftUntil(end, Unrepeatable{Streams: 1}), noPeers), ShouldHappenWithin, moveSimulationStep, end)
	})
	Convey("It waits for a stream of a peer", t, func() {
		m := goodMove(2)
		end := deadline.Add(2 * time.Second)
		So(stepUntil(m, far, none, peer(m, leftUntil(end, Unrepeatable{Streams: 3}), always, far)), ShouldHappenWithin, moveSimulationStep, end)
	})
	Convey("A stream that never ends holds it up for a limited time", t, func() {
		m := goodMove(1)
		So(stepUntil(m, far, leftUntil(far, Unrepeatable{Streams: 1}), noPeers), ShouldHappenWithin, moveSimulationStep, deadline.Add(maxOverrun))
	})
	Convey("Orders and peers that have not handed over hold it up until shortly before the deadline", t, func() {
		m := goodMove(1)
		half := deadline.Add(-time.Duration(ordersFraction * float64(m.finishMargin())))
		So(stepUntil(m, far, leftUntil(far, Unrepeatable{Orders: 1}), noPeers), ShouldHappenWithin, moveSimulationStep, half)
		m = goodMove(2)
		So(stepUntil(m, far, none, peer(m, none, func(time.Time) bool { return false }, far)), ShouldHappenWithin, moveSimulationStep, half)
	})
	Convey("A peer that is lost with its streams holds it up for a moment only", t, func() {
		m := goodMove(2)
		lost := deadline.Add(-time.Second)
		So(stepUntil(m, far, none, peer(m, leftUntil(far, Unrepeatable{Streams: 1}), always, lost)), ShouldHappenOnOrBefore, lost.Add(peerSilence+moveSimulationStep))
	})
	Convey("An older report that comes late brings nothing back", t, func() {
		m := goodMove(2)
		m.Merge(calm, "a", MoveReport{Handover: Handover{Sequence: 2, Begun: true}})
		m.Merge(calm, "a", MoveReport{Handover: Handover{Sequence: 1, Left: Unrepeatable{Streams: 1}}})
		So(m.isHeldUp(calm), ShouldBeFalse)
	})
	Convey("A version that turns bad meanwhile is stopped", t, func() {
		m := goodMove(1)
		for range 60 {
			m.Answered(oldVersion, moveRoute, false)
		}
		view := manyUsable
		view.Left = Unrepeatable{Streams: 1}
		m.Step(calm, view)
		So(m.HandsOver(), ShouldBeTrue)
		for range 40 {
			m.Answered(newVersion, moveRoute, true)
		}
		m.Step(deadline.Add(time.Second), view)
		stage, _ := m.Stage()
		So(stage, ShouldEqual, StageStopped)
	})
}
