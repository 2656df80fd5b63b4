package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestProbesOfLostServerAreBounded guards against a probe storm after the loss of a server in a
// large deployment. Each entry checks for due probes five times per second.
func TestProbesOfLostServerAreBounded(t *testing.T) {
	const (
		entries             = 31
		watchers            = 3
		downtime            = 3 * time.Second
		maintenanceInterval = 200 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	var all []*Servers
	loseAtAllEntries := func() {
		all = nil
		for i := range entries {
			s := NewServers()
			s.Add("i", "m", "a")
			all = append(all, s)
			s.Lost(start, "i")
			if i > 0 {
				s.PeerLost(start, "i")
			}
		}
	}
	probes := func(from, to time.Duration) int {
		count := 0
		for passed := from; passed < to; passed += maintenanceInterval {
			for i, s := range all {
				if s.ProbeDue(start.Add(passed), "i", i < watchers) {
					count++
				}
			}
		}
		return count
	}
	Convey("Where all entries lose a server", t, func() {
		loseAtAllEntries()
		Convey("only the watchers probe it while it is down", func() {
			So(probes(0, downtime), ShouldBeLessThanOrEqualTo, watchers*int(downtime/initialProbeInterval))
			Convey("the others probe it later, since a peer report may be lost", func() {
				So(probes(downtime, nonWatcherProbeInterval+2*maintenanceInterval), ShouldBeGreaterThanOrEqualTo, entries-watchers)
			})
		})
		Convey("and one reports that it responds again, each other entry probes it once", func() {
			probes(0, downtime)
			for i, s := range all {
				if i == 0 {
					So(s.Answered(start.Add(downtime), "i"), ShouldBeTrue)
					continue
				}
				s.PeerRecovered(start.Add(downtime), "i")
				So(s.RecoveryReported("i"), ShouldBeTrue)
			}
			So(probes(downtime, downtime+maintenanceInterval), ShouldEqual, entries-1)
		})
	})
	Convey("An entry that alone has lost a server probes it at once", t, func() {
		s := NewServers()
		s.Add("i", "m", "a")
		s.Lost(start, "i")
		So(s.LossReported(start, "i"), ShouldBeFalse)
		So(s.ProbeDue(start.Add(initialProbeInterval), "i", false), ShouldBeTrue)
	})
	Convey("An old report of a peer that was cut off does not count for a later loss", t, func() {
		s := NewServers()
		s.Add("i", "m", "a")
		So(s.PeerLost(start, "i"), ShouldBeTrue)
		later := start.Add(sharedLossWindow + 1)
		s.Lost(later, "i")
		So(s.LossReported(later, "i"), ShouldBeFalse)
		So(s.ProbeDue(later.Add(initialProbeInterval), "i", false), ShouldBeTrue)
		Convey("but a peer's loss at the same time does, and the probes are shared", func() {
			s.PeerLost(later.Add(initialProbeInterval), "i")
			So(s.ProbeDue(later.Add(2*initialProbeInterval), "i", false), ShouldBeFalse)
		})
	})
}
