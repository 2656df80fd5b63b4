package revision

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"pgregory.net/rapid"
)

var errTableUnavailable = errors.New("table is unavailable")

// harness drives nodes step by step. Messages stay in a list until a test
// delivers or drops them.
type harness struct {
	now       time.Time
	peers     []Peer
	nodes     map[wigeonfork.HostID]*Node
	table     []Item
	tableDown bool
	inFlight  []envelope
	reads     int
	blocked   func(from, to wigeonfork.HostID) bool
	// tableUnreachable reports whether a host cannot reach the table.
	tableUnreachable func(wigeonfork.HostID) bool
	learned          map[wigeonfork.HostID][]Fact
	surveys          []SurveyResult
	starts           uint64
}

type envelope struct {
	from, to wigeonfork.HostID
	message  Message
}

func newHarness(size int) *harness {
	g := &harness{
		now:              time.Unix(1000, 0),
		nodes:            make(map[wigeonfork.HostID]*Node),
		blocked:          func(_, _ wigeonfork.HostID) bool { return false },
		tableUnreachable: func(wigeonfork.HostID) bool { return false },
		learned:          make(map[wigeonfork.HostID][]Fact),
	}
	for i := range size {
		g.peers = append(g.peers, Peer{
			ID:     wigeonfork.HostID(fmt.Sprintf("h%03d", i)),
			Domain: wigeonfork.FailureDomain(fmt.Sprintf("d%d", i%3)),
		})
	}
	for _, peer := range g.peers {
		g.start(peer)
	}
	return g
}

func (g *harness) start(peer Peer) *Node {
	g.starts++
	n := New(Options{ID: peer.ID, Domain: peer.Domain, Seed: g.starts})
	n.SetPeers(g.peers)
	g.nodes[peer.ID] = n
	return n
}

func (g *harness) commit(key, value string) {
	g.table = append(g.table, Item{Key: key, Value: []byte(value), Revision: wigeonfork.Revision(len(g.table) + 1), Deleted: value == ""})
}

func (g *harness) head() wigeonfork.Revision { return wigeonfork.Revision(len(g.table)) }

// state returns the items at revision r, by key.
func (g *harness) state(r wigeonfork.Revision) map[string]string {
	state := make(map[string]string)
	for _, item := range g.table[:r] {
		if item.Deleted {
			delete(state, item.Key)
			continue
		}
		state[item.Key] = string(item.Value)
	}
	return state
}

func (g *harness) execute(id wigeonfork.HostID, a Actions) {
	for _, s := range a.Sends {
		if !g.blocked(id, s.To) {
			g.inFlight = append(g.inFlight, envelope{id, s.To, s.Message})
		}
	}
	g.learned[id] = append(g.learned[id], a.Learned...)
	g.surveys = append(g.surveys, a.Surveys...)
	if len(a.Reads) > 0 {
		g.reads++
		g.read(id, a.Reads[0].Since, g.head())
	}
}

// read answers a table read with the state at revision upTo.
func (g *harness) read(id wigeonfork.HostID, since, upTo wigeonfork.Revision) {
	if g.tableDown || g.tableUnreachable(id) {
		g.execute(id, g.nodes[id].CompleteTableRead(g.now, Delta{}, errTableUnavailable))
		return
	}
	delta := Delta{From: since, To: max(upTo, since)}
	delta.Items = append(delta.Items, g.table[since:delta.To]...)
	g.execute(id, g.nodes[id].CompleteTableRead(g.now, delta, nil))
}

func (g *harness) deliver(e envelope) {
	if n := g.nodes[e.to]; n != nil {
		g.execute(e.to, n.Receive(g.now, e.from, e.message))
	}
}

// advance advances the time and delivers all messages.
func (g *harness) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(50 * time.Millisecond) {
		for _, peer := range g.peers {
			if n := g.nodes[peer.ID]; n != nil {
				g.execute(peer.ID, n.Tick(g.now))
			}
		}
		batch := g.inFlight
		g.inFlight = nil
		for _, e := range batch {
			g.deliver(e)
		}
	}
}

func contents(n *Node) map[string]string {
	state := make(map[string]string)
	for _, item := range n.State().Items {
		if !item.Deleted {
			state[item.Key] = string(item.Value)
		}
	}
	return state
}

func sameContents(a, b map[string]string) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// TestRevisionNeverDecreases applies random sequences of lost, repeated, reordered
// and late messages, stale and failed table reads, and restarts of hosts. The state
// of each node must be the table's at its revision. The revision must never
// decrease, and in the end all nodes must have the head.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newHarness(4)
		held := make(map[*Node]wigeonfork.Revision)
		check := func() {
			for id, n := range g.nodes {
				if n.Revision() < held[n] {
					t.Fatalf("revision of %s decreased from %d to %d", id, held[n], n.Revision())
				}
				held[n] = n.Revision()
				if !sameContents(contents(n), g.state(n.Revision())) {
					t.Fatalf("state of %s at revision %d is %v, not %v", id, n.Revision(), contents(n), g.state(n.Revision()))
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			peer := g.peers[rapid.IntRange(0, len(g.peers)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"commit", "tick", "deliver", "repeat", "drop", "stale", "restart", "store"}).Draw(t, "event") {
			case "commit":
				g.commit(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))
			case "tick":
				g.now = g.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				g.execute(peer.ID, g.nodes[peer.ID].Tick(g.now))
			case "deliver", "repeat", "drop":
				if len(g.inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
				e := g.inFlight[i]
				choice := rapid.IntRange(0, 2).Draw(t, "fate")
				if choice != 1 {
					g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
				}
				if choice != 2 {
					g.deliver(e)
				}
			case "stale":
				since := g.nodes[peer.ID].Revision()
				g.read(peer.ID, min(since, g.head()), wigeonfork.Revision(rapid.IntRange(0, int(g.head())).Draw(t, "upTo")))
			case "restart":
				g.start(peer)
			case "store":
				g.tableDown = !g.tableDown
			}
			check()
		}
		g.tableDown = false
		g.advance(20 * time.Second)
		check()
		for id, n := range g.nodes {
			if n.Revision() != g.head() || !n.Serving() {
				t.Fatalf("%s has revision %d of %d, serving %v", id, n.Revision(), g.head(), n.Serving())
			}
		}
	})
}

func TestStartWhileTableIsUnavailable(t *testing.T) {
	Convey("Given five serving hosts, of which only one has the newest revision", t, func() {
		g := newHarness(5)
		g.commit("a", "1")
		g.advance(3 * time.Second)
		g.tableDown = true
		g.inFlight = nil
		g.commit("a", "2")
		g.blocked = func(from, _ wigeonfork.HostID) bool { return from == "h004" }
		g.tableDown = false
		g.read("h004", 1, 2)
		g.tableDown = true
		restarted := g.start(g.peers[0])
		Convey("a starting host does not serve before it has the highest reported revision", func() {
			g.advance(100 * time.Millisecond)
			So(restarted.Serving(), ShouldBeFalse)
			g.execute("h000", restarted.Receive(g.now, "h004", Message{Kind: KindState, Revision: 2, Serving: true}))
			g.advance(3 * time.Second)
			So(restarted.Revision(), ShouldEqual, 1)
			So(restarted.Serving(), ShouldBeFalse)
			g.blocked = func(_, _ wigeonfork.HostID) bool { return false }
			g.advance(5 * time.Second)
			So(restarted.Revision(), ShouldEqual, 2)
			So(restarted.Serving(), ShouldBeTrue)
		})
		Convey("a revision that was lost with its only holder does not block serving forever", func() {
			g.execute("h000", restarted.Receive(g.now, "h004", Message{Kind: KindState, Revision: 2, Serving: true}))
			g.nodes["h004"] = nil
			g.advance(12 * time.Second)
			So(restarted.Serving(), ShouldBeTrue)
		})
	})
	Convey("Hosts that all start while the table is unavailable serve only after it recovers", t, func() {
		g := newHarness(5)
		g.commit("a", "1")
		g.tableDown = true
		g.advance(20 * time.Second)
		for _, n := range g.nodes {
			So(n.Serving(), ShouldBeFalse)
		}
		g.tableDown = false
		g.advance(10 * time.Second)
		for _, n := range g.nodes {
			So(n.Serving(), ShouldBeTrue)
			So(n.Revision(), ShouldEqual, 1)
		}
	})
	Convey("A table read that hangs during the start counts as failed", t, func() {
		n := New(Options{ID: "h000", Seed: 1})
		n.SetPeers([]Peer{{ID: "h000"}, {ID: "h001"}, {ID: "h002"}, {ID: "h003"}})
		now := time.Unix(1000, 0)
		asked := false
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			asked = len(n.Tick(now).Reads) > 0 || asked
			for _, id := range []wigeonfork.HostID{"h001", "h002", "h003"} {
				n.Receive(now, id, Message{Kind: KindState, Serving: true})
			}
		}
		So(asked, ShouldBeTrue)
		So(n.Serving(), ShouldBeTrue)
	})
}

func TestApplyDelta(t *testing.T) {
	Convey("A node at revision 2", t, func() {
		s := newItems()
		So(s.apply(&Delta{To: 2, Items: []Item{{Key: "a", Revision: 2}}}), ShouldBeTrue)
		Convey("rejects a gap, an old state and items outside the range of the delta", func() {
			So(s.apply(&Delta{From: 3, To: 4, Items: []Item{{Key: "a", Revision: 4}}}), ShouldBeFalse)
			So(s.apply(&Delta{From: 0, To: 1, Items: []Item{{Key: "a", Revision: 1}}}), ShouldBeFalse)
			So(s.apply(&Delta{From: 2, To: 3, Items: []Item{{Key: "a", Revision: 9}}}), ShouldBeFalse)
			So(s.revision, ShouldEqual, 2)
		})
		Convey("keeps a bounded number of deletions and returns the complete state below the floor", func() {
			for r := wigeonfork.Revision(3); r < 3+2*maxDeletedItems; r++ {
				s.apply(&Delta{From: r - 1, To: r, Items: []Item{{Key: fmt.Sprint("k", r), Revision: r, Deleted: true}}})
			}
			So(len(s.entries), ShouldBeLessThanOrEqualTo, 2*maxDeletedItems+2)
			late := newItems()
			late.apply(&Delta{To: 3, Items: []Item{{Key: "a", Revision: 2}, {Key: "k3", Revision: 3}}})
			delta := s.since(3)
			So(delta.Full(), ShouldBeTrue)
			So(late.apply(&delta), ShouldBeTrue)
			_, kept := late.index["k3"]
			So(kept, ShouldBeFalse)
		})
	})
}

func TestFactsSpreadWithoutTable(t *testing.T) {
	Convey("Given 40 serving hosts and an unavailable table", t, func() {
		g := newHarness(40)
		g.advance(3 * time.Second)
		g.tableDown = true
		stop := Fact{Key: "letters/v2", At: g.now, Origin: "h007", Value: []byte("errors")}
		a, err := g.nodes["h007"].AddFact(g.now, stop)
		So(err, ShouldBeNil)
		g.execute("h007", a)
		g.advance(time.Second)
		Convey("a fact reaches all hosts within a second, and each learns it once", func() {
			for _, peer := range g.peers {
				So(g.nodes[peer.ID].Facts(), ShouldResemble, []Fact{stop})
				if peer.ID != "h007" {
					So(len(g.learned[peer.ID]), ShouldEqual, 1)
				}
			}
		})
		Convey("a starting host has the fact before it serves", func() {
			n := g.start(g.peers[3])
			for !n.Serving() {
				g.advance(50 * time.Millisecond)
			}
			So(len(n.Facts()), ShouldEqual, 1)
		})
		Convey("an earlier fact with the same key replaces it on all hosts", func() {
			earlier := stop
			earlier.At = stop.At.Add(-time.Second)
			earlier.Origin = "h030"
			a, err := g.nodes["h030"].AddFact(g.now, earlier)
			So(err, ShouldBeNil)
			g.execute("h030", a)
			g.advance(15 * time.Second)
			for _, n := range g.nodes {
				So(n.Facts(), ShouldResemble, []Fact{earlier})
			}
		})
		Convey("a retired fact is not learned again, and a later one with its key is new", func() {
			n := g.nodes["h000"]
			n.RetireFact(stop.Key)
			before := len(g.learned["h000"])
			g.advance(5 * time.Second)
			So(n.Facts(), ShouldBeEmpty)
			So(len(g.learned["h000"]), ShouldEqual, before)
			for _, other := range g.nodes {
				other.RetireFact(stop.Key)
			}
			again := stop
			again.At = g.now
			a, err := g.nodes["h007"].AddFact(g.now, again)
			So(err, ShouldBeNil)
			g.execute("h007", a)
			g.advance(5 * time.Second)
			So(n.Facts(), ShouldResemble, []Fact{again})
		})
	})
	Convey("Facts above the limits are rejected with an error", t, func() {
		n := New(Options{ID: "h", Seed: 1})
		for i := range MaxFacts {
			_, err := n.AddFact(time.Unix(1, 0), Fact{Key: fmt.Sprint(i)})
			So(err, ShouldBeNil)
		}
		_, err := n.AddFact(time.Unix(1, 0), Fact{Key: "more"})
		So(err, ShouldEqual, ErrTooManyFacts)
		_, err = n.AddFact(time.Unix(1, 0), Fact{Key: "large", Value: make([]byte, MaxFactBytes)})
		So(err, ShouldEqual, ErrFactTooLarge)
		So(len(n.Facts()), ShouldEqual, MaxFacts)
	})
}

func TestSurvey(t *testing.T) {
	for _, size := range []int{9, 200} {
		Convey(fmt.Sprintf("A survey of %d hosts reports where a revision is not in force", size), t, func() {
			g := newHarness(size)
			g.commit("a", "1")
			g.advance(5 * time.Second)
			g.tableDown = true
			g.commit("a", "2")
			behind := wigeonfork.HostID("h004")
			g.blocked = func(_, to wigeonfork.HostID) bool { return to == behind }
			g.tableDown = false
			g.read("h000", 1, 2)
			g.advance(5 * time.Second)
			g.tableDown = true
			before := g.nodes[behind].State()
			g.start(g.peers[4])
			g.nodes[behind].items.apply(&Delta{To: 1, Items: g.table[:1]})
			So(before.To, ShouldBeGreaterThan, 0)
			g.nodes["h001"] = nil
			sent := 0
			g.blocked = func(from, to wigeonfork.HostID) bool {
				sent++
				return sent%5 == 0
			}
			// Only survey messages are delivered, so that the host stays behind.
			g.inFlight = nil
			_, a, ok := g.nodes["h000"].Survey(g.now, 2)
			So(ok, ShouldBeTrue)
			g.execute("h000", a)
			for step := 0; step < 60 && len(g.surveys) == 0; step++ {
				g.now = g.now.Add(50 * time.Millisecond)
				for _, peer := range g.peers {
					if n := g.nodes[peer.ID]; n != nil {
						n.actions.reset()
						n.surveys.tick(n, g.now)
						g.execute(peer.ID, n.actions)
					}
				}
				batch := g.inFlight
				g.inFlight = nil
				for _, e := range batch {
					late := e.from == "h016" && e.to == "h000" && step < 32
					switch {
					case late:
						g.inFlight = append(g.inFlight, e)
					case e.message.Survey != nil:
						g.deliver(e)
					}
				}
			}
			So(len(g.surveys), ShouldEqual, 1)
			result := g.surveys[0]
			So(result.InForce(), ShouldBeFalse)
			var inForce int
			var lagging []wigeonfork.HostID
			for _, d := range result.Domains {
				inForce += d.InForce
				lagging = append(lagging, d.Lagging...)
			}
			So(inForce, ShouldEqual, size-2)
			So(len(lagging), ShouldEqual, 2)
			So(lagging, ShouldContain, behind)
			So(lagging, ShouldContain, wigeonfork.HostID("h001"))
		})
	}
}

func FuzzReceive(f *testing.F) {
	for _, m := range []Message{
		{Kind: KindPull, Revision: 3},
		{Kind: KindState, Revision: 2, Delta: &Delta{To: 2, Items: []Item{{Key: "a", Value: []byte("b"), Revision: 2}}}},
		{Kind: KindSurvey, Survey: &Survey{ID: 1, Revision: 1, Peers: []Peer{{ID: "x"}}}},
		{Kind: KindState, FactList: []Fact{{Key: "k", At: time.Unix(1, 0)}}},
	} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		n := New(Options{ID: "h", Seed: 1})
		n.SetPeers([]Peer{{ID: "h"}, {ID: "x"}})
		now := time.Unix(1000, 0)
		n.Tick(now)
		n.CompleteTableRead(now, Delta{To: 5, Items: []Item{{Key: "a", Revision: 5}}}, nil)
		n.Receive(now, "x", m)
		n.Tick(now.Add(time.Second))
		if n.Revision() < 5 {
			t.Fatal("revision decreased")
		}
	})
}

func TestPartitionAndTableOutage(t *testing.T) {
	Convey("Given a partition of 20 serving hosts into two halves, of which one reaches the table", t, func() {
		g := newHarness(20)
		g.commit("a", "1")
		g.advance(5 * time.Second)
		half := func(id wigeonfork.HostID) bool { return id < "h010" }
		g.blocked = func(from, to wigeonfork.HostID) bool { return half(from) != half(to) }
		g.tableUnreachable = func(id wigeonfork.HostID) bool { return !half(id) }
		g.commit("a", "2")
		g.advance(30 * time.Second)
		Convey("the half with the table gets the new revision, and the other serves its last one", func() {
			for id, n := range g.nodes {
				So(n.Serving(), ShouldBeTrue)
				if half(id) {
					So(n.Revision(), ShouldEqual, 2)
				} else {
					So(n.Revision(), ShouldEqual, 1)
				}
			}
			stale := g.start(g.peers[15])
			g.advance(10 * time.Second)
			So(stale.Serving(), ShouldBeTrue)
			So(stale.Revision(), ShouldEqual, 1)
		})
		Convey("after the partition all have the newest revision within 3 seconds, without the table", func() {
			g.tableDown = true
			g.blocked = func(_, _ wigeonfork.HostID) bool { return false }
			g.advance(3 * time.Second)
			for _, n := range g.nodes {
				So(n.Revision(), ShouldEqual, 2)
				So(sameContents(contents(n), g.state(2)), ShouldBeTrue)
			}
		})
	})
}

func BenchmarkNode(b *testing.B) {
	for _, count := range []int{1000, 10_000, 40_000} {
		full := Delta{To: 1}
		for i := range count {
			full.Items = append(full.Items, Item{Key: fmt.Sprintf("d/deployment/w/workspace-%05d", i), Value: []byte(`{"max_tokens":4096}`), Revision: 1})
		}
		now := time.Unix(1000, 0)
		n := New(Options{ID: "h", Seed: 1})
		n.SetPeers([]Peer{{ID: "h"}, {ID: "x"}})
		n.Tick(now)
		n.CompleteTableRead(now, full, nil)
		b.Run(fmt.Sprintf("Receive/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r := n.Revision() + 1
				delta := Delta{From: r - 1, To: r, Items: []Item{{Key: "d/deployment/w/workspace-00017", Revision: r}}}
				now = now.Add(time.Second)
				n.Receive(now, "x", Message{Kind: KindState, Revision: r, Delta: &delta})
			}
		})
	}
}
