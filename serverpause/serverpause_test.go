package serverpause

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
)

var start = time.Unix(1000, 0)

const server = wigeonfork.BackendServerID("a")

func TestPause(t *testing.T) {
	Convey("A server that has asked for a pause", t, func() {
		table := NewTable()
		So(table.Admit(start, server), ShouldBeTrue)
		So(table.Asked(start, server, 2*time.Second), ShouldBeTrue)
		end := start.Add(2 * time.Second)
		Convey("gets no request until it is over, and is free then", func() {
			So(table.Admit(end.Add(-time.Millisecond), server), ShouldBeFalse)
			So(table.Blocked(start), ShouldResemble, []wigeonfork.BackendServerID{server})
			at, paused := table.FreeAt(start, server)
			So(paused, ShouldBeTrue)
			So(at, ShouldEqual, end)
			So(table.Admit(start, "b"), ShouldBeTrue)
		})
		Convey("gets one request then, and more once that is served", func() {
			So(table.Admit(end, server), ShouldBeTrue)
			So(table.Admit(end, server), ShouldBeFalse)
			table.Served(end, server)
			So(table.Admit(end, server), ShouldBeTrue)
			So(table.Admit(end, server), ShouldBeTrue)
			So(table.Admit(end, server), ShouldBeFalse)
		})
		Convey("gets another if the first has no outcome for long", func() {
			So(table.Admit(end, server), ShouldBeTrue)
			So(table.Admit(end.Add(trialTimeout), server), ShouldBeTrue)
		})
		Convey("isn't opened by an answer to a request that was sent before", func() {
			table.Served(start.Add(-time.Second), server)
			So(table.Admit(start.Add(time.Second), server), ShouldBeFalse)
		})
		Convey("may ask for a longer one, and a shorter one changes nothing", func() {
			So(table.Asked(start.Add(time.Second), server, 500*time.Millisecond), ShouldBeFalse)
			So(table.Asked(start.Add(time.Second), server, 3*time.Second), ShouldBeTrue)
			So(table.Admit(end, server), ShouldBeFalse)
		})
		Convey("is open after its end under that id", func() {
			table.Forget(server)
			So(table.Admit(start, server), ShouldBeTrue)
		})
	})
	Convey("No length asks for no pause, and a huge one for a bounded one", t, func() {
		table := NewTable()
		So(table.Asked(start, server, 0), ShouldBeFalse)
		So(table.Asked(start, server, -time.Second), ShouldBeFalse)
		So(table.Asked(start, server, 1<<62), ShouldBeTrue)
		So(table.Admit(start.Add(MaxPause), server), ShouldBeTrue)
	})
}

// TestNoRequestWithinAPause draws requests, answers and pauses in any order. It checks that none is admitted within a
// pause, and that requests come back one after another when it is over.
func TestNoRequestWithinAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now, until := start, time.Time{}
		// alone is set from a pause on until a request that was sent after it is served.
		alone, lastAdmitted := false, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "step")))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				length := time.Duration(rapid.Int64Range(-1, int64(5*time.Second)).Draw(t, "length"))
				if end := now.Add(length); length > 0 && end.After(until) {
					until, alone, lastAdmitted = end, true, time.Time{}
				}
				table.Asked(now, server, length)
			case 1:
				sentAt := now.Add(-time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age")))
				table.Served(sentAt, server)
				alone = alone && sentAt.Before(until)
			default:
				if !table.Admit(now, server) {
					continue
				}
				if now.Before(until) {
					t.Fatalf("admitted %v before the end of the pause", until.Sub(now))
				}
				if alone && !lastAdmitted.IsZero() && now.Sub(lastAdmitted) < trialTimeout {
					t.Fatalf("admitted %v after another one without outcome", now.Sub(lastAdmitted))
				}
				lastAdmitted = now
			}
		}
	})
}
