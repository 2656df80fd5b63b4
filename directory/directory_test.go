package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

var start = time.Unix(1000, 0)

func entry(id string) Entry {
	return Entry{ID: wigeonfork.BackendServerID(id), Service: "s", Address: "10.0.0.1:80", Domain: "a", Version: "v1", Slots: 8, Born: 1}
}

func draining(e Entry) Entry {
	e.Draining = true
	return e
}

func restarted(e Entry) Entry {
	e.Born++
	return e
}

func kinds(events []Event) []EventKind {
	list := make([]EventKind, 0, len(events))
	for _, e := range events {
		list = append(list, e.Kind)
	}
	return list
}

func TestServerEvents(t *testing.T) {
	Convey("A server takes requests from its registration until it drains", t, func() {
		d := New()
		So(kinds(d.Replace(start, []Entry{entry("a")})), ShouldResemble, []EventKind{Added})
		So(d.Apply(start, []Change{{Entry: entry("a")}}), ShouldBeEmpty)
		So(kinds(d.Apply(start, []Change{{Entry: draining(entry("a"))}})), ShouldResemble, []EventKind{Left})
		So(d.Apply(start, []Change{{Entry: Entry{ID: "a"}, Removed: true}}), ShouldBeEmpty)
	})
	Convey("A server that never drains leaves when its entry is removed", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a")})
		So(kinds(d.Apply(start, []Change{{Entry: Entry{ID: "a"}, Removed: true}})), ShouldResemble, []EventKind{Left})
	})
	Convey("A new incarnation under the same id is reported as restarted", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a")})
		So(kinds(d.Apply(start, []Change{{Entry: restarted(entry("a"))}})), ShouldResemble, []EventKind{Restarted})
	})
}

// TestEntryExpiryDuringRegistryOutage guards against the removal of live servers whose entries
// all expired during a registry outage.
func TestEntryExpiryDuringRegistryOutage(t *testing.T) {
	Convey("A server whose entry expired in an outage takes requests until the reregistration timeout", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a"), entry("b")})
		d.RegistryLost()
		restored := start.Add(10 * time.Second)
		So(d.Replace(restored, nil), ShouldBeEmpty)
		So(d.Len(), ShouldEqual, 2)
		So(d.Apply(restored.Add(time.Second), []Change{{Entry: entry("a")}}), ShouldBeEmpty)
		events := d.Expire(restored.Add(ReregistrationTimeout))
		So(kinds(events), ShouldResemble, []EventKind{Left})
		So(events[0].Entry.ID, ShouldEqual, wigeonfork.BackendServerID("b"))
		So(events[0].Lapsed, ShouldBeTrue)
	})
	Convey("A removal after the reregistration timeout takes effect at once", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a")})
		d.RegistryLost()
		restored := start.Add(10 * time.Second)
		d.Replace(restored, []Entry{entry("a")})
		So(kinds(d.Apply(restored.Add(ReregistrationTimeout), []Change{{Entry: Entry{ID: "a"}, Removed: true}})), ShouldResemble, []EventKind{Left})
	})
}

func TestAdoption(t *testing.T) {
	Convey("Given a server that was discovered before it registered", t, func() {
		d := New()
		d.Replace(start, nil)
		So(kinds(d.Adopt(start, entry("n"))), ShouldResemble, []EventKind{Added})
		Convey("a read without its entry keeps it, since it may not have registered yet", func() {
			So(d.Replace(start.Add(time.Second), nil), ShouldBeEmpty)
		})
		Convey("its removal takes effect, even if its entry was never read", func() {
			So(kinds(d.Apply(start.Add(time.Second), []Change{{Entry: Entry{ID: "n"}, Removed: true}})), ShouldResemble, []EventKind{Left})
		})
		Convey("its registration is reported as an update and not as a restart", func() {
			So(kinds(d.Apply(start.Add(time.Second), []Change{{Entry: restarted(entry("n"))}})), ShouldResemble, []EventKind{Updated})
			So(d.Expire(start.Add(time.Minute)), ShouldBeEmpty)
		})
		Convey("it leaves if it does not register in time", func() {
			So(d.Expire(start.Add(AdoptionTimeout)), ShouldBeEmpty)
			So(kinds(d.Expire(start.Add(AdoptionTimeout+time.Millisecond))), ShouldResemble, []EventKind{Left})
		})
		Convey("it stays during a registry outage", func() {
			d.RegistryLost()
			So(d.Expire(start.Add(time.Minute)), ShouldBeEmpty)
		})
	})
}

func TestNewChangesOmitsHeartbeats(t *testing.T) {
	Convey("Heartbeats are omitted, changes and removals are returned", t, func() {
		d := New()
		d.Replace(start, []Entry{entry("a"), entry("b")})
		removed := Change{Entry: Entry{ID: "gone"}, Removed: true}
		updates := d.NewChanges([]Change{{Entry: entry("a")}, {Entry: draining(entry("b"))}, removed})
		So(updates, ShouldResemble, []Change{{Entry: draining(entry("b"))}, removed})
	})
	Convey("For a server that was added and removed between two reads the removal is returned", t, func() {
		d := New()
		removed := Change{Entry: Entry{ID: "n"}, Removed: true}
		So(d.NewChanges([]Change{{Entry: entry("n")}, removed}), ShouldResemble, []Change{removed})
	})
}
