package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// TestOtherVersionWithRoom guards against requests that wait during a release while the servers of the other version are
// free.
func TestOtherVersionWithRoom(t *testing.T) {
	Convey("When the preferred version's server is full, the request goes to the other version's", t, func() {
		f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
		now := time.Unix(1000, 0)
		f.replaceServers(now, []directory.Entry{{ID: "i-1", Service: "m", Version: "1", Address: "10.0.0.1:1", Domain: "a", Slots: 64}})
		f.applyChanges(now, []directory.Change{{Entry: directory.Entry{ID: "i-2", Service: "m", Version: "2", Address: "10.0.0.2:1", Domain: "a", Slots: 64}}})
		f.router.SetMemoryLimit("m", 10_000)
		f.router.SetRoom("m", true)
		q := &query{service: "m", work: routing.Work{PromptTokens: 8_000, MaxTokens: 700}}
		first, err := f.choose(now, q)
		So(err, ShouldBeNil)
		So(first.ID, ShouldEqual, serverID("i-1"))
		second, err := f.choose(now, q)
		So(err, ShouldBeNil)
		So(second.ID, ShouldEqual, serverID("i-2"))
		_, err = f.choose(now, q)
		var full *routing.NoRoomError
		So(errors.As(err, &full), ShouldBeTrue)
	})
}

// TestFullServersAreNotCharged guards against requests that take room which they do not use: a crowd that waits because
// the only server is full must not keep it full.
func TestFullServersAreNotCharged(t *testing.T) {
	Convey("Given a server whose memory is full", t, func() {
		f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
		now := time.Unix(1000, 0)
		f.replaceServers(now, []directory.Entry{{ID: "i", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64}})
		f.router.SetMemoryLimit("m", 10_000)
		f.router.SetRoom("m", true)
		q := &query{service: "m", work: routing.Work{PromptTokens: 8_000, MaxTokens: 700}}
		first, err := f.choose(now, q)
		So(err, ShouldBeNil)

		Convey("the next request is told when it has room, and charges nothing", func() {
			for range 20 {
				_, err = f.choose(now, q)
				var full *routing.NoRoomError
				So(errors.As(err, &full), ShouldBeTrue)
				So(full.RoomIn, ShouldBeGreaterThan, 0)
			}
			f.finished(now, first, q.work, routing.Result{})
			_, err = f.choose(now, q)
			So(err, ShouldBeNil)
		})
		Convey("one that may overcommit is sent there", func() {
			overcommit := *q
			overcommit.mayOvercommit = true
			place, err := f.choose(now, &overcommit)
			So(err, ShouldBeNil)
			So(place.ID, ShouldEqual, first.ID)
		})
	})
}
