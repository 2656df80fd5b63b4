package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"pgregory.net/rapid"
)

func testPlan() Plan {
	p := Plan{
		ID: "m", Scope: "d", Model: "m", From: "v1", To: "v2",
		Start: testStart, Deadline: testStart.Add(30 * time.Minute),
		WeightBytes: 10e9, RateBytesPerSecond: 1e9,
	}
	for i := range 9 {
		p.Servers = append(p.Servers, Server{
			ID:     wigeonfork.BackendServerID(fmt.Sprintf("b%d", i)),
			Host:   wigeonfork.HostID(fmt.Sprintf("h%d", i)),
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("d%d", i/3)),
		})
	}
	return p
}

// testSystem simulates what the moves of a test act on: a table, backend servers that check
// fencing numbers, and an entry.
type testSystem struct {
	now            time.Time
	row            infra.Row
	applied        map[string]infra.Revision
	tableDown      bool
	lostReplies    int
	refuseOrders   bool
	loaded         map[wigeonfork.BackendServerID]bool
	down           map[wigeonfork.BackendServerID]bool
	orderCounts    map[wigeonfork.FencingNumber]int
	highestFencing wigeonfork.FencingNumber
	splitter       *TrafficSplitter
}

func newTestSystem() *testSystem {
	return &testSystem{
		now:         testStart,
		applied:     make(map[string]infra.Revision),
		loaded:      make(map[wigeonfork.BackendServerID]bool),
		down:        make(map[wigeonfork.BackendServerID]bool),
		orderCounts: make(map[wigeonfork.FencingNumber]int),
		splitter:    NewTrafficSplitter("m", testVersions),
	}
}

func (s *testSystem) newHolder(fencing wigeonfork.FencingNumber) *Move {
	m, err := NewMove(testPlan(), s.row, fencing)
	if err != nil {
		panic(err)
	}
	return m
}

func (s *testSystem) commit(tx infra.Transaction) RecordDone {
	done := RecordDone{OperationID: tx.OperationID}
	if s.tableDown {
		done.Err = infra.NewError(infra.OutcomeNotDone, "commit", "table", errors.New("unavailable"))
		return done
	}
	if revision, known := s.applied[tx.OperationID]; known {
		done.Commit = infra.Commit{Applied: true, Revision: revision}
	} else if tx.Conditions[0].Revision != s.row.Revision {
		done.Commit = infra.Commit{Conflicts: []infra.Row{s.row}}
	} else {
		s.row = infra.Row{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: s.row.Revision + 1}
		s.applied[tx.OperationID] = s.row.Revision
		done.Commit = infra.Commit{Applied: true, Revision: s.row.Revision}
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		done.Commit = infra.Commit{}
		done.Err = infra.NewError(infra.OutcomeUnknown, "commit", "table", errors.New("lost"))
	}
	return done
}

func (s *testSystem) order(a SendOrder) error {
	if s.down[a.Server] || (s.refuseOrders && a.Server == "b1") {
		return infra.NewError(infra.OutcomeNotDone, "order", string(a.Server), errors.New("down"))
	}
	if a.Order.Fencing < s.highestFencing {
		return problem.New(problem.CodeStaleOrder, problem.RunNot, problem.StepOrder, "stale")
	}
	s.highestFencing = a.Order.Fencing
	s.orderCounts[a.Order.Fencing]++
	if a.Order.Version == "v2" {
		s.loaded[a.Server] = a.Order.Kind == backend.OrderLoad
	}
	return nil
}

// step passes an event to the move and carries out all actions that follow.
func (s *testSystem) step(m *Move, event Event) {
	queue := m.Step(s.now, event)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case SetShares:
			s.splitter.Apply(a.Shares)
		case WriteRecord:
			queue = append(queue, m.Step(s.now, s.commit(a.Transaction))...)
		case SendOrder:
			done := OrderDone{Server: a.Server, Kind: a.Order.Kind, Err: s.order(a)}
			queue = append(queue, m.Step(s.now, done)...)
		}
	}
}

// run advances the time by d and reports a good verdict at each step.
func (s *testSystem) run(m *Move, d time.Duration) {
	const stride = 5 * time.Second
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stride) {
		for _, server := range testPlan().Servers {
			s.step(m, ServerReport{Server: server.ID, Down: s.down[server.ID], OldReady: true, NewReady: s.loaded[server.ID]})
		}
		s.step(m, VerdictUpdated{Verdict: Verdict{NewStarts: 1000}})
	}
}

func (s *testSystem) record() Record {
	r, err := DecodeRecord(s.row)
	if err != nil {
		panic(err)
	}
	return r
}

func TestMove(t *testing.T) {
	Convey("Given a move", t, func() {
		s := newTestSystem()
		m := s.newHolder(1)

		Convey("a good version finishes in time and the old one is unloaded after the watch", func() {
			s.run(m, 30*time.Minute)
			So(m.State(), ShouldEqual, StateDone)
			So(s.splitter.NewShare(), ShouldEqual, AllTraffic)
			s.run(m, 5*time.Minute)
			So(m.Closed(), ShouldBeTrue)
		})
		Convey("during the watch the old version keeps some traffic, also after a takeover", func() {
			s.run(m, 28*time.Minute)
			So(s.splitter.NewShare(), ShouldEqual, watchShare)
			next := s.newHolder(2)
			s.step(next, Tick{})
			So(s.splitter.NewShare(), ShouldEqual, watchShare)
			s.run(next, 110*time.Second)
			So(s.splitter.NewShare(), ShouldEqual, AllTraffic)
			s.step(s.newHolder(3), Tick{})
			So(s.splitter.NewShare(), ShouldEqual, AllTraffic)
		})
		Convey("a stop reverts the move at once and permanently", func() {
			s.run(m, 20*time.Minute)
			So(m.State(), ShouldEqual, StateRamp)
			s.step(m, VerdictUpdated{Verdict: Verdict{Stop: true}})
			So(s.splitter.NewShare(), ShouldEqual, 0)
			s.run(m, time.Minute)
			So(s.record().State, ShouldEqual, StateReverted)
			So(s.loaded, ShouldNotBeEmpty)
			for _, loaded := range s.loaded {
				So(loaded, ShouldBeFalse)
			}
			s.run(m, 20*time.Minute)
			So(s.splitter.NewShare(), ShouldEqual, 0)
		})
		Convey("a stop during the watch after the finish reverts the move", func() {
			s.run(m, 28*time.Minute)
			So(m.State(), ShouldEqual, StateDone)
			s.step(m, StopRequested{Reason: "operator"})
			So(s.splitter.NewShare(), ShouldEqual, 0)
			s.run(m, time.Minute)
			So(s.record().State, ShouldEqual, StateReverted)
		})
		Convey("an entry cannot stop the new version on its own evidence once the old one is unloaded", func() {
			s.run(m, 27*time.Minute)
			So(s.splitter.Stop(), ShouldBeTrue)
			So(s.splitter.NewShare(), ShouldEqual, 0)
			s.run(m, 5*time.Minute)
			So(m.Closed(), ShouldBeTrue)
			So(s.splitter.NewShare(), ShouldEqual, AllTraffic)
			So(s.splitter.Stop(), ShouldBeFalse)
			So(s.splitter.NewShare(), ShouldEqual, AllTraffic)
		})
		Convey("a backend server that is down is replaced by another, and loads the version when it is up again", func() {
			s.down["b0"], s.down["b3"] = true, true
			s.run(m, 5*time.Minute)
			So(m.State(), ShouldEqual, StateCanary)
			So(s.loaded["b0"], ShouldBeFalse)
			s.run(m, 23*time.Minute)
			So(m.State(), ShouldEqual, StateDone)
			delete(s.down, "b0")
			s.run(m, time.Minute)
			So(s.loaded["b0"], ShouldBeTrue)
			So(s.loaded["b3"], ShouldBeFalse)
		})
		Convey("a backend server that never unloads does not keep a move from closing", func() {
			s.run(m, 5*time.Minute)
			s.refuseOrders = true
			s.step(m, StopRequested{Reason: "operator"})
			s.run(m, time.Minute)
			So(s.record().State, ShouldEqual, StateReverting)
			s.run(m, 2*time.Minute)
			So(s.record().State, ShouldEqual, StateReverted)
		})
		Convey("during a table outage the share is not raised, but a stop takes effect", func() {
			s.run(m, 10*time.Minute)
			So(m.State(), ShouldEqual, StateCanary)
			s.tableDown = true
			s.run(m, 10*time.Minute)
			So(s.splitter.NewShare(), ShouldEqual, DefaultCanaryShare)
			So(m.State(), ShouldEqual, StateCanary)
			s.step(m, StopRequested{Reason: "errors"})
			So(s.splitter.NewShare(), ShouldEqual, 0)
			So(s.record().State, ShouldEqual, StateCanary)
			s.tableDown = false
			s.run(m, time.Minute)
			So(s.record().State, ShouldEqual, StateReverted)
			So(s.record().Reason, ShouldEqual, "errors")
		})
		Convey("a table outage that ends in time does not delay a good version past its deadline", func() {
			s.run(m, 14*time.Minute)
			s.tableDown = true
			s.run(m, 10*time.Minute)
			s.tableDown = false
			s.run(m, 6*time.Minute)
			So(m.State(), ShouldEqual, StateDone)
		})
		Convey("a move that cannot finish by its deadline is reverted", func() {
			s.run(m, 20*time.Minute)
			s.tableDown = true
			s.run(m, 11*time.Minute)
			So(m.State(), ShouldEqual, StateReverting)
			So(s.splitter.NewShare(), ShouldEqual, 0)
		})
		Convey("a replaced holder that steps again can neither write the record nor send orders", func() {
			s.run(m, 10*time.Minute)
			next := s.newHolder(2)
			s.run(next, time.Minute)
			s.step(next, StopRequested{Reason: "errors"})
			s.run(next, time.Minute)
			before := s.orderCounts[1]
			s.run(m, 15*time.Minute)
			So(m.Deposed(), ShouldBeTrue)
			So(s.orderCounts[1], ShouldEqual, before)
			So(s.record().Fencing, ShouldEqual, 2)
			So(s.record().State, ShouldEqual, StateReverted)
			So(s.splitter.NewShare(), ShouldEqual, 0)
		})
		Convey("a replaced holder cannot overwrite the record, even to stop", func() {
			s.run(m, 10*time.Minute)
			s.run(s.newHolder(2), time.Minute)
			s.step(m, StopRequested{Reason: "errors"})
			So(m.Deposed(), ShouldBeTrue)
			So(s.record().Fencing, ShouldEqual, 2)
		})
		Convey("a stop is kept when the reply to the write of a raise was lost", func() {
			s.run(m, 10*time.Minute)
			s.lostReplies = 1
			for s.record().State == StateCanary {
				s.run(m, time.Second)
			}
			So(m.State(), ShouldEqual, StateCanary)
			s.step(m, StopRequested{Reason: "errors"})
			s.run(m, time.Minute)
			So(s.record().State, ShouldEqual, StateReverted)
			So(s.splitter.NewShare(), ShouldEqual, 0)
		})
		Convey("a holder with a lower fencing number than the record's is refused", func() {
			s.run(s.newHolder(5), time.Minute)
			_, err := NewMove(testPlan(), s.row, 4)
			So(err, ShouldNotBeNil)
		})
		Convey("the status says what the move waits for and why it is reverted", func() {
			s.run(m, 5*time.Minute)
			So(m.Status(s.now).WaitingFor, ShouldContainSubstring, "the stage at")
			s.step(m, StopRequested{Reason: "operator"})
			So(m.Status(s.now).Reason, ShouldEqual, "operator")
		})
	})
	for minute := range 34 {
		Convey(fmt.Sprintf("Another holder that takes over in minute %d finishes or reverts the move", minute), t, func() {
			for _, bad := range []bool{false, true} {
				s := newTestSystem()
				m := s.newHolder(1)
				s.run(m, time.Duration(minute)*time.Minute)
				if bad {
					// The stop is announced, but its record is lost with the holder.
					s.tableDown = true
					s.step(m, StopRequested{Reason: "errors"})
					s.tableDown = false
				}
				next := s.newHolder(2)
				if s.splitter.Stopped() {
					s.step(next, VerdictUpdated{Verdict: Verdict{Stop: true, StoppedBy: "e1"}})
				}
				s.run(next, 40*time.Minute)
				beforeUnload := minute <= 29
				So(s.record().Closed, ShouldBeTrue)
				So(s.record().State == StateReverted, ShouldEqual, bad && beforeUnload)
				So(s.splitter.NewShare() == AllTraffic, ShouldEqual, !bad || !beforeUnload)
			}
		})
	}
}

func TestMoveProperties(t *testing.T) {
	Convey("A stop is permanent, whichever replies are lost and whichever holder steps", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			s := newTestSystem()
			moves := []*Move{s.newHolder(1)}
			stopped := false
			for range rapid.IntRange(5, 40).Draw(rt, "steps") {
				m := moves[rapid.IntRange(0, len(moves)-1).Draw(rt, "holder")]
				switch rapid.IntRange(0, 5).Draw(rt, "event") {
				case 0:
					moves = append(moves, s.newHolder(wigeonfork.FencingNumber(len(moves)+1)))
				case 1:
					s.lostReplies = rapid.IntRange(1, 3).Draw(rt, "lost")
				case 2:
					s.tableDown = !s.tableDown
				case 3:
					s.step(m, VerdictUpdated{Verdict: Verdict{Stop: true}})
				default:
					s.run(m, time.Duration(rapid.IntRange(1, 8).Draw(rt, "minutes"))*time.Minute)
				}
				if s.splitter.Stopped() && s.splitter.NewShare() != 0 {
					rt.Fatalf("a stopped version gets %d", s.splitter.NewShare())
				}
				if stopped && !s.record().Stopped() {
					rt.Fatalf("the record went from stopped to %s", s.record().State)
				}
				stopped = stopped || s.record().Stopped()
			}
		})
	})
	Convey("A splitter keeps each route within one request of the share, and a stop is permanent", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			splitter := NewTrafficSplitter("m", testVersions)
			share := PerMille(rapid.IntRange(0, 1000).Draw(rt, "share"))
			splitter.Apply(Shares{Move: "m", Fencing: 2, Sequence: 1, Old: "v1", New: "v2", NewShare: share})
			splitter.Apply(Shares{Move: "m", Fencing: 1, Sequence: 9, Old: "v1", New: "v2", NewShare: AllTraffic})
			requests := rapid.IntRange(1, 500).Draw(rt, "requests")
			sent := 0
			for range requests {
				if splitter.Choose("r") == "v2" {
					sent++
				}
			}
			if want := requests * int(share) / int(AllTraffic); sent != want {
				rt.Fatalf("%d of %d sent, want %d", sent, requests, want)
			}
			splitter.Apply(Shares{Move: "m", Fencing: 1, Sequence: 1, Stopped: true})
			splitter.Apply(Shares{Move: "m", Fencing: 3, Sequence: 1, Old: "v1", New: "v2", NewShare: AllTraffic})
			if splitter.Choose("r") == "v2" {
				rt.Fatalf("sent to a stopped version")
			}
		})
	})
}

func TestPlan(t *testing.T) {
	Convey("The loads before each stage, one after another, finish in time at the weight store's rate", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			p := testPlan()
			p.WeightBytes = rapid.Int64Range(1e9, 1e11).Draw(rt, "bytes")
			p.CanaryShare = DefaultCanaryShare
			p.Deadline = p.EarliestDeadline().Add(time.Duration(rapid.IntRange(0, 3600).Draw(rt, "slack")) * time.Second)
			p = p.WithDefaults()
			if err := p.Validate(); err != nil {
				rt.Fatal(err)
			}
			starts := p.loadStarts()
			free := p.Start
			for i, start := range starts {
				if start.After(free) {
					free = start
				}
				free = free.Add(p.loadTime())
				if free.After(p.readyBy(i).Add(time.Second)) {
					rt.Fatalf("server %d is ready %s after its stage", i, free.Sub(p.readyBy(i)))
				}
			}
		})
	})
	Convey("A deadline that the weight store cannot meet is refused with the earliest possible one", t, func() {
		p := testPlan()
		p.Deadline = p.Start.Add(time.Minute)
		err := p.Validate()
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, p.EarliestDeadline().Format(time.RFC3339))
	})
	Convey("Neighbouring backend servers are in different failure domains", t, func() {
		servers := testPlan().WithDefaults().Servers
		So(servers[0].Domain, ShouldNotEqual, servers[1].Domain)
		So(servers[1].Domain, ShouldNotEqual, servers[2].Domain)
	})
}
