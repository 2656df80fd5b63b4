package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const version = wigeonfork.Version("v1")

func key(n int) Key {
	k := Key{Version: version}
	binary.BigEndian.PutUint64(k.Fingerprint[:8], splitMix64(uint64(n)+1))
	return k
}

// death returns the death of a server whose residents all ran for the same time.
func death(server int, at time.Time, ran time.Duration, residents ...int) Death {
	d := Death{ID: DeathID{Server: serverID(server), Incarnation: fmt.Sprint(at.UnixNano())}, At: at}
	for _, r := range residents {
		d.Residents = append(d.Residents, Resident{Key: key(r), Ran: ran})
	}
	return d
}

func serverID(server int) wigeonfork.BackendServerID {
	return wigeonfork.BackendServerID(fmt.Sprintf("b%d", server))
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newTestDetector() *Detector {
	d := New(Options{})
	d.SetServerCount(25)
	return d
}

func TestRequestIsQuarantinedAfterRepeatedDeaths(t *testing.T) {
	Convey("A request whose engines die on three servers soon after each resume is refused", t, func() {
		d := newTestDetector()
		d.EngineDied(after(0), death(0, after(0), 20*time.Second, 1, 2, 3, 4))
		So(d.Check(after(0), key(1)).Action, ShouldEqual, Run)
		d.EngineDied(after(1), death(1, after(1), time.Second, 1, 5, 6))
		So(d.Check(after(1), key(1)).Action, ShouldEqual, Run)
		d.EngineDied(after(2.5), death(2, after(2.5), time.Second, 1, 7))
		So(d.Check(after(2.5), key(1)).Action, ShouldEqual, Hold)
		So(d.Check(after(2.7), key(1)), ShouldResemble, Decision{Action: Refuse, Deaths: 3})
		Convey("its co-residents are no longer suspects", func() {
			So(d.Stats().Suspects, ShouldEqual, 0)
		})
		Convey("a peer that merges the quarantine refuses it and forwards the quarantine", func() {
			second, third := newTestDetector(), newTestDetector()
			m, _ := d.Delta(0)
			second.Merge(m)
			So(second.Check(after(3), key(1)).Action, ShouldEqual, Refuse)
			m, _ = second.Delta(0)
			third.Merge(m)
			So(third.Check(after(3), key(1)).Action, ShouldEqual, Refuse)
		})
		Convey("it may run with another version, and with its own version once that is no longer retained", func() {
			next := key(1)
			next.Version = "v2"
			So(d.Check(after(3), next).Action, ShouldEqual, Run)
			m := d.Snapshot()
			d.RetainVersions([]wigeonfork.Version{"v2"})
			So(d.Check(after(3), key(1)).Action, ShouldEqual, Run)
			d.Merge(m)
			So(d.Check(after(3), key(1)).Action, ShouldEqual, Run)
		})
	})
}

func TestQuarantineAtHighDeathRate(t *testing.T) {
	// There are 20 ordinary deaths in 10 minutes, then three deaths with request 1 resident.
	action := func(decoded time.Duration) Action {
		d := newTestDetector()
		for i := range 20 {
			d.EngineDied(after(30*float64(i)), death(i%25, after(30*float64(i)), time.Minute, 100+i))
		}
		for i := range 3 {
			next := death(30+i, after(601+2*float64(i)), time.Second, 1)
			next.Residents[0].Decoded = decoded
			d.EngineDied(next.At, next)
		}
		return d.Check(after(700), key(1)).Action
	}
	Convey("At a high death rate, deaths right after the first token quarantine a request, but deaths one second into prefill do not", t, func() {
		So(action(60*time.Millisecond), ShouldEqual, Refuse)
		So(action(0), ShouldEqual, Run)
	})
}

func TestOrdinaryDeathsDoNotQuarantine(t *testing.T) {
	// Each case has three deaths with request 1 resident that an ordinary fault can cause.
	cases := map[string]func(d *Detector){
		"long runs between the deaths": func(d *Detector) {
			for i := range 3 {
				d.EngineDied(after(300*float64(i)), death(i, after(300*float64(i)), 290*time.Second, 1))
			}
		},
		"repeated deaths of one server": func(d *Detector) {
			for i := range 3 {
				d.EngineDied(after(2*float64(i)), death(0, after(2*float64(i)), time.Second, 1))
			}
		},
		"the loss of a rack while many callers send the same request": func(d *Detector) {
			for i := range 3 {
				d.EngineDied(after(0), death(i, after(0), time.Second, 1))
			}
		},
		"a burst of deaths across the fleet": func(d *Detector) {
			for i := range 18 {
				at := after(0.5 * float64(i))
				if i%6 == 5 {
					d.EngineDied(at, death(i, at, 200*time.Millisecond, 1))
				} else {
					d.EngineDied(at, death(i, at, time.Minute, 100+i))
				}
			}
		},
		"deaths that have the same two residents": func(d *Detector) {
			for i := range 3 {
				d.EngineDied(after(2*float64(i)), death(i, after(2*float64(i)), time.Second, 1, 2))
			}
		},
		"an ordinary death and two deaths with another suspect resident": func(d *Detector) {
			d.EngineDied(after(0), death(0, after(0), time.Second, 1))
			d.EngineDied(after(1), death(5, after(1), time.Second, 2))
			d.EngineDied(after(3), death(1, after(3), 300*time.Millisecond, 1, 2))
			d.EngineDied(after(5), death(2, after(5), 300*time.Millisecond, 1, 2))
		},
		"a completion between the deaths": func(d *Detector) {
			d.EngineDied(after(0), death(0, after(0), time.Second, 1))
			d.EngineDied(after(2), death(1, after(2), time.Second, 1))
			d.Completed(after(3), key(1))
			d.EngineDied(after(4), death(2, after(4), time.Second, 1))
		},
	}
	for description, report := range cases {
		Convey("A request is not refused after "+description, t, func() {
			d := newTestDetector()
			report(d)
			So(d.Check(after(1000), key(1)).Action, ShouldEqual, Run)
		})
	}
}

func TestSuspectsResumeOnDifferentServers(t *testing.T) {
	servers := make([]wigeonfork.BackendServerID, 24)
	for i := range servers {
		servers[i] = serverID(i + 1)
	}
	Convey("Given two entries that know the residents of one death", t, func() {
		first, second := newTestDetector(), newTestDetector()
		residents := []int{1, 2, 3, 4, 5, 6, 7, 8}
		first.EngineDied(start, death(0, start, time.Second, residents...))
		m, _ := first.Delta(0)
		second.Merge(m)
		Convey("they resume each resident on a different server", func() {
			used := map[wigeonfork.BackendServerID]bool{}
			for i, r := range residents {
				d := []*Detector{first, second}[i%2]
				avoid := d.Avoid(start, key(r), servers, nil)
				So(len(avoid), ShouldBeLessThan, len(servers))
				for _, s := range servers {
					if !contains(avoid, s) {
						used[s] = true
						d.Started(start, key(r), s)
						break
					}
				}
			}
			So(len(used), ShouldEqual, len(residents))
		})
		Convey("a server that runs a suspect is avoided until the run ends", func() {
			first.Started(start, key(1), serverID(1))
			So(first.Avoid(start, key(2), servers[:2], nil), ShouldContain, serverID(1))
			first.Stopped(start, key(1), serverID(1))
			first.Stopped(start, key(1), serverID(1))
			So(first.suspectRuns, ShouldBeEmpty)
		})
		Convey("a suspect with two incidents runs at one entry at a time", func() {
			second.EngineDied(after(1), death(1, after(1), time.Second, 1))
			second.Started(after(1), key(1), serverID(2))
			m, _ := second.Delta(0)
			first.Merge(m)
			So(first.Check(after(2), key(1)).Action, ShouldEqual, Hold)
			So(first.Check(after(7), key(1)).Action, ShouldEqual, Run)
		})
	})
}

func contains(list []wigeonfork.BackendServerID, s wigeonfork.BackendServerID) bool {
	for _, id := range list {
		if id == s {
			return true
		}
	}
	return false
}

func TestKeyOf(t *testing.T) {
	Convey("The key depends on the content of a request, not on its sender", t, func() {
		req := backend.GenerateRequest{StreamID: "a", Workspace: "w", Model: "m", Version: "v", Prompt: "pq", MaxTokens: 9, Seed: 1}
		other := req
		other.StreamID, other.Workspace, other.Seed = "b", "x", 2
		So(KeyOf(&other), ShouldResemble, KeyOf(&req))
		other.Adapter, other.Prompt = "p", "q"
		So(KeyOf(&other), ShouldNotResemble, KeyOf(&req))
	})
}

// TestLaterCompletionClearsIncidentsAtPeers guards against a request that is held back or refused
// at the peers of the entry where it just completed, because it had completed there before.
func TestLaterCompletionClearsIncidentsAtPeers(t *testing.T) {
	Convey("A second completion, after the time in which the first one counts, clears the incidents at a peer too", t, func() {
		sender, receiver := newTestDetector(), newTestDetector()
		var cursor uint64
		exchange := func() {
			var m Message
			m, cursor = sender.Delta(cursor)
			receiver.Merge(m)
		}
		receiver.Completed(start, key(1))
		died := start.Add(completionTTL + time.Second)
		sender.EngineDied(died, death(0, died, time.Second, 1))
		exchange()
		So(receiver.Stats().Suspects, ShouldEqual, 1)
		sender.Completed(died.Add(time.Second), key(1))
		exchange()
		So(sender.Stats().Suspects, ShouldEqual, 0)
		So(receiver.Stats().Suspects, ShouldEqual, 0)
		Convey("and a completion that is known is not forwarded again", func() {
			_, before := receiver.Delta(0)
			m, _ := sender.Delta(0)
			receiver.Merge(m)
			_, after := receiver.Delta(0)
			So(after, ShouldEqual, before)
		})
	})
}

// TestMergeIsIndependentOfOrder feeds the same messages to two detectors: twice each, and in
// random order through JSON. They must agree on every request, and known messages must not be
// forwarded.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []Message
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			at := after(float64(i))
			r := rapid.IntRange(0, 3).Draw(t, "request")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				messages = append(messages, Message{Completions: []CompletionNotice{{Key: key(r), At: at}}})
			default:
				d := death(rapid.IntRange(0, 4).Draw(t, "server"), at, 500*time.Millisecond, r, rapid.IntRange(4, 6).Draw(t, "other"))
				messages = append(messages, Message{Deaths: []Death{d}})
			}
		}
		first, second := newTestDetector(), newTestDetector()
		for _, m := range messages {
			first.Merge(m)
			first.Merge(m)
		}
		for _, i := range rapid.Permutation(indexes(len(messages))).Draw(t, "order") {
			body, err := json.Marshal(messages[i])
			if err != nil {
				t.Fatal(err)
			}
			var m Message
			if err := json.Unmarshal(body, &m); err != nil {
				t.Fatal(err)
			}
			second.Merge(m)
		}
		for r := range 7 {
			a, b := first.Check(after(100), key(r)), second.Check(after(100), key(r))
			if a != b {
				t.Fatalf("request %d: %+v and %+v", r, a, b)
			}
		}
		_, before := second.Delta(0)
		for _, m := range messages {
			second.Merge(m)
		}
		if _, again := second.Delta(0); again != before {
			t.Fatal("merging a known message added a change")
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestMemoryIsBounded(t *testing.T) {
	Convey("Memory stays bounded under many deaths, and the suspects with the most incidents are kept", t, func() {
		d := New(Options{MaxSuspects: 100, MaxDeaths: 20, MaxQuarantined: 5, MaxCompleted: 10})
		d.SetServerCount(25)
		for i := range 2 {
			at := after(float64(i))
			d.EngineDied(at, death(i, at, time.Second, 1))
		}
		for n := range 1000 {
			d.EngineDied(after(100), death(n, after(100), time.Second, 10*n+10, 10*n+11, 10*n+12))
			d.Completed(after(100), key(10*n+13))
		}
		So(len(d.suspects), ShouldBeLessThanOrEqualTo, 100)
		So(len(d.deaths), ShouldEqual, 20)
		So(len(d.recent), ShouldEqual, 20)
		So(len(d.completed.times), ShouldEqual, 10)
		So(d.Check(after(101), key(1)).Deaths, ShouldEqual, 2)
	})
}

func BenchmarkEngineDied(b *testing.B) {
	for _, suspects := range []int{64, 1024, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			d := newTestDetector()
			for n := range suspects / 16 {
				d.EngineDied(start, death(n, start, time.Second, batchResidents(n)...))
			}
			deaths := make([]Death, 1024)
			for n := range deaths {
				deaths[n] = death(n, after(float64(n)), time.Second, batchResidents(n%(suspects/16))...)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				next := deaths[n%len(deaths)]
				next.At = next.At.Add(time.Duration(n))
				next.ID.Incarnation = next.At.String()
				d.EngineDied(next.At, next)
			}
		})
	}
}

func batchResidents(base int) []int {
	out := make([]int, 16)
	for i := range out {
		out[i] = base*16 + i
	}
	return out
}

func BenchmarkCheck(b *testing.B) {
	for _, suspects := range []int{64, 1024, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			d := newTestDetector()
			for n := range suspects / 16 {
				d.EngineDied(start, death(n, start, time.Second, batchResidents(n)...))
			}
			keys := make([]Key, 8192)
			for n := range keys {
				keys[n] = key(n)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				d.Check(start, keys[n%len(keys)])
			}
		})
	}
}
