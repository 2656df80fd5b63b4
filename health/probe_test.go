package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load of a server's loss on a large site, with a round of upkeep five times a
// second at each entry.
func TestProbesOfLostServerAreBounded(t *testing.T) {
	const (
		entries       = 31
		watchers      = 3
		downtime      = 3 * time.Second
		sweepInterval = 200 * time.Millisecond
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
		for passed := from; passed < to; passed += sweepInterval {
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
		Convey("few of them probe it while it is away", func() {
			So(probes(0, downtime), ShouldBeLessThanOrEqualTo, watchers*int(downtime/initialProbeInterval))
			Convey("the others look by themselves in the end, as a message may be lost", func() {
				So(probes(downtime, nonWatcherProbeInterval+2*sweepInterval), ShouldBeGreaterThanOrEqualTo, entries-watchers)
			})
		})
		Convey("and one tells that it is back, each looks once and takes it up", func() {
			probes(0, downtime)
			for i, s := range all {
				if i == 0 {
					So(s.Answered(start.Add(downtime), "i"), ShouldBeTrue)
					continue
				}
				s.PeerRecovered(start.Add(downtime), "i")
				So(s.RecoveryReported("i"), ShouldBeTrue)
			}
			So(probes(downtime, downtime+sweepInterval), ShouldEqual, entries-1)
		})
	})
	Convey("An entry that alone has lost a server probes it at once", t, func() {
		s := NewServers()
		s.Add("i", "m", "a")
		s.Lost(start, "i")
		So(s.LossReported(start, "i"), ShouldBeFalse)
		So(s.ProbeDue(start.Add(initialProbeInterval), "i", false), ShouldBeTrue)
	})
	Convey("The word of a peer that was cut off once says nothing of a later loss", t, func() {
		s := NewServers()
		s.Add("i", "m", "a")
		So(s.PeerLost(start, "i"), ShouldBeTrue)
		later := start.Add(sharedLossWindow + 1)
		s.Lost(later, "i")
		So(s.LossReported(later, "i"), ShouldBeFalse)
		So(s.ProbeDue(later.Add(initialProbeInterval), "i", false), ShouldBeTrue)
		Convey("but one that loses it at the same time shares the probes", func() {
			s.PeerLost(later.Add(initialProbeInterval), "i")
			So(s.ProbeDue(later.Add(2*initialProbeInterval), "i", false), ShouldBeFalse)
		})
	})
}
