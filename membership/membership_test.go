package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"pgregory.net/rapid"
)

const step = 250 * time.Millisecond

// harness drives one Tracker and the identities of the agents that it polls.
type harness struct {
	now         time.Time
	tracker     *Tracker
	agents      map[wigeonfork.BackendServerID]*Identity
	hosts       []infra.Host
	index       map[wigeonfork.BackendServerID]int
	unreachable func(infra.Host) bool
	polls       int
}

func newHarness(servers, domains int, options Options) *harness {
	w := &harness{
		now:         time.Unix(10_000, 0),
		tracker:     NewTracker(options),
		agents:      make(map[wigeonfork.BackendServerID]*Identity),
		index:       make(map[wigeonfork.BackendServerID]int),
		unreachable: func(infra.Host) bool { return false },
	}
	for i := range servers {
		id := wigeonfork.BackendServerID(fmt.Sprintf("b%05d", i))
		w.agents[id] = NewIdentity(id, w.now, 0)
		w.index[id] = i
		w.hosts = append(w.hosts, infra.Host{
			ID: wigeonfork.HostID(id), Role: infra.RoleAgent, State: infra.HostLive, BackendServer: id,
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("d%02d", i%domains)),
		})
	}
	w.tracker.ApplyHostList(w.now, w.hosts, w.now)
	return w
}

func (w *harness) host(id wigeonfork.BackendServerID) infra.Host {
	return w.hosts[w.index[id]]
}

// advance advances the time. Unreachable agents are paused or cut off.
func (w *harness) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		polls := append([]wigeonfork.BackendServerID(nil), w.tracker.Tick(w.now).Polls...)
		w.polls += len(polls)
		for _, id := range polls {
			if w.unreachable(w.host(id)) {
				continue
			}
			agent := w.agents[id]
			agent.Tick(w.now)
			for _, r := range w.tracker.ReceiveHeartbeat(w.now, agent.NextHeartbeat()).Refutes {
				agent.HandleRefute(w.now, r)
			}
		}
		for i := range w.hosts {
			if !w.unreachable(w.hosts[i]) {
				w.agents[w.hosts[i].BackendServer].Tick(w.now)
			}
		}
	}
}

func TestLeavingMemberIsNotUsable(t *testing.T) {
	Convey("Given three usable members", t, func() {
		w := newHarness(3, 3, Options{Entry: "e"})
		w.advance(time.Second)
		So(w.tracker.UsableCount(w.now), ShouldEqual, 3)
		agent := w.agents["b00000"]
		Convey("a leaving heartbeat takes effect at once, despite a later list and reordered heartbeats", func() {
			before := agent.NextHeartbeat()
			before.Sequence += 5
			agent.Leave()
			w.tracker.ReceiveHeartbeat(w.now, agent.NextHeartbeat())
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeFalse)
			w.tracker.ApplyHostList(w.now, w.hosts, w.now)
			w.tracker.ReceiveHeartbeat(w.now, before)
			So(w.tracker.State(w.now, "b00000"), ShouldEqual, StateLeaving)
			So(len(w.tracker.Subset()), ShouldEqual, 2)
		})
		Convey("a host list that marks it as leaving takes effect, unless a new incarnation started after the list", func() {
			w.hosts[0].State = infra.HostLeaving
			asOf := w.now
			w.tracker.ApplyHostList(w.now, w.hosts, asOf)
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeFalse)
			w.now = w.now.Add(time.Second)
			w.tracker.ReceiveHeartbeat(w.now, NewIdentity("b00000", w.now, 0).NextHeartbeat())
			w.tracker.ApplyHostList(w.now, w.hosts, asOf)
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		})
		Convey("a list that is older than the last one is ignored", func() {
			w.tracker.ApplyHostList(w.now, w.hosts, w.now.Add(2*time.Second))
			w.hosts[0].State = infra.HostLeaving
			w.tracker.ApplyHostList(w.now, w.hosts, w.now.Add(time.Second))
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		})
	})
}

func TestUnresponsiveMemberNeedsNewIncarnation(t *testing.T) {
	Convey("Given three usable members, of which one becomes unresponsive", t, func() {
		w := newHarness(3, 3, Options{Entry: "e"})
		w.advance(time.Second)
		agent := w.agents["b00000"]
		old := agent.NextHeartbeat()
		w.unreachable = func(h infra.Host) bool { return h.BackendServer == "b00000" }
		w.advance(SuspectAfter)
		So(w.tracker.State(w.now, "b00000"), ShouldEqual, StateSuspect)
		w.advance(UnresponsiveAfter - SuspectAfter)
		So(w.tracker.Usable(w.now, "b00000"), ShouldBeFalse)
		w.advance(time.Second)
		So(w.tracker.State(w.now, "b00000"), ShouldEqual, StateUnresponsive)
		Convey("late heartbeats and frames of its old incarnation do not make it usable again", func() {
			late := w.tracker.ReceiveHeartbeat(w.now, old).Refutes
			So(len(late), ShouldEqual, 1)
			w.tracker.ReceiveFrame(w.now, "b00000", old.Incarnation)
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeFalse)
		})
		Convey("after a pause it detects the pause and returns with a new incarnation", func() {
			So(agent.Tick(w.now), ShouldBeTrue)
			So(agent.Incarnation(), ShouldBeGreaterThan, old.Incarnation)
			So(agent.HandleRefute(w.now, Refute{"b00000", old.Incarnation, old.Incarnation}), ShouldBeFalse)
			w.tracker.ReceiveHeartbeat(w.now, agent.NextHeartbeat())
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		})
		Convey("after a partition it gets a Refute and returns with a new incarnation", func() {
			r := w.tracker.ReceiveHeartbeat(w.now, agent.NextHeartbeat()).Refutes
			So(agent.HandleRefute(w.now, r[0]), ShouldBeTrue)
			w.tracker.ReceiveHeartbeat(w.now, agent.NextHeartbeat())
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		})
		Convey("after a restart with a clock that is a minute behind it becomes usable", func() {
			restarted := NewIdentity("b00000", w.now.Add(-time.Minute), 0)
			r := w.tracker.ReceiveHeartbeat(w.now, restarted.NextHeartbeat()).Refutes
			So(restarted.HandleRefute(w.now.Add(-time.Minute), r[0]), ShouldBeTrue)
			w.tracker.ReceiveHeartbeat(w.now, restarted.NextHeartbeat())
			So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		})
	})
	Convey("A repeated heartbeat does not count as activity, a frame does", t, func() {
		w := newHarness(1, 1, Options{Entry: "e"})
		w.advance(time.Second)
		heartbeat := w.agents["b00000"].NextHeartbeat()
		w.tracker.ReceiveHeartbeat(w.now, heartbeat)
		later := w.now.Add(UnresponsiveAfter)
		w.tracker.ReceiveHeartbeat(later.Add(-time.Second), heartbeat)
		So(w.tracker.Usable(later, "b00000"), ShouldBeFalse)
		w.tracker.ReceiveFrame(later.Add(-time.Second), "b00000", heartbeat.Incarnation)
		So(w.tracker.Usable(later, "b00000"), ShouldBeTrue)
	})
}

func TestFlappingIsDamped(t *testing.T) {
	flap := func(w *harness, times int) {
		for range times {
			w.now = w.now.Add(step)
			w.tracker.ReceiveHeartbeat(w.now, NewIdentity("b00000", w.now, 0).NextHeartbeat())
		}
	}
	Convey("A member is usable at once after one restart, and only later if it flaps", t, func() {
		w := newHarness(20, 2, Options{Entry: "e"})
		w.advance(time.Second)
		flap(w, 1)
		So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
		flap(w, 4)
		So(w.tracker.State(w.now, "b00000"), ShouldEqual, StateDamped)
		w.agents["b00000"] = NewIdentity("b00000", w.now, 0)
		w.tracker.RequestPoll("b00000")
		w.advance(2 * maxDamping)
		w.tracker.RequestPoll("b00000")
		w.advance(2 * time.Second)
		So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
	})
	Convey("Damping ends if too few other members are usable", t, func() {
		w := newHarness(3, 1, Options{Entry: "e"})
		w.advance(time.Second)
		flap(w, 5)
		So(w.tracker.State(w.now, "b00000"), ShouldEqual, StateDamped)
		w.unreachable = func(h infra.Host) bool { return h.BackendServer != "b00000" }
		w.agents["b00000"] = NewIdentity("b00000", w.now, 0)
		w.advance(UnresponsiveAfter + time.Second)
		So(w.tracker.Usable(w.now, "b00000"), ShouldBeTrue)
	})
}

func TestMassFailureKeepsUsableMembers(t *testing.T) {
	options := Options{Entry: "entry-7"}
	enough := DefaultWarmSize / 2
	Convey("Given 1,000 backend servers in 16 failure domains", t, func() {
		w := newHarness(1000, 16, options)
		w.advance(5 * time.Second)
		So(w.tracker.UsableCount(w.now), ShouldBeGreaterThanOrEqualTo, DefaultWarmSize)
		minUsable := func(d time.Duration) int {
			least := DefaultSubsetSize
			for end := w.now.Add(d); w.now.Before(end); {
				w.advance(step)
				least = min(least, w.tracker.UsableCount(w.now))
			}
			return least
		}
		Convey("enough members stay usable when a failure domain fails under load, and others replace it", func() {
			for _, id := range w.tracker.Subset() {
				w.tracker.SetStreams(id, 1)
			}
			w.unreachable = func(h infra.Host) bool { return h.Domain == "d03" }
			So(minUsable(5*time.Second), ShouldBeGreaterThanOrEqualTo, enough)
			w.advance(time.Minute)
			So(w.tracker.UsableCount(w.now), ShouldBeGreaterThanOrEqualTo, DefaultWarmSize)
			So(len(w.tracker.Subset()), ShouldBeLessThanOrEqualTo, 2*DefaultSubsetSize)
			elsewhere := 0
			for _, id := range w.tracker.Subset() {
				if w.host(id).Domain != "d03" {
					elsewhere++
				}
			}
			So(elsewhere, ShouldBeGreaterThanOrEqualTo, DefaultSubsetSize)
		})
		Convey("enough members stay usable while half of the domains are unreachable, and both halves are used afterwards", func() {
			w.unreachable = func(h infra.Host) bool { return h.Domain < "d08" }
			So(minUsable(30*time.Second), ShouldBeGreaterThanOrEqualTo, 1)
			So(w.tracker.UsableCount(w.now), ShouldBeGreaterThanOrEqualTo, enough)
			w.unreachable = func(infra.Host) bool { return false }
			w.advance(3 * time.Minute)
			So(len(w.tracker.Subset()), ShouldBeLessThanOrEqualTo, DefaultSubsetSize+16)
			reconnected := 0
			for _, id := range w.tracker.Subset() {
				if w.host(id).Domain < "d08" {
					reconnected++
				}
			}
			So(reconnected, ShouldBeGreaterThan, DefaultSubsetSize/3)
		})
		Convey("enough members stay usable when all agents restart", func() {
			for id := range w.agents {
				w.agents[id] = NewIdentity(id, w.now.Add(time.Second), 0)
			}
			So(minUsable(10*time.Second), ShouldBeGreaterThanOrEqualTo, enough)
		})
	})
}

func TestPollsAreIndependentOfFleetSize(t *testing.T) {
	Convey("The number of polls depends on WarmSize, not on the fleet", t, func() {
		for _, servers := range []int{100, 1000, 4000} {
			w := newHarness(servers, 16, Options{Entry: "e"})
			w.advance(5 * time.Second)
			w.polls = 0
			w.advance(10 * time.Second)
			So(w.polls, ShouldBeLessThanOrEqualTo, DefaultWarmSize*20)
			So(w.tracker.UsableCount(w.now), ShouldBeGreaterThanOrEqualTo, DefaultWarmSize)
		}
	})
	Convey("Members with streams are replaced in the warm set, and queries do not allocate", t, func() {
		w := newHarness(100, 4, Options{Entry: "e"})
		w.advance(2 * time.Second)
		for _, id := range w.tracker.Subset() {
			if w.tracker.Usable(w.now, id) {
				w.tracker.SetStreams(id, 1)
			}
		}
		w.advance(2 * time.Second)
		So(w.tracker.UsableCount(w.now), ShouldBeGreaterThanOrEqualTo, 2*DefaultWarmSize)
		So(testing.AllocsPerRun(100, func() { w.tracker.Usable(w.now, "b00001"); w.tracker.UsableCount(w.now); w.tracker.Subset() }), ShouldEqual, 0)
	})
}

func candidates(count, domains int) []Candidate {
	list := make([]Candidate, count)
	for i := range list {
		list[i] = Candidate{
			ID:     wigeonfork.BackendServerID(fmt.Sprintf("b%05d", i)),
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("d%02d", i%domains)),
		}
	}
	return list
}

func TestChooseSubset(t *testing.T) {
	Convey("Subsets cover all domains, are bounded, and spread evenly over all backend servers", t, func() {
		list := candidates(2000, 16)
		domainOf := make(map[wigeonfork.BackendServerID]wigeonfork.FailureDomain)
		for _, c := range list {
			domainOf[c.ID] = c.Domain
		}
		uses := make(map[wigeonfork.BackendServerID]int)
		const entries = 220
		total := 0
		for e := range entries {
			ids := ChooseSubset(wigeonfork.HostID(fmt.Sprintf("e%04d", e)), list, DefaultSubsetSize)
			So(len(ids), ShouldBeBetweenOrEqual, DefaultSubsetSize, DefaultSubsetSize+16)
			domains := make(map[wigeonfork.FailureDomain]bool)
			for _, id := range ids {
				uses[id]++
				total++
				domains[domainOf[id]] = true
			}
			So(len(domains), ShouldEqual, 16)
		}
		most := 0
		for _, count := range uses {
			most = max(most, count)
		}
		mean := float64(total) / float64(len(list))
		t.Logf("in the subsets of %.1f entries on average, at most %d", mean, most)
		So(len(uses), ShouldEqual, len(list))
		So(float64(most), ShouldBeLessThan, 2*mean)
	})
}

// TestChooseSubsetIsStable checks that a subset covers all domains and that the
// removal of one candidate replaces few others.
func TestChooseSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 16).Draw(t, "domains")
		list := candidates(rapid.IntRange(domains, 300).Draw(t, "servers"), domains)
		size := rapid.IntRange(1, 200).Draw(t, "size")
		before := ChooseSubset("e", list, size)
		seen := make(map[wigeonfork.FailureDomain]bool)
		domainOf := make(map[wigeonfork.BackendServerID]wigeonfork.FailureDomain)
		for _, c := range list {
			domainOf[c.ID] = c.Domain
		}
		kept := make(map[wigeonfork.BackendServerID]bool)
		for _, id := range before {
			seen[domainOf[id]] = true
			kept[id] = true
		}
		if len(seen) != domains {
			t.Fatalf("subset covers %d of %d domains", len(seen), domains)
		}
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		after := ChooseSubset("e", append(list[:removed:removed], list[removed+1:]...), size)
		added := 0
		for _, id := range after {
			if !kept[id] {
				added++
			}
		}
		if added > 1+domains {
			t.Fatalf("%d new members after the removal of one", added)
		}
	})
}

// TestNotUsableAfterLeavingOrInactivity applies random sequences of new and late
// heartbeats, restarts, lists and ticks. A member must not be usable after a
// leaving heartbeat of its current incarnation, nor UnresponsiveAfter after its
// last new heartbeat.
func TestNotUsableAfterLeavingOrInactivity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(2, 2, Options{Entry: "e"})
		agent := w.agents["b00000"]
		var heartbeats []Heartbeat
		var lastHeartbeat time.Time
		left := make(map[Incarnation]bool)
		var current Incarnation
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"beat", "late", "leave", "tick", "restart", "list"}).Draw(t, "event") {
			case "beat":
				h := agent.NextHeartbeat()
				heartbeats = append(heartbeats, h)
				for _, r := range w.tracker.ReceiveHeartbeat(w.now, h).Refutes {
					agent.HandleRefute(w.now, r)
				}
				lastHeartbeat = w.now
				current = max(current, h.Incarnation)
				left[h.Incarnation] = left[h.Incarnation] || h.Leaving
			case "late":
				if len(heartbeats) > 0 {
					w.tracker.ReceiveHeartbeat(w.now, rapid.SampledFrom(heartbeats).Draw(t, "beat"))
				}
			case "leave":
				agent.Leave()
			case "tick":
				w.now = w.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
				w.tracker.Tick(w.now)
			case "restart":
				w.now = w.now.Add(time.Millisecond)
				agent = NewIdentity("b00000", w.now, 0)
			case "list":
				w.tracker.ApplyHostList(w.now, w.hosts, w.now.Add(-time.Second))
			}
			if !w.tracker.Usable(w.now, "b00000") {
				continue
			}
			if w.now.Sub(lastHeartbeat) >= UnresponsiveAfter {
				t.Fatalf("usable %v after the last new heartbeat", w.now.Sub(lastHeartbeat))
			}
			if left[current] {
				t.Fatal("usable although leaving")
			}
		}
	})
}

func BenchmarkTracker(b *testing.B) {
	for _, servers := range []int{100, 1000, 10_000} {
		w := newHarness(servers, 16, Options{Entry: "e"})
		w.advance(5 * time.Second)
		b.Run(fmt.Sprintf("Tick/%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.tracker.Tick(w.now)
			}
		})
		b.Run(fmt.Sprintf("Usable/%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.tracker.Usable(w.now, "b00001")
			}
		})
		b.Run(fmt.Sprintf("ListRead/%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.tracker.ApplyHostList(w.now, w.hosts, w.now)
			}
		})
	}
}
