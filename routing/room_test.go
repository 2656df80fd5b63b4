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
		Convey("an announced end frees the memory at once, and one that is announced twice frees it once", func() {
			for hash := range uint64(9) {
				b.PeerStarted(start, "b0", Work{PromptTokens: testPrompt, Prefixes: []Prefix{{Hash: hash + 1, Tokens: testPrompt}}})
			}
			for range 2 {
				b.PeerEnded(start.Add(time.Second), "b0", 4)
			}
			So(b.Room(start.Add(time.Second), "b0").Requests, ShouldEqual, 8)
		})
		Convey("the requests of a gateway that has died are forgotten by the next report, or at their predicted ends", func() {
			for range 9 {
				b.PeerStarted(start, "b0", Work{PromptTokens: testPrompt})
			}
			later := start.Add(300 * time.Millisecond)
			b.PeerStarted(later, "b0", Work{PromptTokens: testPrompt})
			b.Report(later, "b0", backend.LoadReport{Running: 2, Slots: 64, MeasuredAt: start.Add(100 * time.Millisecond)})
			So(b.Room(later, "b0").Requests, ShouldEqual, 3)
			overdue := start
			for _, p := range b.find("b0").occupancy.peers {
				if p.forgetAt.After(overdue) {
					overdue = p.forgetAt
				}
			}
			So(b.Room(overdue.Add(-time.Nanosecond), "b0").Requests, ShouldEqual, 1)
			So(b.Room(overdue, "b0").Used, ShouldEqual, 0)
		})
	})
}

// Guards against copies that push running requests out of memory: each stream keeps one, so that they need as much as all
// streams.
func TestCopiesLeaveRoomForRequests(t *testing.T) {
	Convey("When a server is filled to three quarters by requests and the copies of all entries, it gets no further copy", t, func() {
		r := newRoomRouter(2, 6)
		copyOf := BackupRequest{Model: current.Model, Version: current.Version, Server: "b0", Domain: "d0", Tokens: testPrompt + testAnswer}
		for range 3 {
			r.Started(start, "b1", roomWork())
		}
		for hash := range uint64(3) {
			r.PeerCopyKept(start, "b1", hash+1, testPrompt+testAnswer)
		}
		id, ok := r.ChooseBackup(start, copyOf)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, ID("b1"))
		_, ok = r.ChooseBackup(start, copyOf)
		So(ok, ShouldBeFalse)
		r.PeerCopyDropped("b1", 2)
		_, ok = r.ChooseBackup(start, copyOf)
		So(ok, ShouldBeTrue)
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

// Load: the least urgent kind presses while more urgent ones come now and then. It leaves them memory, so that these go at
// once, and uses all of it while they don't come. No resumed request gets room that its rank leaves free.
func TestLessUrgentRequestsLeaveRoomForRanksInDemand(t *testing.T) {
	Convey("Given engines that are filled by requests of the least urgent rank", t, func() {
		fillRank := func(r *Router, now time.Time, req Request) int {
			for n := 0; ; n++ {
				d, err := r.Choose(now, req)
				So(err, ShouldBeNil)
				if d.NoRoom {
					return n
				}
				r.Started(now, d.ID, roomWork())
			}
		}
		least, middle, first := roomRequest(), roomRequest(), roomRequest()
		least.Rank, middle.Rank = 2, 1
		r := newRoomRouter(10, 1)
		Convey("they use all memory while no more urgent rank asks", func() {
			So(fillRank(r, start, least), ShouldEqual, 90)
		})
		Convey("they leave some for each more urgent rank that asks", func() {
			_, err := r.Choose(start, first)
			So(err, ShouldBeNil)
			r.RankWaits(start, current.Model, 1)
			left := 90 - fillRank(r, start, least)
			So(left, ShouldBeGreaterThan, 20)
			resumed := least
			resumed.Resume = true
			So(fillRank(r, start, resumed), ShouldBeLessThan, left/2)
			So(fillRank(r, start, middle), ShouldBeGreaterThan, 0)
			So(fillRank(r, start, first), ShouldBeGreaterThan, 0)
		})
		Convey("they use it again once those ranks ask no more", func() {
			_, err := r.Choose(start, first)
			So(err, ShouldBeNil)
			So(fillRank(r, start.Add(rankDemandPeriod), least), ShouldEqual, 90)
		})
	})
}
