package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
)

const (
	testMemory = 88_000
	testPrompt = 8_200
	testAnswer = 720
)

// newRoomRouter returns a router with n servers of 64 slots whose memory holds nine of the test requests.
func newRoomRouter(n int, seed uint64) *Router {
	r := New(Options{Seed: seed})
	servers := testServers(n)
	for i := range servers {
		servers[i].Slots = 64
	}
	r.SetServers(servers)
	r.SetMemoryLimit(current.Model, testMemory)
	r.SetRoom(current.Model, true)
	return r
}

func roomRequest() Request {
	return Request{Model: current.Model, Version: current.Version, PromptTokens: testPrompt, MaxTokens: testAnswer}
}

func roomWork() Work { return Work{PromptTokens: testPrompt, MaxTokens: testAnswer} }

// fill sends requests until one has no room, and counts them by server.
func fill(r *Router, now time.Time) (sent map[ID]int, refused Decision) {
	sent = make(map[ID]int)
	for {
		d, err := r.Choose(now, roomRequest())
		So(err, ShouldBeNil)
		if d.NoRoom {
			return sent, d
		}
		r.Started(now, d.ID, roomWork())
		sent[d.ID]++
	}
}

// Guards against requests that are sent to be preempted while other engines have memory, and against refusals while
// some have: long prompts fill engines whose slots are mostly free.
func TestRequestsGoWhereTheyFit(t *testing.T) {
	Convey("Long prompts fill the memory of every engine, beyond the sample too, before one is told to wait", t, func() {
		r := newRoomRouter(40, 1)
		sent, refused := fill(r, start)
		So(len(sent), ShouldEqual, 40)
		for _, n := range sent {
			So(n, ShouldEqual, 9)
		}
		So(refused.RoomIn, ShouldBeGreaterThan, 0)
		So(refused.RoomIn, ShouldBeLessThan, 30*time.Second)

		Convey("and one has room as soon as any request ends", func() {
			r.Finished(start.Add(time.Second), "b7", roomWork(), Result{Tokens: testAnswer, Duration: time.Second})
			d, err := r.Choose(start.Add(time.Second), roomRequest())
			So(err, ShouldBeNil)
			So(d.NoRoom, ShouldBeFalse)
			So(d.ID, ShouldEqual, ID("b7"))
		})
	})
}

// Guards against resumes that wait behind new requests after many engines are lost at once.
func TestResumesUseTheReserve(t *testing.T) {
	Convey("When new requests have filled the engines, a short resume fits into the memory they leave free", t, func() {
		r := newRoomRouter(3, 2)
		fill(r, start)
		resume := roomRequest()
		resume.PromptTokens, resume.MaxTokens = 7_000, 100
		d, err := r.Choose(start, resume)
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeTrue)
		resume.Resume = true
		d, err = r.Choose(start, resume)
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeFalse)
	})
}

// Guards against two gateways that fill the same engine, as each sees the other's requests only by messages.
func TestPeersShareRoom(t *testing.T) {
	Convey("Given two gateways whose requests fill the same engines", t, func() {
		a, b := newRoomRouter(4, 3), newRoomRouter(4, 4)
		send := func(from, to *Router, delivered bool) bool {
			d, err := from.Choose(start, roomRequest())
			So(err, ShouldBeNil)
			if d.NoRoom {
				return false
			}
			from.Started(start, d.ID, roomWork())
			if delivered {
				to.PeerStarted(start, d.ID, Work{PromptTokens: testPrompt})
			}
			return true
		}
		most := func() int {
			most := 0
			for i := range a.servers {
				most = max(most, len(a.servers[i].occupancy.own)+len(b.servers[i].occupancy.own))
			}
			return most
		}

		Convey("none is filled beyond its memory if the messages arrive", func() {
			for send(a, b, true) || send(b, a, true) {
			}
			So(most(), ShouldBeLessThanOrEqualTo, 9)
		})
		Convey("both send to the last room at once at most once each, and a report then corrects both", func() {
			for range 30 {
				send(a, b, true)
			}
			So(send(a, b, false), ShouldEqual, send(b, a, false))
			So(most(), ShouldBeLessThanOrEqualTo, 10)
		})
		Convey("lost messages are replaced by the next load report", func() {
			for range 9 {
				a.Started(start, "b0", roomWork())
			}
			later := start.Add(200 * time.Millisecond)
			b.PeerStarted(start, "b1", Work{PromptTokens: testPrompt})
			b.Started(start, "b0", roomWork())
			b.Report(later, "b0", backend.LoadReport{Running: 10, Slots: 64, MeasuredAt: later})
			So(b.Room(later, "b0").Requests, ShouldEqual, 10)
			So(b.Room(later, "b0").Used, ShouldBeGreaterThan, testMemory)
		})
		Convey("the requests of a gateway that has died are forgotten by the next report, or at their predicted ends", func() {
			for range 9 {
				b.PeerStarted(start, "b0", Work{PromptTokens: testPrompt})
			}
			later := start.Add(300 * time.Millisecond)
			b.PeerStarted(later, "b0", Work{PromptTokens: testPrompt})
			b.Report(later, "b0", backend.LoadReport{Running: 2, Slots: 64, MeasuredAt: start.Add(100 * time.Millisecond)})
			So(b.Room(later, "b0").Requests, ShouldEqual, 3)
			So(b.Room(start.Add(time.Minute), "b0").Used, ShouldEqual, 0)
		})
	})
}

// Guards against an effect on services for which no room is counted.
func TestRoomIsCountedOnlyWhereSet(t *testing.T) {
	Convey("A service without room counted never has NoRoom, however full its engines are", t, func() {
		r := newRoomRouter(3, 5)
		r.SetRoom(current.Model, false)
		for range 200 {
			d, err := r.Choose(start, roomRequest())
			So(err, ShouldBeNil)
			So(d.NoRoom, ShouldBeFalse)
			r.Started(start, d.ID, roomWork())
		}
		So(r.Room(start, "b0"), ShouldResemble, ServerRoom{})
	})
}
