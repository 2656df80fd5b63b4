package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/freshness"
)

// Guards against a server of another service that is taken for the successor of a lost one, since bytes of the lost one were
// read late: the network held them up, or this process stood still.
func TestSignsOfLifeAreNeverLaterThanTheServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most time.Duration) freshness.Instant {
			return freshness.Instant(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		s := NewSignsOfLife()
		start := freshness.Instant(time.Hour)
		diedAt := start + draw("died", 8*time.Second)
		checkedAt := start
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			sentAt := start + draw("sent", 12*time.Second)
			if reachedAt := sentAt + draw("way there", time.Second); reachedAt > diedAt {
				continue
			}
			// The answer may be held up for longer than the server lives.
			s.Answered("i-1", sentAt)
			checkedAt = max(checkedAt, sentAt+draw("until it was read", 20*time.Second))
		}
		since, known := s.Since(checkedAt, "i-1")
		if known && freshness.Instant(since) < checkedAt-diedAt {
			t.Fatalf("the last sign of life was %v ago, the server ended %v ago", since, time.Duration(checkedAt-diedAt))
		}
		if proved := known && ProvesService(since, 2*time.Second); proved && checkedAt-diedAt >= freshness.Instant(2*time.Second) {
			t.Fatalf("the service is proved %v after the end of the server", time.Duration(checkedAt-diedAt))
		}
	})
}

func TestServiceIsProvedOnlyBeforeTheAddressIsReused(t *testing.T) {
	Convey("The last sign of life proves it until the reuse limit", t, func() {
		s := NewSignsOfLife()
		now := freshness.Instant(time.Hour)
		s.Answered("i-1", now)
		s.Answered("i-1", now-freshness.Instant(time.Second))
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
