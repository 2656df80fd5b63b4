package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// applyCopy reads a copy with the given entries.
func applyCopy(d *Directory, now time.Time, entries ...Entry) []EventKind {
	return kinds(d.ApplyCopy(now, d.CopyChanges(entries)))
}

// Guards against servers that return by their older rows after the registry came back from an older
// copy.
func TestCopyIsOlder(t *testing.T) {
	Convey("A draining server goes on draining, and a later incarnation stays", t, func() {
		d := New()
		d.Replace(start, []Entry{draining(entry("a")), restarted(entry("b"))})
		So(applyCopy(d, start.Add(time.Second), entry("a"), entry("b")), ShouldBeEmpty)
		So(len(d.Kept()), ShouldEqual, 2)
		So(d.Len(), ShouldEqual, 1)
		So(d.Replace(start.Add(2*time.Second), []Entry{entry("a"), entry("b")}), ShouldBeEmpty)
	})
	Convey("A server that left returns when it registers again", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a")})
		d.Apply(start, []Change{{Entry: Entry{ID: "a"}, Removed: true}})
		So(applyCopy(d, start.Add(time.Second), entry("a")), ShouldBeEmpty)
		So(d.Kept(), ShouldResemble, []wigeonfork.BackendServerID{"a"})
		So(d.Replace(start.Add(2*time.Second), []Entry{entry("a")}), ShouldBeEmpty)
		So(kinds(d.Apply(start.Add(2*time.Second), []Change{{Entry: entry("a")}})), ShouldResemble, []EventKind{Added})
	})
	Convey("A server that left returns if its entry stays, not if it is removed", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a"), entry("b")})
		d.Apply(start, []Change{{Entry: Entry{ID: "a"}, Removed: true}, {Entry: Entry{ID: "b"}, Removed: true}})
		So(applyCopy(d, start, entry("a"), entry("b")), ShouldBeEmpty)
		d.Apply(start.Add(time.Second), []Change{{Entry: Entry{ID: "b"}, Removed: true}})
		So(d.Expire(start.Add(CopyHoldTimeout-time.Millisecond)), ShouldBeEmpty)
		events := d.Expire(start.Add(CopyHoldTimeout))
		So(kinds(events), ShouldResemble, []EventKind{Added})
		So(events[0].Entry.ID, ShouldEqual, wigeonfork.BackendServerID("a"))
	})
	Convey("An incarnation that was started after the one that left is added", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a")})
		d.Apply(start, []Change{{Entry: Entry{ID: "a"}, Removed: true}})
		So(applyCopy(d, start, restarted(entry("a"))), ShouldResemble, []EventKind{Added})
	})
}

// Guards against the loss of live servers that the copy lacks.
func TestCopyLacksServers(t *testing.T) {
	Convey("They take requests until the reregistration timeout, and draining ones are gone", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a"), entry("b"), draining(entry("c"))})
		So(applyCopy(d, start), ShouldBeEmpty)
		So(d.Len(), ShouldEqual, 2)
		d.Apply(start.Add(time.Second), []Change{{Entry: entry("a")}})
		events := d.Expire(start.Add(ReregistrationTimeout))
		So(kinds(events), ShouldResemble, []EventKind{Left})
		So(events[0].Entry.ID, ShouldEqual, wigeonfork.BackendServerID("b"))
	})
	Convey("A peer that applies the same changes has the same servers", t, func() {
		reader, peer := New(), New()
		for _, d := range []*Directory{reader, peer} {
			d.Replace(start, []Entry{entry("a"), draining(entry("b")), entry("c")})
			d.Apply(start, []Change{{Entry: Entry{ID: "c"}, Removed: true}})
		}
		changes := reader.CopyChanges([]Entry{entry("b"), entry("c"), entry("d")})
		reader.ApplyCopy(start, changes)
		peer.ApplyCopy(start, changes)
		for _, at := range []time.Duration{0, ReregistrationTimeout, CopyHoldTimeout} {
			reader.Expire(start.Add(at))
			peer.Expire(start.Add(at))
			So(peer.Len(), ShouldEqual, reader.Len())
		}
		So(reader.Len(), ShouldEqual, 2)
	})
}
