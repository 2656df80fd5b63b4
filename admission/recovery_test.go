package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
)

func TestCapacityLoss(t *testing.T) {
	Convey("Given a full controller that loses a third of its capacity", t, func() {
		c := New(Options{Capacity: 30, Reserve: 0.1, ResumeOvercommit: 1.1, Policy: CairnmarkPolicy()})
		var running []wigeonfork.RequestID
		for n := range 27 {
			So(c.Offer(start, request(n, "w", wigeonfork.ClassNarrative)).Action, ShouldEqual, Admit)
			running = append(running, request(n, "", 0).ID)
		}
		c.SetCapacity(20)
		for _, id := range running[18:] {
			c.Release(start, id)
		}
		actions := map[Action]int{}
		for n := range 9 {
			class := []wigeonfork.Class{wigeonfork.ClassLookup, wigeonfork.ClassCertificate, wigeonfork.ClassNarrative}[n%3]
			resume := request(100+n, "w", class)
			resume.Resume = true
			actions[c.Offer(start, resume).Action]++
		}
		Convey("resumes use the reserve and the overcommit, and the rest is queued", func() {
			So(actions[Admit], ShouldEqual, 4)
			So(actions[Queue], ShouldEqual, 5)
		})
		Convey("queued resumes start by the weight of their class, before any new request", func() {
			c.overallMeanService = 100 * time.Millisecond
			So(c.Offer(start, request(200, "w", wigeonfork.ClassNarrative)).Action, ShouldEqual, Queue)
			order := drain(c, start, running[:18], 8)
			So(order, ShouldResemble, []wigeonfork.RequestID{"105", "108", "104", "107", "106"})
		})
		Convey("a new request that would miss its deadline behind the queued resumes is refused at once", func() {
			late := request(200, "w", wigeonfork.ClassLookup)
			late.Deadline = start.Add(500 * time.Millisecond)
			So(c.Offer(start, late).Action, ShouldEqual, Refuse)
		})
	})
}
