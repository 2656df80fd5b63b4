package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/backend"
)

const usualService = 30 * time.Millisecond

// newPlainRouter returns a router with servers s0 to s2 of 6 slots, which have run plain requests in the usual time and
// report the slowdown, and the time.
func newPlainRouter(slowdown float64) (*Router, time.Time) {
	r, now := New(Options{Seed: 1, Domain: "a"}), time.Unix(1000, 0)
	for i := range 3 {
		r.Upsert(Server{ID: plainID(i), Domain: "a", Versions: []Deployment{{Model: "registry"}}, Slots: 6})
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for i := range 3 {
			r.Started(now, plainID(i), Work{})
			r.Report(now, plainID(i), backend.LoadReport{Slots: 6, Slowdown: slowdown, MeasuredAt: now})
			r.Finished(now, plainID(i), Work{}, Result{Duration: usualService})
		}
	}
	return r, now
}

func plainID(i int) ID { return ID(fmt.Sprintf("s%d", i)) }

// spread returns how many of n requests go to each server if none of them ends.
func spread(r *Router, now time.Time, n int) [3]int {
	var counts [3]int
	for range n {
		d, err := r.Choose(now, Request{Model: "registry"})
		So(err, ShouldBeNil)
		r.Started(now, d.ID, Work{})
		counts[int(d.ID[1]-'0')]++
	}
	return counts
}

// Guards against registrations that are late since one of three plain servers shares its host with others that are busy
// for moments.
func TestPlainRequestsAvoidAServerThatIsSlowForAMoment(t *testing.T) {
	Convey("With three servers of 6 slots, of which one takes 2.5 times as long", t, func() {
		r, now := newPlainRouter(1)
		r.Report(now, "s0", backend.LoadReport{Slots: 6, Slowdown: 2.5, MeasuredAt: now})
		Convey("the others get the requests while they have free slots", func() {
			So(spread(r, now, 6), ShouldResemble, [3]int{0, 3, 3})
		})
		Convey("it gets some of a burst, and fewer than the others", func() {
			counts := spread(r, now, 18)
			So(counts[0], ShouldBeBetween, 0, 6)
		})
		Convey("the slowdown counts half at half of its validity, and nothing after it", func() {
			half, _ := r.Capacity(now.Add(time.Second/2), "s0")
			So(half.Slowdown, ShouldEqual, 1.75)
			old, _ := r.Capacity(now.Add(time.Second), "s0")
			So(old.Slowdown, ShouldEqual, 1)
			So(spread(r, now.Add(time.Second), 6), ShouldResemble, [3]int{2, 2, 2})
		})
		Convey("the time of a request there is learned without the slowdown", func() {
			r.Started(now, "s0", Work{})
			r.Finished(now, "s0", Work{}, Result{Duration: 5 * usualService / 2})
			known, _ := r.Capacity(now, "s0")
			So(known.ServiceTime.Seconds(), ShouldAlmostEqual, usualService.Seconds(), 1e-6)
		})
	})
}

// Guards against a plain server that is slow of itself and gets as many requests as the others, and against one that
// stays out of use after it was slow.
func TestPlainRequestsGoByServiceTime(t *testing.T) {
	Convey("A server whose requests take three times as long gets none while the others have free slots", t, func() {
		r, now := newPlainRouter(1)
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			r.Started(now, "s1", Work{})
			r.Finished(now, "s1", Work{}, Result{Duration: 3 * usualService})
		}
		So(spread(r, now, 6)[1], ShouldEqual, 0)
		Convey("and it is tried again after some seconds without requests", func() {
			So(spread(r, now.Add(10*time.Second), 6)[1], ShouldBeGreaterThan, 0)
		})
	})
	Convey("A new server counts as fast as the mean of the others", t, func() {
		r, now := newPlainRouter(1)
		r.Upsert(Server{ID: "s0", Domain: "a", Versions: []Deployment{{Model: "registry"}}, Slots: 6})
		r.Remove("s0")
		r.Upsert(Server{ID: "s0", Domain: "a", Versions: []Deployment{{Model: "registry"}}, Slots: 6})
		So(spread(r, now, 6), ShouldResemble, [3]int{2, 2, 2})
	})
}

// Guards against plain servers that stay avoided because of requests which other gateways had there long ago, as an
// answer counts the requests of one moment and the work takes milliseconds.
func TestReportedPlainRequestsEndWithTheirServiceTime(t *testing.T) {
	Convey("Requests of others count when they are reported, and no more after some service times", t, func() {
		r, now := newPlainRouter(1)
		r.Report(now, "s0", backend.LoadReport{Running: 5, Slots: 6, Slowdown: 1, MeasuredAt: now})
		So(spread(r, now, 4)[0], ShouldEqual, 0)
		So(r.find("s0").outstanding(now.Add(10*usualService), 0), ShouldBeLessThan, 0.01)
	})
}

// Guards against a queue at a plain server that counts as gone after one service time: requests of a burst would go on
// to that server and be refused.
func TestReportedPlainRequestsBeyondTheSlotsEndOneAfterTheOther(t *testing.T) {
	Convey("Of 18 requests of peers at a server of 6 slots, 6 end in each service time until the slots do for all", t, func() {
		r, now := newPlainRouter(1)
		for range 18 {
			r.PeerStarted(now, "s0", Work{})
		}
		s := r.find("s0")
		So(s.outstanding(now, 0), ShouldAlmostEqual, 18, 1e-6)
		So(s.outstanding(now.Add(usualService), 0), ShouldAlmostEqual, 12, 1e-3)
		So(s.outstanding(now.Add(2*usualService), 0), ShouldAlmostEqual, 6, 1e-3)
		So(s.outstanding(now.Add(3*usualService), 0), ShouldAlmostEqual, 6/math.E, 1e-3)
	})
}

// Guards against a change for deployments whose servers report three counts: their plain requests go as before.
func TestPlainRequestsWithoutReportedSlowdown(t *testing.T) {
	Convey("Without a reported slowdown, requests are placed by count", t, func() {
		r, now := newPlainRouter(0)
		So(r.find("s0").isPlain(), ShouldBeFalse)
		for range 10 {
			r.Started(now, "s1", Work{})
			r.Finished(now, "s1", Work{}, Result{Duration: 3 * usualService})
		}
		So(spread(r, now, 6), ShouldResemble, [3]int{2, 2, 2})
	})
}

// Guards against engines that stay avoided, or drowned, by a count that was true for a moment: a gateway gets an answer of
// one of many engines only every few seconds, and its count leaves out what was sent last.
func TestReportedStreamsEndWithTheirDuration(t *testing.T) {
	engine := func(slowdown float64, peerReports bool) (*server, time.Time) {
		r, now := New(Options{Seed: 1}), time.Unix(1000, 0)
		r.Upsert(Server{ID: "e", Versions: []Deployment{{Model: "m"}}, Slots: 64})
		for range 50 {
			r.Started(now, "e", Work{PromptTokens: 8000})
			now = now.Add(5 * time.Second)
			r.Finished(now, "e", Work{PromptTokens: 8000}, Result{Duration: 5 * time.Second})
		}
		r.SetPeerReports(peerReports)
		r.PeerStarted(now, "e", Work{PromptTokens: 8000})
		r.Report(now, "e", backend.LoadReport{Running: 20, Slots: 64, Slowdown: slowdown, MeasuredAt: now})
		return r.find("e"), now
	}
	Convey("Where servers report their slowdown, the requests of others end with the mean duration", t, func() {
		s, now := engine(1, false)
		So(s.outstanding(now, 0), ShouldEqual, 20)
		So(s.outstanding(now.Add(5*time.Second), 0), ShouldAlmostEqual, 20/math.E, 0.01)
	})
	Convey("If peers report what they send, that counts in place of the engine's count", t, func() {
		s, now := engine(1, true)
		So(s.outstanding(now, 0), ShouldEqual, 1)
	})
	Convey("Elsewhere they count until the report is too old", t, func() {
		s, now := engine(0, true)
		So(s.outstanding(now.Add(reportValidity), 0), ShouldEqual, 20)
		So(s.outstanding(now.Add(reportValidity+1), 0), ShouldEqual, 10)
	})
}

// Guards against an engine that stays busy for good since one load told no slowdown: later ones, which count less than the
// peers' sends, must not leave its count standing.
func TestCountsWithoutASlowdownEndWhenOnesWithASlowdownCome(t *testing.T) {
	Convey("An engine reports 40 requests without a slowdown, then that it is idle, with one", t, func() {
		r := New(Options{Seed: 1})
		r.SetServers(testServers(1))
		r.SetPeerReports(true)
		r.Report(start, "b0", backend.LoadReport{Running: 40, Slots: 64, MeasuredAt: start})
		later := start.Add(time.Second)
		r.Report(later, "b0", backend.LoadReport{Slots: 64, Slowdown: 1, MeasuredAt: later})
		So(r.find("b0").outstanding(later, 0), ShouldEqual, 0)
	})
}
