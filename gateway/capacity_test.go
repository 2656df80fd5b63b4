package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// newPlainFleet returns the view that a gateway has of two plain servers of 6 slots, and what it tells its peers.
func newPlainFleet(now time.Time) (*fleet, *[]loadshare.ServerCapacity) {
	options := &Options{Host: "h", Domain: "a", Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()}
	f := newFleet(options, func(upstream.Server) {})
	told := &[]loadshare.ServerCapacity{}
	f.shareCapacity = func(c loadshare.ServerCapacity) { *told = append(*told, c) }
	f.replaceServers(now, []directory.Entry{
		{ID: "i-1", Service: "desk", Address: "10.0.0.1:1", Domain: "a", Slots: 6},
		{ID: "i-2", Service: "desk", Address: "10.0.0.2:1", Domain: "a", Slots: 6},
	})
	return f, told
}

// answer lets one request to a server end with an answer that tells its load.
func answer(f *fleet, now time.Time, id serverID, load *Load) {
	place := f.assign(now, id, routing.Work{})
	f.recordAnswer(now, now, place, &Reply{Server: id, Load: load})
	f.finished(now, place, routing.Work{}, routing.Result{Duration: 30 * time.Millisecond})
}

// Guards against requests of all gateways at a server that one of them has just found slow for a moment: each gateway
// gets few answers, and each would have to send a request of its own to find out.
func TestPeersAvoidAServerThatOneFoundSlow(t *testing.T) {
	Convey("With two gateways and two servers that take a request in the usual time", t, func() {
		now := time.Unix(1000, 0)
		a, told := newPlainFleet(now)
		b, _ := newPlainFleet(now)
		for _, f := range []*fleet{a, b} {
			answer(f, now, "i-1", &Load{Slots: 6, Slowdown: 1})
			answer(f, now, "i-2", &Load{Slots: 6, Slowdown: 1})
		}
		So(*told, ShouldBeEmpty)
		Convey("the second sends nothing to the server that the first found slow", func() {
			answer(a, now, "i-1", &Load{Slots: 6, Slowdown: 2.5})
			So(len(*told), ShouldEqual, 1)
			b.peerCapacity(now, (*told)[0])
			for range 3 {
				place, err := b.choose(now, &query{service: "desk"})
				So(err, ShouldBeNil)
				So(place.ID, ShouldEqual, serverID("i-2"))
			}
		})
		Convey("the state shows what each server was found to take", func() {
			answer(a, now, "i-1", &Load{Slots: 6, Slowdown: 2.5})
			_, servers := a.state(now.Add(500 * time.Millisecond))
			found := *servers[0].Capacity
			So(found.ServiceMs, ShouldBeBetween, 10, 31)
			So(found, ShouldResemble, CapacityState{Slowdown: 1.75, SlowdownAgeMs: 500, ServiceMs: found.ServiceMs, Takes: 6})
		})
		Convey("a report of a server that is not known changes nothing", func() {
			b.peerCapacity(now, loadshare.ServerCapacity{Server: 5})
			So(b.alive("i-1"), ShouldBeTrue)
		})
	})
	Convey("A gateway whose servers report three counts tells its peers nothing, and its state says nothing of it", t, func() {
		now := time.Unix(1000, 0)
		f, told := newPlainFleet(now)
		for range 3 {
			now = now.Add(time.Second)
			answer(f, now, "i-1", &Load{Running: 3, Slots: 6})
		}
		So(*told, ShouldBeEmpty)
		_, servers := f.state(now)
		So(servers[0].Capacity, ShouldBeNil)
	})
}
