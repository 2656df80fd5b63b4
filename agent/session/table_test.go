package session

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
)

func TestReleaseCancelsAndRetainsTokens(t *testing.T) {
	Convey("A release without linger cancels the generation but retains its tokens for a while", t, func() {
		const hold = 5 * time.Second
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
		So(table.Unfinished(now, hold), ShouldEqual, 0)
		table.Reap(now.Add(endedRetention + time.Second))
		So(table.Get(s.Key), ShouldBeNil)
	})
}

func TestUnfinishedUntilEndSentAndHoldExpired(t *testing.T) {
	Convey("A session is unfinished until its end was sent and the hold since it ended has passed", t, func() {
		const hold = 5 * time.Second
		now := time.Unix(1000, 0)
		s := New(&agentapi.Generate{RequestID: "r", Generation: 1, OrphanMillis: 30_000}, now, func() {})
		table := NewTable()
		So(table.Add(s), ShouldBeNil)
		reader := s.Attach(make(chan struct{}, 1), func() {})
		So(table.Unfinished(now, hold), ShouldEqual, 1)
		s.Fail(frame.FailureEngineDead, "", now)
		later := now.Add(time.Minute)
		So(table.Unfinished(later, hold), ShouldEqual, 1)
		var f frame.Frame
		So(s.Next(reader, 0, &f), ShouldBeTrue)
		So(table.Unfinished(now.Add(hold-1), hold), ShouldEqual, 1)
		So(table.Unfinished(now.Add(hold), hold), ShouldEqual, 0)
	})
}
