package retry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/test/stepped"
)

// TestSharedBudget checks the load after the loss of a failure domain: one entry
// sends all its resumes at once, after a window with few requests.
func TestSharedBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("A burst of resumes at one entry may use the slack that other entries do not use", t, func() {
		b := NewSharedBudget(0.5, 20, 10*time.Second)
		for i := range 10 {
			b.RecordRequest(start.Add(time.Duration(i) * 100 * time.Millisecond))
		}
		taken := 0
		for range 100 {
			if b.Take(start.Add(2*time.Second), 1) {
				taken++
			}
		}
		So(taken, ShouldEqual, 25)
		Convey("and retries that are still in the window use up the budget", func() {
			So(b.Take(start.Add(5*time.Second), 1), ShouldBeFalse)
			b.RecordPeerRetry(start.Add(13 * time.Second))
			So(b.Take(start.Add(14*time.Second), 1), ShouldBeTrue)
		})
		Convey("and the slack is available again once the window has passed", func() {
			So(b.Take(start.Add(20*time.Second), 1), ShouldBeTrue)
		})
	})
	Convey("An entry leaves the share of entries that do not report unused", t, func() {
		b := NewSharedBudget(0.5, 20, 10*time.Second)
		taken := 0
		for range 100 {
			if b.Take(start, 0.25) {
				taken++
			}
		}
		So(taken, ShouldEqual, 5)
	})
}

// Guards against a request that is given up since others, who could do without a retry, took the last ones.
func TestTakeSpareLeavesRetriesToOthers(t *testing.T) {
	Convey("Retries that can be done without leave a twentieth of the budget, and one at least", t, func() {
		now := time.Unix(1_800_000_000, 0)
		for _, c := range []struct{ slack, spare int }{{1, 0}, {2, 1}, {10, 9}, {100, 95}} {
			budget := NewSharedBudget(0, float64(c.slack), 10*time.Second)
			taken := 0
			for budget.TakeSpare(now, 1) {
				taken++
			}
			So(taken, ShouldEqual, c.spare)
			for taken < c.slack {
				So(budget.Take(now, 1), ShouldBeTrue)
				taken++
			}
			So(budget.Take(now, 1), ShouldBeFalse)
		}
	})
}

// Guards against retries beyond the budget after the host's time of day was set: the window seemed to have passed.
func TestSharedBudgetOverStepsOfTheClock(t *testing.T) {
	for _, seconds := range []int64{-30, -5, 5, 30} {
		Convey(fmt.Sprintf("A step of %d s neither returns retries nor keeps them", seconds), t, func() {
			b := NewSharedBudget(0.5, 20, 10*time.Second)
			start := time.Now()
			taken := 0
			for range 100 {
				if b.Take(start, 1) {
					taken++
				}
			}
			So(taken, ShouldEqual, 20)
			So(b.Take(stepped.Wall(start.Add(time.Second), seconds), 1), ShouldBeFalse)
			So(b.Take(stepped.Wall(start.Add(9*time.Second), seconds), 1), ShouldBeFalse)
			So(b.Take(stepped.Wall(start.Add(12*time.Second), seconds), 1), ShouldBeTrue)
		})
	}
}
