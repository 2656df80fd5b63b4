package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// storeClock is the store's clock when the gateway of a test reads the configuration.
const storeClock = 10 * time.Second

// gatewayAt returns a gateway that is not started and has just read a configuration of the given version.
func gatewayAt(version uint64) *Gateway {
	g := New(Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Bounds: DefaultBounds()})
	table, err := routetable.New(routetable.Spec{Version: version})
	So(err, ShouldBeNil)
	position := storepos.Position{Era: 1, Revision: 9}
	g.config.observe(ConfigurationChange{Stamp: Stamp{Position: position, Now: storeClock}, Table: table, TableRevision: 9}, bootClock())
	return g
}

// report is a peer's report of a version in era 1, proven by the store's clock unless that is 0.
func report(version uint64, storeNow time.Duration) loadshare.Message {
	return loadshare.Message{Kind: loadshare.ConfigCurrent, Server: loadshare.ServerHash(version), Tokens: 1, Value: uint64(storeNow.Milliseconds())}
}

// Guards against an entry that doesn't read the store for as long as late or repeated reports of its
// peers arrive.
func TestReportsPutOffReadsOnlyByWhatTheyProve(t *testing.T) {
	Convey("For a gateway whose own read was long ago", t, func() {
		g := gatewayAt(3)
		own := time.Now().Add(-5 * time.Second)
		g.configFollower.recordRead(own)
		due := g.configFollower.nextRead(1)
		Convey("a report that isn't proven puts no read off", func() {
			g.handlePeerVersion(time.Now(), report(3, 0))
			So(g.configFollower.nextRead(1), ShouldEqual, due)
		})
		Convey("a late report puts the read off from the time at which it was true", func() {
			const age = 700 * time.Millisecond
			now := time.Now()
			g.handlePeerVersion(now, report(3, storeClock-age))
			So(g.configFollower.nextRead(1).Sub(due), ShouldBeGreaterThan, 0)
			So(g.configFollower.nextRead(1).Sub(due), ShouldBeLessThanOrEqualTo, now.Sub(own)-age)
		})
		Convey("a repeated report puts no read off", func() {
			g.handlePeerVersion(time.Now(), report(3, storeClock))
			due := g.configFollower.nextRead(1)
			time.Sleep(60 * time.Millisecond)
			g.handlePeerVersion(time.Now(), report(3, storeClock))
			So(g.configFollower.nextRead(1).Sub(due), ShouldBeLessThan, 10*time.Millisecond)
		})
	})
}

// Guards against an entry that learns of a change later than the bounds allow, since all entries before it in
// rank have failed.
func TestLastRankReadsWithinTheBounds(t *testing.T) {
	grown := DefaultBounds()
	grown.ApplyLimit, grown.DrainLimit = 3*time.Second, 3*time.Second
	for _, bounds := range []Bounds{DefaultBounds(), grown} {
		Convey("The last entry has read within the limit after the last report of a peer", t, func() {
			const lastRank = 1100
			g := New(Options{Host: "h", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry(), Bounds: bounds})
			now := time.Now()
			g.configFollower.recordRead(now)
			g.serversFollower.recordRead(now)
			So(g.configFollower.nextRead(lastRank).Sub(now)+readReserve, ShouldBeLessThanOrEqualTo, bounds.ApplyLimit)
			So(g.serversFollower.nextRead(lastRank).Sub(now)+readReserve, ShouldBeLessThanOrEqualTo, bounds.DrainLimit)
		})
	}
}
