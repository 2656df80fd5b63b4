package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// TestPeerReportsOfOneLossCauseOneProbe guards against a burst of probes when a failure
// domain of a large deployment is lost: every peer reports every server that it lost.
func TestPeerReportsOfOneLossCauseOneProbe(t *testing.T) {
	Convey("A server that many peers report lost is probed once per interval", t, func() {
		f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
		probes := map[wigeonfork.BackendServerID]int{}
		f.probe = func(entry directory.Entry) { probes[entry.ID]++ }
		f.announce = func(loadshare.Message) {}
		now := time.Unix(1000, 0)
		var entries []directory.Entry
		for i := range 40 {
			entries = append(entries, directory.Entry{ID: wigeonfork.BackendServerID(fmt.Sprint("i-", i)), Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64})
		}
		f.replaceServers(now, entries)
		for peer := range 30 {
			for _, entry := range entries {
				f.peerLost(now.Add(time.Duration(peer)*time.Millisecond), loadshare.HashServer(entry.ID))
			}
		}
		So(len(probes), ShouldEqual, 40)
		for _, n := range probes {
			So(n, ShouldEqual, 1)
		}
		f.peerLost(now.Add(time.Second), loadshare.HashServer("i-3"))
		So(probes["i-3"], ShouldEqual, 2)
	})
}

// TestServerAdoptedByPeerIsUsedWithoutProbe guards against a burst of probes after many
// servers crash and restart under new ids before the registry lists them.
func TestServerAdoptedByPeerIsUsedWithoutProbe(t *testing.T) {
	Convey("A server that a peer found at a lost server's address is used without a probe", t, func() {
		f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
		f.probe = func(directory.Entry) { t.Error("a server is probed") }
		f.announce = func(loadshare.Message) {}
		now := time.Unix(1000, 0)
		lost := directory.Entry{ID: "i-1", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64}
		f.replaceServers(now, []directory.Entry{lost})
		adopted := lost
		adopted.ID, adopted.Born = "i-2", 7
		for range 3 {
			f.peerAdopted(now, &loadshare.Adoption{Lost: "i-1", Adopted: adopted, Since: time.Second}, 2*time.Second)
		}
		So(f.alive("i-1"), ShouldBeFalse)
		So(f.alive("i-2"), ShouldBeTrue)
		So(f.maintain(now.Add(time.Minute), loadshare.WatchAssignment{}, 2*time.Second), ShouldBeEmpty)
	})
	Convey("It is not used if another service may have got the address by then, or if the peer has no proof", t, func() {
		now := time.Unix(1000, 0)
		lost := directory.Entry{ID: "i-1", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64}
		adopted := lost
		adopted.ID = "i-2"
		for _, since := range []time.Duration{0, 2 * time.Second, time.Minute, -time.Second} {
			f := newFleet(&Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}, func(upstream.Server) {})
			f.announce = func(loadshare.Message) {}
			f.replaceServers(now, []directory.Entry{lost})
			f.peerAdopted(now, &loadshare.Adoption{Lost: "i-1", Adopted: adopted, Since: since}, 2*time.Second)
			So(f.registered("i-2"), ShouldBeFalse)
		}
	})
}
