package rollout

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/storepos"
)

const (
	oldVersion wigeonfork.Version = "v1"
	newVersion wigeonfork.Version = "v2"
	moveRoute  Route              = "r"
)

var (
	moveStart  = time.Unix(1_800_000_000, 0)
	moveOrder  = MoveOrder{Service: "s", To: newVersion, Duration: 15 * time.Second, Position: storepos.Position{Revision: 7}}
	moveLimits = ExposureLimits{Share: 0.1, Slack: 50}
	manyUsable = FleetView{OldUsable: 24, NewUsable: 24}
)

// newTestMove returns the move at one of several entries; random is as in NewServiceMove.
func newTestMove(entries int, random float64) *ServiceMove {
	m := NewServiceMove(moveStart, moveOrder, oldVersion, moveOrder.Duration, moveLimits, true, random)
	m.SetEntries(entries)
	m.Advance(StageTrial, "")
	return m
}

// behaviour is how a version answers: with these probabilities, the new one from an age of the move
// on. The old one fails and is slow with oldFailed and oldSlow at all times.
type behaviour struct {
	failed, slow       float64
	from               time.Duration
	oldFailed, oldSlow float64
}

// moveSimulation is a move at several entries in virtual time.
type moveSimulation struct {
	behaviour
	entries int
	// rate is the number of requests per second, over all entries.
	rate    float64
	random  *rand.Rand
	moves   []*ServiceMove
	now     time.Time
	pending []pendingResult
	sent    int
	newSent int
}

// pendingResult is the answer of one request, and later its time.
type pendingResult struct {
	answeredAt, timedAt time.Time
	answered            bool
	entry               int
	version             wigeonfork.Version
	failed, slow        bool
}

const (
	moveSimulationStep = 100 * time.Millisecond
	// answerDelay and timedDelay are the times until a request is answered, and until it is counted
	// whether it is slow.
	answerDelay = time.Second
	timedDelay  = 4500 * time.Millisecond
)

// run runs the move until its deadline and returns its final stage.
func (s *moveSimulation) run(seed uint64) Stage {
	s.random = rand.New(rand.NewPCG(seed, 3))
	s.now = moveStart
	for range s.entries {
		s.moves = append(s.moves, newTestMove(s.entries, s.random.Float64()))
	}
	for step := 0; s.now.Before(moveStart.Add(moveOrder.Duration)); step++ {
		s.now = s.now.Add(moveSimulationStep)
		s.arrivals()
		s.results()
		for rank, m := range s.moves {
			view := manyUsable
			view.Rank = rank
			m.Step(s.now, view)
			if m.Finished() {
				m.Advance(StageCompleted, "")
			}
		}
		if step%3 == 0 {
			s.exchange()
		}
	}
	stage, _ := s.moves[0].Stage()
	return stage
}

func (s *moveSimulation) arrivals() {
	for expected := s.rate * moveSimulationStep.Seconds(); expected > 0; expected-- {
		if s.random.Float64() >= expected {
			continue
		}
		entry := s.random.IntN(s.entries)
		version := s.moves[entry].Preference(s.now)[0]
		s.moves[entry].Sent(version)
		s.sent++
		if version == newVersion {
			s.newSent++
		}
		s.pending = append(s.pending, s.answer(entry, version))
	}
}

func (s *moveSimulation) answer(entry int, version wigeonfork.Version) pendingResult {
	failed, slow := s.oldFailed, s.oldSlow
	if version == newVersion && s.now.Sub(moveStart) >= s.from {
		failed, slow = max(failed, s.failed), max(slow, s.slow)
	}
	return pendingResult{
		answeredAt: s.now.Add(answerDelay), timedAt: s.now.Add(timedDelay), entry: entry, version: version,
		failed: s.random.Float64() < failed, slow: s.random.Float64() < slow,
	}
}

func (s *moveSimulation) results() {
	kept := s.pending[:0]
	for _, r := range s.pending {
		move := s.moves[r.entry]
		if !r.answered && !r.answeredAt.After(s.now) {
			r.answered = true
			move.Answered(r.version, moveRoute, r.failed)
		}
		switch {
		case r.timedAt.After(s.now):
			kept = append(kept, r)
		case !r.failed:
			move.Timed(r.version, moveRoute, r.slow)
		}
	}
	s.pending = kept
}

// exchange lets each entry hear of all others.
func (s *moveSimulation) exchange() {
	for i, from := range s.moves {
		report := from.Report()
		stage, reason := from.Stage()
		for k, to := range s.moves {
			if k != i {
				to.Merge(s.now, string(rune('a'+i)), report)
				to.Advance(stage, reason)
			}
		}
	}
}

// allowed is the number of requests that a bad version may get.
func (s *moveSimulation) allowed() float64 {
	return moveLimits.Share*float64(s.sent) + moveLimits.Slack
}

// exceeded counts the moves in which the new version got more than allowed.
const exceeded = StageCompleted + 1

// odds runs many moves and returns how many ended in each stage. It checks the exposure of each.
func odds(b behaviour, entries int, rate float64, seeds int) map[Stage]int {
	ends := map[Stage]int{}
	for seed := range uint64(seeds) {
		s := &moveSimulation{behaviour: b, entries: entries, rate: rate}
		ends[s.run(seed)]++
		if float64(s.newSent) > s.allowed() {
			ends[exceeded]++
		}
	}
	So(ends[exceeded], ShouldEqual, 0)
	return ends
}

// moveSeeds is the number of moves that are simulated for each case.
var moveSeeds = flag.Int("move-seeds", 20, "simulated moves of each kind")

// The odds of a wrong verdict, and the exposure of each move, at the load of small and of larger
// deployments.
func TestServiceMoveOdds(t *testing.T) {
	loads := []struct {
		entries int
		rate    float64
	}{{4, 9}, {4, 40}, {31, 29}}
	for _, load := range loads {
		ends := func(b behaviour) map[Stage]int {
			ends := odds(b, load.entries, load.rate, *moveSeeds)
			t.Logf("%+v at %+v: %v", b, load, ends)
			return ends
		}
		Convey("A good version is completed in at least 95 of 100 moves, also beside slow and failed answers of both", t, func() {
			for _, b := range []behaviour{{}, {oldSlow: 0.15}, {oldFailed: 0.14}} {
				So(ends(b)[StageCompleted], ShouldBeGreaterThanOrEqualTo, *moveSeeds*95/100)
			}
		})
		Convey("A version that fails or is slow is stopped in at least 99 of 100 moves", t, func() {
			for _, b := range []behaviour{{failed: 0.4}, {slow: 0.8, oldSlow: 0.15}} {
				So(ends(b)[StageStopped], ShouldBeGreaterThanOrEqualTo, *moveSeeds*99/100)
			}
		})
		Convey("A version that fails from three fifths of the time on is stopped in at least 9 of 10 moves", t, func() {
			b := behaviour{failed: 0.5, from: moveOrder.Duration * 3 / 5, oldSlow: 0.15}
			So(ends(b)[StageStopped], ShouldBeGreaterThanOrEqualTo, *moveSeeds*9/10)
		})
	}
}

func TestServiceMoveTrialShare(t *testing.T) {
	Convey("The new version gets nothing until the move is confirmed and the entries are known", t, func() {
		fresh := NewServiceMove(moveStart, moveOrder, oldVersion, moveOrder.Duration, moveLimits, true, 0.5)
		So(fresh.Preference(moveStart), ShouldResemble, []wigeonfork.Version{oldVersion})
		fresh.Advance(StageTrial, "")
		So(fresh.Preference(moveStart), ShouldResemble, []wigeonfork.Version{oldVersion})
		fresh.SetEntries(4)
		So(fresh.Preference(moveStart)[0], ShouldEqual, newVersion)
	})
	Convey("All entries together keep within the limits, however few requests each gets", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		for _, entries := range []int{1, 4, 31, 1100} {
			sent, newSent := 0, 0
			for range entries {
				m := newTestMove(entries, random.Float64())
				for second := range 13 {
					version := m.Preference(moveStart.Add(time.Duration(second) * time.Second))[0]
					m.Sent(version)
					sent++
					if version == newVersion {
						newSent++
					}
				}
			}
			So(newSent, ShouldBeGreaterThan, 0)
			So(float64(newSent), ShouldBeLessThanOrEqualTo, moveLimits.Share*float64(sent)+moveLimits.Slack)
		}
	})
}

// Guards against a bad version that is sent to again after a restart, an older report or a
// completion by another entry.
func TestServiceMoveStopIsFinal(t *testing.T) {
	end := moveStart.Add(moveOrder.Duration - time.Second)
	Convey("A stop is not undone by an earlier stage, and ends the use of the version and its backups", t, func() {
		m := newTestMove(1, 0.5)
		So(m.Advance(StageStopped, "x"), ShouldBeTrue)
		So(m.Advance(StageTrial, ""), ShouldBeFalse)
		So(m.Step(end, manyUsable).Rose, ShouldBeFalse)
		So(m.Preference(end), ShouldResemble, []wigeonfork.Version{oldVersion})
		So(m.Allows(end, newVersion), ShouldBeFalse)
		So(m.BackupVersion(), ShouldEqual, oldVersion)
		So(m.Finished(), ShouldBeFalse)
	})
	Convey("A version without results, or with too few servers, is stopped before the deadline", t, func() {
		m := newTestMove(1, 0.5)
		m.Step(end, manyUsable)
		stage, reason := m.Stage()
		So(stage, ShouldEqual, StageStopped)
		So(reason, ShouldContainSubstring, "not shown to be good")
		m = newTestMove(1, 0.5)
		m.Timed(newVersion, moveRoute, false)
		m.Step(end, FleetView{OldUsable: 24, NewUsable: 3})
		stage, reason = m.Stage()
		So(stage, ShouldEqual, StageStopped)
		So(reason, ShouldContainSubstring, "3 servers")
	})
	Convey("A version that is suspect at the deadline is stopped; one that is good is completed, by the second leader later", t, func() {
		for _, failures := range []int{0, 4} {
			m := newTestMove(1, 0.5)
			for range 60 {
				m.Answered(oldVersion, moveRoute, false)
			}
			for range 12 {
				m.Answered(newVersion, moveRoute, false)
				m.Timed(newVersion, moveRoute, false)
			}
			for range failures {
				m.Answered(newVersion, moveRoute, true)
			}
			second := manyUsable
			second.Rank = 1
			m.Step(end, second)
			So(m.Finished(), ShouldBeFalse)
			m.Step(end, manyUsable)
			So(m.Finished(), ShouldBeFalse)
			afterHandover := end.Add(200 * time.Millisecond)
			m.Step(afterHandover, second)
			So(m.Finished(), ShouldBeFalse)
			m.Step(afterHandover, manyUsable)
			So(m.Finished(), ShouldEqual, failures == 0)
			// Until the completion is known everywhere, the new version makes up for old servers that are gone.
			So(m.Allows(end, newVersion), ShouldEqual, failures == 0)
			stage, _ := m.Stage()
			So(stage, ShouldEqual, map[bool]Stage{true: StageTrial, false: StageStopped}[failures == 0])
		}
	})
}

// Guards against a report that arrives after a later one, by which the counts since half of the time
// would wrap around, and against a step that sums as many terms as a report counts requests.
func TestServiceMoveUnorderedReports(t *testing.T) {
	Convey("An earlier report changes nothing, and absurd counts end a step soon", t, func() {
		report := func(sent, bad uint32) MoveReport {
			return MoveReport{Sent: sent, Results: map[Route]RouteResults{moveRoute: {Failures: Totals{NewTotal: sent, NewBad: bad, OldTotal: 1000}}}}
		}
		m := newTestMove(1, 0.5)
		m.Merge(moveStart, "a", report(40, 1))
		m.Step(moveStart.Add(moveOrder.Duration/2), manyUsable)
		m.Merge(moveStart, "a", report(10, 0))
		m.Step(moveStart.Add(moveOrder.Duration/2), manyUsable)
		So(m.all.Failures.NewTotal, ShouldEqual, 40)
		m.Merge(moveStart, "b", report(math.MaxUint32, math.MaxUint32/2))
		m.Step(moveStart.Add(moveOrder.Duration/2), manyUsable)
		stage, _ := m.Stage()
		So(stage, ShouldEqual, StageStopped)
	})
	Convey("The tail of the binomial distribution", t, func() {
		So(math.Exp(logBinomialTail(10, 10, 0.5)), ShouldAlmostEqual, math.Pow(0.5, 10), 1e-9)
		So(math.Exp(logBinomialTail(4, 3, 0.5)), ShouldAlmostEqual, 5.0/16, 1e-9)
		So(logBinomialTail(100, 20, 0.2), ShouldEqual, 0)
	})
}

func BenchmarkServiceMoveStep(b *testing.B) {
	m := newTestMove(31, 0.5)
	for i := range 48 {
		report := MoveReport{Results: map[Route]RouteResults{}}
		for r := range maxMoveRoutes {
			report.Results[Route(rune('a'+r))] = RouteResults{Failures: Totals{NewTotal: 3, NewBad: 1, OldTotal: 30}}
		}
		m.Merge(moveStart, string(rune('A'+i)), report)
	}
	b.ReportAllocs()
	for range b.N {
		m.stage = StageTrial
		m.Step(moveStart, FleetView{Rank: 5})
	}
}
