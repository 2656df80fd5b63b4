package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func servers(n int) *Servers {
	s := NewServers()
	for i := range n {
		s.Add(ID(fmt.Sprintf("a%d", i)), "model", "a")
		s.Add(ID(fmt.Sprintf("b%d", i)), "model", "b")
	}
	return s
}

func TestServerLoss(t *testing.T) {
	Convey("A lost server is probed until it answers", t, func() {
		s := servers(3)
		isNew, _ := s.Lost(at(0), "a0")
		So(isNew, ShouldBeTrue)
		isNew, _ = s.Lost(at(1), "a0")
		So(isNew, ShouldBeFalse)
		So(s.ProbeDue(at(100), "a0", true), ShouldBeFalse)
		So(s.ProbeDue(at(400), "a0", true), ShouldBeTrue)
		So(s.ProbeDue(at(500), "a0", true), ShouldBeFalse)
		So(s.Answered(at(-1), "a0"), ShouldBeFalse)
		So(s.State("a0"), ShouldEqual, Down)
		So(s.Answered(at(400), "a0"), ShouldBeTrue)
		So(s.State("a0"), ShouldEqual, Up)
	})
	Convey("A server whose address another server has taken stays down", t, func() {
		s := servers(1)
		s.Lost(at(0), "a0")
		s.Replaced("a0")
		So(s.ProbeDue(at(9000), "a0", true), ShouldBeFalse)
		So(s.Answered(at(9000), "a0"), ShouldBeFalse)
	})
	// Guards against a restarted server that nobody identifies, since it refused a request for its predecessor.
	Convey("A server for which another one has refused a request is probed until it is known which", t, func() {
		s := servers(1)
		s.Lost(at(0), "a0")
		s.Misdirected("a0")
		So(s.ProbeDue(at(400), "a0", true), ShouldBeTrue)
		So(s.Answered(at(900), "a0"), ShouldBeFalse)
		So(s.State("a0"), ShouldEqual, Down)
		Convey("It stays down once that is known", func() {
			s.Replaced("a0")
			s.Confirmed("a0")
			So(s.ProbeDue(at(9000), "a0", true), ShouldBeFalse)
			So(s.Answered(at(9000), "a0"), ShouldBeFalse)
		})
		Convey("It is up again if it responds there itself", func() {
			s.Confirmed("a0")
			So(s.Answered(at(900), "a0"), ShouldBeTrue)
			So(s.State("a0"), ShouldEqual, Up)
		})
	})
	Convey("Two losses at once make the other servers of the failure domain suspect, and no others", t, func() {
		s := servers(4)
		_, suspects := s.Lost(at(0), "a0")
		So(suspects, ShouldBeEmpty)
		_, suspects = s.Lost(at(10), "a1")
		So(len(suspects), ShouldEqual, 2)
		So(s.State("a2"), ShouldEqual, Suspect)
		So(s.State("b2"), ShouldEqual, Up)
		So(s.Answered(at(20), "a2"), ShouldBeTrue)
		So(s.State("a2"), ShouldEqual, Up)
	})
	// Guards against the loss of a failure domain that is seen first at one server each of two
	// services: the servers of one of them kept taking requests until each was found silent.
	Convey("Two losses of different services make the servers of both suspect, and no others", t, func() {
		s := NewServers()
		for _, service := range []string{"x", "y", "z"} {
			for i := range 3 {
				s.Add(ID(fmt.Sprint(service, i)), wigeonfork.Model(service), "a")
			}
		}
		s.Lost(at(0), "x0")
		_, suspects := s.Lost(at(10), "y0")
		So(len(suspects), ShouldEqual, 4)
		So(s.State("x1"), ShouldEqual, Suspect)
		So(s.State("y1"), ShouldEqual, Suspect)
		So(s.State("z1"), ShouldEqual, Up)
		Convey("and a later loss of another service those of that one", func() {
			_, suspects := s.Lost(at(20), "z0")
			So(len(suspects), ShouldEqual, 2)
			So(s.State("z1"), ShouldEqual, Suspect)
			_, suspects = s.Lost(at(30), "z1")
			So(suspects, ShouldBeEmpty)
		})
	})
	Convey("Losses that are far apart make no server suspect", t, func() {
		s := servers(4)
		s.Lost(at(0), "a0")
		_, suspects := s.Lost(at(5000), "a1")
		So(suspects, ShouldBeEmpty)
	})
}

// TestFailingServers guards against gray failures: a server passes its health checks but fails
// part of its requests, while its peers have a normal failure rate.
func TestFailingServers(t *testing.T) {
	run := func(s *Servers, rate func(i int) int) {
		for n := range 60 {
			for i := range 3 {
				s.Result(at(10*n), ID(fmt.Sprintf("a%d", i)), n%10 < rate(i))
			}
		}
	}
	threeServers := func() *Servers {
		s := NewServers()
		for i := range 3 {
			s.Add(ID(fmt.Sprintf("a%d", i)), "plain", "a")
		}
		return s
	}
	Convey("A server that fails far more requests than its peers is failing", t, func() {
		s := threeServers()
		run(s, func(i int) int { return map[int]int{0: 9, 1: 1, 2: 1}[i] })
		So(s.State("a0"), ShouldEqual, Failing)
		So(s.State("a1"), ShouldEqual, Up)
		Convey("and is up again after its failure rate has decayed", func() {
			for i := range 5 {
				s.DecayFailureRate(at(3000*(i+1)), "a0")
			}
			So(s.State("a0"), ShouldEqual, Up)
		})
	})
	Convey("Servers that all fail at the same rate stay up", t, func() {
		s := threeServers()
		run(s, func(int) int { return 5 })
		for i := range 3 {
			So(s.State(ID(fmt.Sprintf("a%d", i))), ShouldEqual, Up)
		}
	})
	// Guards against a server that is rejected for one failure, because failures of long ago
	// still count half.
	Convey("Failures of long ago do not make a server failing with the next one", t, func() {
		s := threeServers()
		run(s, func(int) int { return 5 })
		for n := range failingStreak - 1 {
			for _, id := range []ID{"a0", "a1", "a2"} {
				s.Result(at(600+n), id, true)
			}
		}
		for n := range 100 {
			s.Result(at(700+n), "a1", false)
			s.Result(at(700+n), "a2", false)
		}
		tenMinutes := 600_000
		s.Result(at(tenMinutes), "a0", true)
		So(s.State("a0"), ShouldEqual, Up)
	})
	Convey("A single failure does not make a server failing", t, func() {
		s := threeServers()
		s.Result(at(0), "a0", true)
		So(s.State("a0"), ShouldEqual, Up)
	})
}

func findings(verdicts []Verdict) map[ID]Finding {
	m := map[ID]Finding{}
	for _, v := range verdicts {
		m[v.Server] = v.Finding
	}
	return m
}

func TestUnresponsiveServersAndStreams(t *testing.T) {
	recordEvents := func(s *Streams, until, gap int, ids ...StreamID) {
		for ms := 0; ms <= until; ms += gap {
			for _, id := range ids {
				s.Event(at(ms), id)
			}
		}
	}
	Convey("A server with several streams is unresponsive sooner than one with a single stream", t, func() {
		s := NewStreams()
		one := s.Start(at(0), "one", "a", at(5000), true)
		both := []StreamID{s.Start(at(0), "two", "b", at(5000), true), s.Start(at(0), "two", "b", at(5000), true)}
		recordEvents(s, 1000, 40, append(both, one)...)
		So(s.Sweep(at(1200)), ShouldBeEmpty)
		So(findings(s.Sweep(at(1300))), ShouldResemble, map[ID]Finding{"two": FindingServerUnresponsive})
		So(findings(s.Sweep(at(1410))), ShouldResemble, map[ID]Finding{"one": FindingServerUnresponsive})
	})
	Convey("The timeout is shorter still after a loss in the failure domain", t, func() {
		s := NewStreams()
		id := s.Start(at(0), "one", "a", at(5000), true)
		recordEvents(s, 1000, 40, id)
		s.ServerLost(at(1000), "a")
		So(findings(s.Sweep(at(1210))), ShouldResemble, map[ID]Finding{"one": FindingServerUnresponsive})
	})
	Convey("The timeout of a slow server follows its average gap between events", t, func() {
		s := NewStreams()
		id := s.Start(at(0), "slow", "a", at(5000), true)
		recordEvents(s, 2000, 160, id)
		So(s.Sweep(at(2320)), ShouldBeEmpty)
		So(s.Sweep(at(2390)), ShouldBeEmpty)
		So(findings(s.Sweep(at(2400))), ShouldResemble, map[ID]Finding{"slow": FindingServerUnresponsive})
	})
	Convey("While prompts are read, inactivity leads to a probe and not to a loss", t, func() {
		s := NewStreams()
		s.Start(at(0), "one", "a", at(5000), true)
		So(findings(s.Sweep(at(650))), ShouldResemble, map[ID]Finding{"one": FindingProbe})
		So(s.Sweep(at(700)), ShouldBeEmpty)
		s.ServerResponded(at(710), "one")
		So(s.Sweep(at(1200)), ShouldBeEmpty)
	})
	Convey("A stream that waits behind others is not stalled", t, func() {
		s := NewStreams()
		first := s.Start(at(0), "one", "a", at(4000), true)
		s.Start(at(100), "one", "a", at(4100), true)
		recordEvents(s, 6000, 40, first)
		So(s.Sweep(at(6010)), ShouldBeEmpty)
		Convey("also if a stream that resumes from a copy has overtaken it", func() {
			copied := s.Start(at(6020), "one", "a", at(9000), false)
			s.Event(at(6030), copied)
			So(s.Sweep(at(6040)), ShouldBeEmpty)
		})
		Convey("but is stalled once a later queued stream has begun", func() {
			later := s.Start(at(6020), "one", "a", at(9000), true)
			s.Event(at(6100), later)
			So(findings(s.Sweep(at(6110))), ShouldResemble, map[ID]Finding{"one": FindingStreamStalled})
		})
	})
	Convey("A stream that stops while its server sends events on others is stalled", t, func() {
		s := NewStreams()
		stalled := s.Start(at(0), "one", "a", at(5000), true)
		other := s.Start(at(0), "one", "a", at(5000), true)
		s.Event(at(0), stalled)
		recordEvents(s, 1600, 40, other)
		verdicts := s.Sweep(at(1610))
		So(len(verdicts), ShouldEqual, 1)
		So(verdicts[0].Finding, ShouldEqual, FindingStreamStalled)
		So(verdicts[0].Stream, ShouldEqual, stalled)
	})
	Convey("A stream that has ended is not watched", t, func() {
		s := NewStreams()
		id := s.Start(at(0), "one", "a", at(10), true)
		So(s.StreamsAt("one"), ShouldResemble, []StreamID{id})
		s.End(id)
		So(s.Len(), ShouldEqual, 0)
		So(s.Sweep(at(9000)), ShouldBeEmpty)
	})
}
