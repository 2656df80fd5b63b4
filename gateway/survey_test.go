package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a survey of all engines of a large fleet at once, which keeps a small entry from its callers at the
// moment at which they come back from an interruption.
func TestSurveyIsBounded(t *testing.T) {
	items := make([]int, 1000)
	Convey("Engines are queried a few at a time, and none once nobody waits for the result", t, func() {
		var now, most atomic.Int64
		until := time.Now().Add(50 * time.Millisecond)
		var late atomic.Int64
		begun := eachUntil(until, surveyWorkers, items, func(int) {
			if time.Now().After(until.Add(20 * time.Millisecond)) {
				late.Add(1)
			}
			for n, m := now.Add(1), most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			time.Sleep(10 * time.Millisecond)
			now.Add(-1)
		})
		So(most.Load(), ShouldBeLessThanOrEqualTo, surveyWorkers)
		So(begun, ShouldBeBetween, 0, len(items))
		So(late.Load(), ShouldBeLessThanOrEqualTo, surveyWorkers)
	})
	Convey("All are queried if there is the time", t, func() {
		var queried atomic.Int64
		begun := eachUntil(time.Now().Add(10*time.Second), surveyWorkers, items, func(int) { queried.Add(1) })
		So(begun, ShouldEqual, len(items))
		So(queried.Load(), ShouldEqual, len(items))
	})
}
