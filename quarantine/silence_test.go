package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// silence is the time for which a sound server may be silent.
const silence = 1200 * time.Millisecond

// loseToSilence lets a run end since its server is silent.
func (l *limiterTest) loseToSilence(c ContentHash, n int) {
	began := l.now
	l.now = l.now.Add(100 * time.Millisecond)
	l.ServerLost(l.now, server(n), "a")
	l.RunLost(Crash{Content: c, Server: server(n), Began: began, At: l.now}, "a", true)
}

// Guards against a request that is refused for crashes since sound servers were silent under it.
func TestSilentServerIsNoCrash(t *testing.T) {
	Convey("A server that is the same start after its silence has not crashed", t, func() {
		l := newLimiterTest()
		for n := range 2 * crashLimit {
			l.loseToSilence(content, n)
			So(l.Awaits(server(n)), ShouldBeTrue)
			l.now = l.now.Add(silence)
			So(l.Settle(l.now), ShouldBeEmpty)
			l.ServerReturned(l.now, server(n))
			So(l.action(content), ShouldEqual, Run)
			verdicts := l.Settle(l.now)
			So(verdicts, ShouldHaveLength, 1)
			So(verdicts[0].Outcome, ShouldEqual, ServerResponds)
			So(l.Awaits(server(n)), ShouldBeFalse)
		}
	})
	Convey("A server that stays silent counts, and the request is held until then", t, func() {
		l := newLimiterTest()
		for n := range crashLimit {
			l.loseToSilence(content, n)
			if n == crashLimit-1 {
				So(l.action(content), ShouldEqual, Hold)
			}
			l.now = l.now.Add(silentSettleTime)
			So(l.Settle(l.now)[0].Outcome, ShouldEqual, CrashCounted)
		}
		So(l.action(content), ShouldEqual, Refuse)
	})
	Convey("A run that was reset settles before an older one that was silent", t, func() {
		l := newLimiterTest()
		l.loseToSilence(content, 1)
		l.crash(content, 2, "b")
		So(l.settle(), ShouldHaveLength, 1)
		l.now = l.now.Add(silentSettleTime)
		So(l.Settle(l.now), ShouldHaveLength, 1)
	})
	Convey("Runs without an answer at servers that are not lost hold the request for no longer than those that were reset", t, func() {
		l := newLimiterTest()
		for n := range crashLimit {
			began := l.now
			l.now = l.now.Add(100 * time.Millisecond)
			l.RunLost(Crash{Content: content, Server: server(n), Began: began, At: l.now}, "a", true)
		}
		So(l.action(content), ShouldEqual, Hold)
		l.now = l.now.Add(crashSettleTime)
		So(l.Settle(l.now), ShouldHaveLength, crashLimit)
		So(l.action(content), ShouldEqual, Run)
	})
}
