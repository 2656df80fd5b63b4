package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/freshness"
)

// tickInterval is the time between two ticks of a process that runs steadily.
const tickInterval = 40 * time.Millisecond

// Guards against a server of another service that is taken for the successor of a lost one, since bytes of the lost one
// were read late.
func TestSignsOfLifeAreNeverLaterThanTheServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSignsOfLife()
		now := freshness.Instant(time.Hour)
		diedAt := now + freshness.Instant(rapid.IntRange(0, 8000).Draw(t, "died_ms"))*freshness.Instant(time.Millisecond)
		// readLateUntil is when bytes that waited while the process stood still have been read at the latest.
		var readLateUntil freshness.Instant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			gap := tickInterval
			if rapid.IntRange(0, 20).Draw(t, "frozen") == 0 {
				gap = time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap_ms")) * time.Millisecond
			}
			ran := now < diedAt
			now += freshness.Instant(gap)
			if ran && gap > maxTickGap {
				readLateUntil = now + freshness.Instant(settleTime)
			}
			s.Tick(now)
			if ran || now < readLateUntil {
				s.Saw("i-1")
			}
			if since, known := s.Since(now, "i-1"); known && freshness.Instant(since) < now-diedAt {
				t.Fatalf("the last sign of life was %v ago, the server ended %v ago", since, time.Duration(now-diedAt))
			}
		}
	})
}

func TestServiceIsProvedOnlyBeforeTheAddressIsReused(t *testing.T) {
	Convey("A steady process proves it until the reuse limit", t, func() {
		s := NewSignsOfLife()
		now := freshness.Instant(time.Hour)
		for range 50 {
			now += freshness.Instant(tickInterval)
			s.Tick(now)
			s.Saw("i-1")
		}
		for _, c := range []struct {
			after  time.Duration
			proved bool
		}{{time.Millisecond, true}, {1800 * time.Millisecond, true}, {2 * time.Second, false}, {time.Minute, false}} {
			since, known := s.Since(now+freshness.Instant(c.after), "i-1")
			So(known, ShouldBeTrue)
			So(ProvesService(since, 2*time.Second), ShouldEqual, c.proved)
		}
		So(ProvesService(time.Millisecond, 0), ShouldBeFalse)
		s.Forget("i-1")
		_, known := s.Since(now, "i-1")
		So(known, ShouldBeFalse)
	})
	Convey("Nothing is proved by a server that was never seen", t, func() {
		since, known := NewSignsOfLife().Since(5, "i-1")
		So(known && ProvesService(since, 2*time.Second), ShouldBeFalse)
	})
}
