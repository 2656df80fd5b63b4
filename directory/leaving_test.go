package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
)

func TestServersThatSayTheyLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Slots: 1, Born: 5}
	Convey("With a known server", t, func() {
		d := New()
		d.Apply(now, []Change{{Entry: entry}})
		Convey("it leaves at once, and its heartbeats don't bring it back", func() {
			events, isNew := d.MarkLeaving(now, LeavingServer{"a", 5})
			So(isNew, ShouldBeTrue)
			So(events, ShouldHaveLength, 1)
			So(events[0].Kind, ShouldEqual, Left)
			So(d.NewChanges([]Change{{Entry: entry}}), ShouldBeEmpty)
			So(d.Replace(now, []Entry{entry}), ShouldBeEmpty)
			So(d.Len(), ShouldEqual, 0)
			_, isNew = d.MarkLeaving(now, LeavingServer{"a", 5})
			So(isNew, ShouldBeFalse)
		})
		Convey("its next start takes requests", func() {
			d.MarkLeaving(now, LeavingServer{"a", 5})
			next := entry
			next.Born = 6
			events := d.Apply(now, []Change{{Entry: next}})
			So(events, ShouldHaveLength, 1)
			So(events[0].Kind, ShouldEqual, Added)
			_, isNew := d.MarkLeaving(now, LeavingServer{"a", 5})
			So(isNew, ShouldBeFalse)
			So(d.Len(), ShouldEqual, 1)
		})
		Convey("it stays away if its entry is removed and written again", func() {
			d.MarkLeaving(now, LeavingServer{"a", 5})
			d.Apply(now, []Change{{Entry: Entry{ID: "a"}, Removed: true}})
			So(d.Apply(now.Add(time.Minute), []Change{{Entry: entry}}), ShouldBeEmpty)
			So(d.Len(), ShouldEqual, 0)
		})
	})
	Convey("A server that isn't known yet doesn't come as ready", t, func() {
		d := New()
		d.MarkLeaving(now, LeavingServer{"a", 5})
		So(d.Adopt(now, entry), ShouldBeEmpty)
		So(d.Apply(now, []Change{{Entry: entry}}), ShouldBeEmpty)
		So(d.Len(), ShouldEqual, 0)
	})
}

// TestLeavingServersTakeNoRequests draws marks, entries, removals and restarts in any order. It checks that no start
// which has said that it leaves is among those that take requests, by the events.
func TestLeavingServersTakeNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		now := time.Unix(1000, 0)
		taking := map[wigeonfork.BackendServerID]int64{}
		apply := func(events []Event) {
			for _, e := range events {
				if e.Kind == Left {
					delete(taking, e.Entry.ID)
				} else {
					taking[e.Entry.ID] = e.Entry.Born
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			id := wigeonfork.BackendServerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
			entry := Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 1, Born: rapid.Int64Range(1, 4).Draw(t, "born")}
			entry.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				events, _ := d.MarkLeaving(now, LeavingServer{id, entry.Born})
				apply(events)
			case 1:
				apply(d.Apply(now, []Change{{Entry: Entry{ID: id}, Removed: true}}))
			case 2:
				apply(d.Replace(now, []Entry{entry}))
			case 3:
				apply(d.ApplyCopy(now, d.CopyChanges([]Entry{entry})))
			case 4:
				d.RegistryLost()
			default:
				apply(d.Apply(now, d.NewChanges([]Change{{Entry: entry}})))
			}
			for id, born := range taking {
				if mark, ok := d.leaving[id]; ok && mark.born == born {
					t.Fatalf("start %d of %s takes requests, and has said that it leaves", born, id)
				}
			}
			if len(taking) != d.Len() {
				t.Fatalf("%d servers take requests by the events, %d by the directory", len(taking), d.Len())
			}
		}
	})
}
