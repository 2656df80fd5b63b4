package capacity

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	slots = 6.0
	usual = 0.03 // seconds
	step  = 50 * time.Millisecond
)

// run lets n requests end, one each step, that took some seconds with inFlight at the server. It returns the time.
func run(s *Server, service *Service, now time.Time, n int, took, inFlight float64) time.Time {
	for range n {
		now = now.Add(step)
		s.Finished(now, service, took, inFlight, slots)
	}
	return now
}

// Guards against a server that is far slower with all slots in use than with few, and gets as many requests at once as
// the others.
func TestBoundOfAServerThatSlowsDownWhenNearlyFull(t *testing.T) {
	Convey("A new server takes as many requests as it has slots", t, func() {
		s, service, now := &Server{}, &Service{}, time.Unix(1000, 0)
		So(s.Takes(now, slots), ShouldEqual, slots)
		now = run(s, service, now, 20, usual, 1)
		Convey("and still does if requests take the usual time with all slots in use", func() {
			now = run(s, service, now, 40, usual*1.2, slots)
			So(s.Takes(now, slots), ShouldEqual, slots)
		})
		Convey("and half as many, or fewer, within a second of requests that take four times as long", func() {
			now = run(s, service, now, 20, usual*4, 5)
			So(s.Takes(now, slots), ShouldBeLessThanOrEqualTo, slots/2)
			So(s.Takes(now, slots), ShouldBeGreaterThanOrEqualTo, 1)
			So(s.ServiceTime(now, service), ShouldAlmostEqual, usual, 1e-6)
			Convey("it is tried with more again while nothing is learned", func() {
				So(s.Takes(now.Add(2*halfLife), slots), ShouldBeGreaterThan, slots/2)
			})
			Convey("and grows while the bound is used and requests take the usual time", func() {
				So(s.Takes(run(s, service, now, 100, usual, 5), slots), ShouldBeGreaterThanOrEqualTo, 5)
			})
		})
		Convey("and as many if requests beyond the slots took longer, as they have waited", func() {
			now = run(s, service, now, 20, usual*4, 12)
			So(s.Takes(now, slots), ShouldEqual, slots)
			So(s.ServiceTime(now, service), ShouldAlmostEqual, usual, 1e-6)
		})
		Convey("and as many if the server said that work takes longer at this moment", func() {
			for range 20 {
				now = now.Add(step)
				s.ReadSlowdown(now, service, 4)
				s.Finished(now, service, usual*4, 5, slots)
			}
			So(s.Takes(now, slots), ShouldEqual, slots)
		})
	})
}

// Guards against a change of a server's speed that is followed late, and against a server that stays avoided for what it
// was.
func TestServiceTimeFollowsTheServer(t *testing.T) {
	Convey("With a service of two servers of the same speed", t, func() {
		a, b, service, now := &Server{}, &Server{}, &Service{}, time.Unix(1000, 0)
		now = run(a, service, run(b, service, now, 20, usual, 1), 20, usual, 1)
		Convey("one that becomes three times as slow counts as twice as slow or more within two seconds", func() {
			later := run(a, service, now, 20, 3*usual, 1)
			So(later.Sub(now), ShouldBeLessThanOrEqualTo, 2*time.Second)
			So(a.ServiceTime(later, service), ShouldBeGreaterThan, 2*usual)
		})
		Convey("a new server counts as the mean", func() {
			So((&Server{}).ServiceTime(now, service), ShouldAlmostEqual, usual, 1e-6)
		})
	})
}

// Guards against gateways that each have to find out by requests of their own that a server is slow for a moment, and
// against a datagram for each answer.
func TestSlowdownsAreShared(t *testing.T) {
	Convey("An entry tells its peers of a server that is slow for a moment", t, func() {
		s, service, now := &Server{}, &Service{}, time.Unix(1000, 0)
		s.ReadSlowdown(now, service, 1)
		_, isNew := s.Report(now)
		So(isNew, ShouldBeFalse)
		s.ReadSlowdown(now, service, 2.5)
		report, isNew := s.Report(now)
		So(isNew, ShouldBeTrue)
		So(report, ShouldResemble, Report{Slowdown: 2.5})
		peer, peerService := &Server{}, &Service{}
		peer.Merge(now, peerService, report)
		Convey("which then count it as slow", func() {
			So(peer.Slowdown(now), ShouldEqual, 2.5)
			So(peerService.ReportsSlowdown(), ShouldBeTrue)
		})
		Convey("and which do not tell the same again", func() {
			now = now.Add(2 * shareInterval)
			peer.ReadSlowdown(now, peerService, 2.5)
			_, isNew := peer.Report(now)
			So(isNew, ShouldBeFalse)
		})
		Convey("and which tell that it works as usual again", func() {
			now = now.Add(2 * shareInterval)
			peer.ReadSlowdown(now, peerService, 1)
			report, isNew := peer.Report(now)
			So(isNew, ShouldBeTrue)
			s.Merge(now, service, report)
			So(s.Slowdown(now), ShouldEqual, 1)
		})
		Convey("a late report does not replace what the server said since", func() {
			peer.ReadSlowdown(now, peerService, 1)
			peer.Merge(now, peerService, Report{Slowdown: 2.5, Age: step})
			So(peer.Slowdown(now), ShouldEqual, 1)
		})
		Convey("if all reports are lost, it counts as usual after a second", func() {
			So(peer.Slowdown(now.Add(slowdownValidity)), ShouldEqual, 1)
		})
		Convey("a report out of range is ignored", func() {
			for _, bad := range []Report{{}, {Slowdown: -1}, {Slowdown: 1e9}, {Slowdown: 3, Age: -1}} {
				peer.Merge(now.Add(slowdownValidity), peerService, bad)
			}
			So(peer.Slowdown(now.Add(slowdownValidity)), ShouldEqual, 1)
		})
	})
}

// Load: a faulty server says that work takes no time there, or for ever. It must not draw all requests of its service, nor
// spoil the usual time that its neighbours are measured by.
func TestAbsurdSlowdownsAreBounded(t *testing.T) {
	for _, said := range []float64{1e-9, 1e9} {
		s, service, now := &Server{}, &Service{}, time.Unix(1000, 0)
		s.ReadSlowdown(now, service, said)
		if factor := s.Slowdown(now); factor < leastSlowdown || factor > mostSlowdown {
			t.Errorf("the slowdown %g counts as %g", said, factor)
		}
		s.Finished(now, service, 0.03, 1, 6)
		if usual := (&Server{}).ServiceTime(now, service); usual < 0.03/mostSlowdown || usual > 0.03/leastSlowdown {
			t.Errorf("with the slowdown %g the usual time of the service is %g s", said, usual)
		}
	}
}
