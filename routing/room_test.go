package routing

import (
	"fmt"
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

// Guards against a request whose sends are all refused within a millisecond, since engines have less memory than is known
// and each is the best in turn.
func TestServersThatRefuseCountAsFullForAMoment(t *testing.T) {
	Convey("After both servers refused, the request is told to wait, and is sent there again later", t, func() {
		r := newRoomRouter(2, 1)
		for range 2 {
			d, err := r.Choose(start, roomRequest())
			So(err, ShouldBeNil)
			So(d.NoRoom, ShouldBeFalse)
			r.Refused(start, d.ID)
		}
		d, err := r.Choose(start, roomRequest())
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeTrue)
		So(d.RoomIn, ShouldBeBetween, 0, time.Second)
		d, err = r.Choose(start.Add(d.RoomIn), roomRequest())
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeFalse)
	})
	Convey("Where room is not counted, a refusal changes nothing", t, func() {
		r := newRoomRouter(1, 1)
		r.SetRoom(current.Model, false)
		r.Refused(start, "b0")
		d, err := r.Choose(start, roomRequest())
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeFalse)
	})
}

// Guards against memory that is taken for free since a report also tells the slowdown of its server.
func TestReportsWithASlowdownKeepTheRoomOfPeers(t *testing.T) {
	Convey("Nine requests of peers fill an engine, also after it has reported them", t, func() {
		for _, slowdown := range []float64{0, 1} {
			r := newRoomRouter(1, 1)
			for range 9 {
				r.PeerStarted(start, "b0", Work{PromptTokens: testPrompt})
			}
			r.Report(start.Add(time.Second), "b0", backend.LoadReport{
				Running: 9, Slots: 64, Slowdown: slowdown, MeasuredAt: start.Add(time.Second),
			})
			d, err := r.Choose(start.Add(time.Second), roomRequest())
			So(err, ShouldBeNil)
			So(d.NoRoom, ShouldBeTrue)
		}
	})
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
			later := start.Add(100 * time.Millisecond)
			for i := range a.servers {
				id := a.servers[i].ID
				running := len(a.find(id).occupancy.own) + len(b.find(id).occupancy.own)
				report := backend.LoadReport{Running: running, Slots: 64, MeasuredAt: later}
				a.Report(later, id, report)
				b.Report(later, id, report)
				So(a.Room(later, id).Requests, ShouldEqual, running)
				So(b.Room(later, id).Requests, ShouldEqual, running)
			}
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

// Guards against requests that wait for ever: a prompt almost or more than as large as an engine's memory.
func TestLargestRequests(t *testing.T) {
	Convey("A request that only an idle engine holds goes to one, and waits while none is idle", t, func() {
		r := newRoomRouter(2, 7)
		large := roomRequest()
		large.PromptTokens = testMemory - large.MaxTokens
		r.Started(start, "b0", roomWork())
		d, err := r.Choose(start, large)
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeFalse)
		So(d.ID, ShouldEqual, ID("b1"))
		r.Started(start, "b1", roomWork())
		d, err = r.Choose(start, large)
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeTrue)
	})
	Convey("A request that no engine holds is sent, so that an engine refuses it", t, func() {
		r := newRoomRouter(2, 8)
		fill(r, start)
		large := roomRequest()
		large.PromptTokens = testMemory
		d, err := r.Choose(start, large)
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeFalse)
	})
}

// Guards against callers who are told to come back at once, again and again, since all answers are longer than predicted.
func TestRoomInOfLongAnswers(t *testing.T) {
	Convey("When requests run for twice as long as predicted, the next room is told a fraction of that ahead", t, func() {
		r := newRoomRouter(2, 9)
		fill(r, start)
		longest := time.Duration(0)
		for _, o := range r.find("b0").occupancy.own {
			longest = max(longest, o.endsAt.Sub(start))
		}
		d, err := r.Choose(start.Add(2*longest), roomRequest())
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeTrue)
		So(d.RoomIn, ShouldBeGreaterThanOrEqualTo, longest/4)
		So(d.RoomIn, ShouldBeLessThanOrEqualTo, longest)
	})
	Convey("When all servers are suspect and full, the next room is told a request's duration ahead", t, func() {
		r := newRoomRouter(2, 10)
		fill(r, start)
		for _, id := range []ID{"b0", "b1"} {
			r.SetState(start, id, StateSuspect)
			r.find(id).probedAt = start
		}
		d, err := r.Choose(start, roomRequest())
		So(err, ShouldBeNil)
		So(d.NoRoom, ShouldBeTrue)
		So(d.RoomIn, ShouldBeGreaterThan, time.Second)
	})
}

// Guards against resumes that wait beside free places: all servers with room have refused the stream before.
func TestAvoidedServersWithRoom(t *testing.T) {
	Convey("A server to be avoided gets the request if no other has room", t, func() {
		r := newRoomRouter(2, 11)
		for range 9 {
			r.Started(start, "b0", roomWork())
		}
		req := roomRequest()
		req.Avoid = []ID{"b1"}
		d, err := r.Choose(start, req)
		So(err, ShouldBeNil)
		So(d.ID, ShouldEqual, ID("b1"))
		So(d.NoRoom, ShouldBeFalse)
	})
}

// Guards against memory that is freed for another request: prompts without declared parts.
func TestRequestsWithoutPrefixes(t *testing.T) {
	Convey("The end of a request frees its own size", t, func() {
		r := newRoomRouter(1, 12)
		small := Work{PromptTokens: 100, MaxTokens: 20}
		r.Started(start, "b0", roomWork())
		r.Started(start, "b0", small)
		r.Failed(start, "b0", small)
		So(r.Room(start, "b0").Used, ShouldEqual, testPrompt+testAnswer)
	})
}

// BenchmarkChooseWhenFull measures a decision when no engine of a large service has room.
func BenchmarkChooseWhenFull(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRoomRouter(n, 13)
			for i := range r.servers {
				for range 9 {
					r.Started(start, r.servers[i].ID, roomWork())
				}
			}
			req := roomRequest()
			for b.Loop() {
				if d, err := r.Choose(start, req); err != nil || !d.NoRoom {
					b.Fatal("a server has room")
				}
			}
		})
	}
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
		replaced := copyOf
		replaced.Replaces = true
		r.PeerCopyDropped("b1", 1)
		_, ok = r.ChooseBackup(start, replaced)
		So(ok, ShouldBeFalse)
		r.PeerCopyKept(start, "b1", 1, testPrompt+testAnswer)
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
