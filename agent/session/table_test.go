package session

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
)

func TestReleasedGenerationKeepsItsTokens(t *testing.T) {
	Convey("A generation released at once stops, but can be taken up by its caller's old handle", t, func() {
		now := time.Unix(1000, 0)
		stopped := false
		call := &agentapi.Generate{RequestID: "r", Generation: 1, OrphanMillis: 30_000}
		s := New(call, now, func() { stopped = true })
		table := NewTable()
		So(table.Add(s), ShouldBeNil)
		s.Release(0)
		So(stopped, ShouldBeTrue)
		s.Fail(frame.FailureCancelled, "", now)
		table.Reap(now.Add(time.Second))
		So(table.Get(s.Key), ShouldEqual, s)
		So(table.Unread(), ShouldEqual, 0)
		table.Reap(now.Add(endedRetention + time.Second))
		So(table.Get(s.Key), ShouldBeNil)
	})
}
