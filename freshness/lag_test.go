package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestLag(t *testing.T) {
	Convey("A process that has the newest reported version isn't behind", t, func() {
		var l Lag
		_, behind := l.Behind(5 * ms)
		So(behind, ShouldBeFalse)
		l.Reported(10*ms, 3, 3)
		_, behind = l.Behind(20 * ms)
		So(behind, ShouldBeFalse)
	})
	Convey("The time counts from the first report of the oldest version that is missing", t, func() {
		var l Lag
		l.Reported(10*ms, 4, 3)
		l.Reported(20*ms, 6, 3)
		l.Reported(30*ms, 6, 3)
		lag, behind := l.Behind(40 * ms)
		So(behind, ShouldBeTrue)
		So(lag, ShouldEqual, 30*time.Millisecond)
		l.Installed(5)
		lag, _ = l.Behind(40 * ms)
		So(lag, ShouldEqual, 20*time.Millisecond)
		l.Installed(6)
		_, behind = l.Behind(40 * ms)
		So(behind, ShouldBeFalse)
	})
}

// TestLagIsNeverUnderstated draws reports and installed versions in any order, with pauses that may be
// freezes of the process. It compares the lag with that of all reports.
func TestLagIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lag
		now, inForce := Instant(0), uint64(1)
		first := map[uint64]Instant{}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += Instant(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause"))
			version := inForce + rapid.Uint64Range(0, 60).Draw(t, "step")
			if rapid.IntRange(0, 4).Draw(t, "event") > 0 {
				l.Reported(now, version, inForce)
				if _, known := first[version]; !known && version > inForce {
					first[version] = now
				}
			} else {
				inForce = version
				l.Installed(inForce)
			}
			oldest, missing := now, false
			for reported, at := range first {
				if reported > inForce {
					oldest, missing = min(oldest, at), true
				}
			}
			lag, behind := l.Behind(now)
			if behind != missing || lag < time.Duration(now-oldest) {
				t.Fatalf("behind is %v by %v, it is %v by %v", behind, lag, missing, time.Duration(now-oldest))
			}
		}
	})
}
