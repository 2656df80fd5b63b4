package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// watchedFleet returns a fleet of two servers of one service, with a run at the first. movable
// decides whether its stream may move, and ended gets why the run was ended.
func watchedFleet(now time.Time, movable *bool, ended *error) *fleet {
	f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
	f.probe = func(directory.Entry) {}
	f.announce = func(loadshare.Message) {}
	first := directory.Entry{ID: "i-1", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64, Born: 5}
	second := directory.Entry{ID: "i-2", Service: "m", Address: "10.0.0.2:1", Domain: "b", Slots: 64}
	f.replaceServers(now, []directory.Entry{first, second})
	run := &watchedRun{
		server: first, cancel: func(cause error) { *ended = cause },
		reserveMove: func(time.Time) bool { return *movable },
	}
	id := f.watch(now, run, now.Add(time.Minute), false)
	f.recordEvent(now, id)
	return f
}

// Guards against a stream that is broken off on a suspicion although it can't continue elsewhere.
func TestSuspectedRunIsKeptUnlessItMayMove(t *testing.T) {
	now := time.Unix(1000, 0)
	silent := now.Add(time.Second)
	Convey("Given a run at a server that is silent", t, func() {
		movable, ended := false, error(nil)
		f := watchedFleet(now, &movable, &ended)
		var told []loadshare.Kind
		f.announce = func(m loadshare.Message) { told = append(told, m.Kind) }
		f.sweep(silent)
		So(f.alive("i-1"), ShouldBeFalse)
		So(ended, ShouldBeNil)
		Convey("It ends once its stream may move", func() {
			movable = true
			f.maintain(silent.Add(maintenanceInterval), loadshare.WatchAssignment{}, 0)
			So(ended, ShouldEqual, errServerUnresponsive)
		})
		Convey("It goes on if the server sends an event, and the server takes requests again", func() {
			movable = true
			f.recordEvent(silent.Add(time.Millisecond), 1)
			f.maintain(silent.Add(maintenanceInterval), loadshare.WatchAssignment{}, 0)
			So(ended, ShouldBeNil)
			So(f.alive("i-1"), ShouldBeTrue)
			So(told, ShouldResemble, []loadshare.Kind{loadshare.Lost, loadshare.Recovered})
		})
		Convey("It goes on if the server answers a probe", func() {
			movable = true
			f.probeAnswered(silent.Add(2*time.Millisecond), silent.Add(time.Millisecond), "i-1")
			f.maintain(silent.Add(maintenanceInterval), loadshare.WatchAssignment{}, 0)
			So(ended, ShouldBeNil)
		})
		// Guards against sound streams that are cut since one refusal of their server was wrong.
		Convey("It goes on while it is only claimed that another server answers at the address", func() {
			var asked []serverID
			f.identify = func(entry directory.Entry) { asked = append(asked, entry.ID) }
			for range 3 {
				f.misdirected(silent, "i-1")
			}
			So(ended, ShouldBeNil)
			So(asked, ShouldResemble, []serverID{"i-1"})
			So(f.alive("i-1"), ShouldBeFalse)
			f.confirmed(silent.Add(2*time.Millisecond), silent.Add(time.Millisecond), "i-1")
			So(f.alive("i-1"), ShouldBeTrue)
			So(ended, ShouldBeNil)
		})
		Convey("It ends if another server answers at the address", func() {
			f.markReplaced(silent, "i-1")
			So(ended, ShouldEqual, errServerReplaced)
		})
		Convey("An event that arrives after its end does not prove the server to be sound", func() {
			returned := false
			f.onReturned = func(time.Time, directory.Entry) { returned = true }
			f.markReplaced(silent, "i-1")
			f.recordEvent(silent.Add(time.Millisecond), 1)
			So(returned, ShouldBeFalse)
		})
		Convey("It ends if the server has restarted", func() {
			f.applyChanges(silent, []directory.Change{{Entry: directory.Entry{ID: "i-1", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64, Born: 7}}})
			So(ended, ShouldEqual, errServerReplaced)
		})
		Convey("It goes on while no other server is there", func() {
			movable = true
			f.markLost(silent, "i-2", "connect")
			f.maintain(silent.Add(maintenanceInterval), loadshare.WatchAssignment{}, 0)
			So(ended, ShouldBeNil)
		})
	})
	Convey("A run at a version that was stopped goes on if it can't move", t, func() {
		movable, ended := false, error(nil)
		f := watchedFleet(now, &movable, &ended)
		f.leaveVersion(now, "m", "")
		So(ended, ShouldBeNil)
		movable = true
		f.leaveVersion(now, "m", "")
		So(ended, ShouldEqual, errVersionStopped)
	})
}

// oneVersion is a versionPolicy that allows one version of each service.
type oneVersion struct {
	anyVersion
	version wigeonfork.Version
}

func (o oneVersion) preference(wigeonfork.Model) []wigeonfork.Version {
	return []wigeonfork.Version{o.version}
}

func (o oneVersion) allows(_ wigeonfork.Model, version wigeonfork.Version) bool {
	return version == o.version
}

// Guards against a stream that is broken off since the only other servers are of a version that takes
// no requests.
func TestSuspectedRunIsKeptIfOtherVersionsTakeNone(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A run at a version that was stopped goes on while no other version has servers", t, func() {
		movable, ended := true, error(nil)
		f := watchedFleet(now, &movable, &ended)
		f.versions = oneVersion{version: "v1"}
		f.leaveVersion(now, "m", "")
		So(ended, ShouldBeNil)
		Convey("and ends once one has", func() {
			third := directory.Entry{ID: "i-3", Service: "m", Address: "10.0.0.3:1", Domain: "c", Slots: 64, Version: "v1"}
			f.applyChanges(now, []directory.Change{{Entry: third}})
			f.maintain(now.Add(maintenanceInterval), loadshare.WatchAssignment{}, 0)
			So(ended, ShouldEqual, errVersionStopped)
		})
	})
}

// Guards against a run without a copy whose loss nobody noticed, since the copy's server was lost before it was watched.
func TestCopyLostBeforeItIsWatchedCountsAsLost(t *testing.T) {
	Convey("Given a run at one server and its copy at another that is removed", t, func() {
		now := time.Unix(1000, 0)
		movable, ended := false, error(nil)
		f := watchedFleet(now, &movable, &ended)
		const run = 1
		Convey("while it is watched, or before, the loss is told once", func() {
			losses := 0
			f.watchCopy(run, "i-2", func() { losses++ })
			So(losses, ShouldEqual, 0)
			f.replaceServers(now, []directory.Entry{f.entries["i-1"]})
			So(losses, ShouldEqual, 1)
			f.watchCopy(run, "i-2", func() { losses++ })
			So(losses, ShouldEqual, 2)
		})
	})
}
