// Package directory decides which registered backend servers may take new work.
//
// Directory is a deterministic decision type: times and rows are arguments, and
// it holds no goroutine, clock or socket. It is not safe for concurrent use.
package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Entry is what a backend server registers of itself.
type Entry struct {
	ID      wigeonfork.BackendServerID
	Service wigeonfork.Model
	Address string
	Domain  wigeonfork.FailureDomain
	Version wigeonfork.Version
	Slots   int
	// Draining servers take no new work.
	Draining bool
	// Born tells the starts of a server under one id apart.
	Born int64
}

// Change is a registered entry, or the removal of the one called ID.
type Change struct {
	Entry
	Removed bool
}

// EventKind tells what an Event says.
type EventKind uint8

// The kinds of events.
const (
	// Added: the server takes work from now on.
	Added EventKind = iota
	// Restarted: the server began anew under its id and knows nothing of before.
	Restarted
	// Updated: the server's description changed.
	Updated
	// Left: the server drains or is gone and takes no new work.
	Left
)

var eventNames = [...]string{"added", "restarted", "updated", "left"}

// String returns the name of k.
func (k EventKind) String() string { return eventNames[k] }

// Event is a change of the servers that may take work.
type Event struct {
	Kind  EventKind
	Entry Entry
	// Lapsed tells that the entry ran out during an outage of the registry.
	Lapsed bool
}

// ReregistrationTimeout is the time after the end of an outage of the registry within which
// a live server whose entry ran out registers again.
const ReregistrationTimeout = 2200 * time.Millisecond

// AdoptionTimeout is the time within which a server that was met at a known address
// registers itself, if the registry can be read.
const AdoptionTimeout = 6 * time.Second

// record is one known server.
type record struct {
	entry  Entry
	lapsed bool
	// adopted is when the server was met without being registered; else zero.
	adopted time.Time
}

// Directory holds the servers that are known.
type Directory struct {
	records            map[wigeonfork.BackendServerID]*record
	registryDown       bool
	registryRestoredAt time.Time
	events             []Event
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{records: make(map[wigeonfork.BackendServerID]*record)}
}

// RegistryLost records that the registry can't be reached.
func (d *Directory) RegistryLost() { d.registryDown = true }

// registryAnswered records an answer of the registry.
func (d *Directory) registryAnswered(now time.Time) {
	if d.registryDown {
		d.registryDown, d.registryRestoredAt = false, now
	}
}

// awaitingReregistration tells whether entries may be missing because of an outage.
func (d *Directory) awaitingReregistration(now time.Time) bool {
	return !d.registryRestoredAt.IsZero() && now.Sub(d.registryRestoredAt) < ReregistrationTimeout
}

// Replace takes in a reading of the whole registry.
func (d *Directory) Replace(now time.Time, entries []Entry) []Event {
	d.registryAnswered(now)
	d.events = d.events[:0]
	seen := make(map[wigeonfork.BackendServerID]bool, len(entries))
	for _, entry := range entries {
		seen[entry.ID] = true
		d.put(entry)
	}
	for id, r := range d.records {
		if !seen[id] && r.adopted.IsZero() {
			d.remove(now, id)
		}
	}
	d.expire(now)
	return d.events
}

// Apply takes in what has changed since the last reading.
func (d *Directory) Apply(now time.Time, changes []Change) []Event {
	d.registryAnswered(now)
	d.events = d.events[:0]
	for _, change := range changes {
		if change.Removed {
			d.remove(now, change.ID)
		} else {
			d.put(change.Entry)
		}
	}
	d.expire(now)
	return d.events
}

// NewChanges returns those of the changes that tell something new, the last one of
// each server: most are signs of life. A removal is always told, since a peer may
// know a server that is not known here.
func (d *Directory) NewChanges(changes []Change) []Change {
	last := make(map[wigeonfork.BackendServerID]int, len(changes))
	for i, change := range changes {
		last[change.ID] = i
	}
	var updates []Change
	for i, change := range changes {
		if last[change.ID] == i && (change.Removed || d.isNew(change.Entry)) {
			updates = append(updates, change)
		}
	}
	return updates
}

func (d *Directory) isNew(entry Entry) bool {
	r := d.records[entry.ID]
	return r == nil || r.entry != entry || r.lapsed || !r.adopted.IsZero()
}

// Expire ends the wait for entries that ran out during an outage.
func (d *Directory) Expire(now time.Time) []Event {
	d.events = d.events[:0]
	d.expire(now)
	return d.events
}

func (d *Directory) expire(now time.Time) {
	if d.registryDown || d.awaitingReregistration(now) {
		return
	}
	for id, r := range d.records {
		unregistered := !r.adopted.IsZero() && now.Sub(r.adopted) > AdoptionTimeout && now.Sub(d.registryRestoredAt) > AdoptionTimeout
		if r.lapsed || unregistered {
			d.drop(id, r)
		}
	}
}

// Adopt takes in a server that was met at the address of a known one and has not
// registered yet, as after a crash while the registry is away. It is dropped if
// it does not register in time.
func (d *Directory) Adopt(now time.Time, entry Entry) []Event {
	d.events = d.events[:0]
	if d.records[entry.ID] == nil {
		d.records[entry.ID] = &record{entry: entry, adopted: now}
		d.emit(Added, entry, false)
	}
	return d.events
}

func (d *Directory) put(entry Entry) {
	r, known := d.records[entry.ID]
	if !known {
		d.records[entry.ID] = &record{entry: entry}
		if !entry.Draining {
			d.emit(Added, entry, false)
		}
		return
	}
	before := r.entry
	adopted := !r.adopted.IsZero()
	r.entry, r.lapsed, r.adopted = entry, false, time.Time{}
	switch {
	case entry == before:
	case entry.Draining && !before.Draining:
		d.emit(Left, entry, false)
	case entry.Draining:
	case before.Draining:
		d.emit(Added, entry, false)
	case !adopted && entry.Born != before.Born || entry.Address != before.Address:
		d.emit(Restarted, entry, false)
	default:
		d.emit(Updated, entry, false)
	}
}

// remove drops a server whose entry is gone. One that may have lapsed while the
// registry was away is kept until it had time to register again.
func (d *Directory) remove(now time.Time, id wigeonfork.BackendServerID) {
	r, known := d.records[id]
	if !known {
		return
	}
	if d.awaitingReregistration(now) && !r.entry.Draining {
		r.lapsed = true
		return
	}
	d.drop(id, r)
}

func (d *Directory) drop(id wigeonfork.BackendServerID, r *record) {
	delete(d.records, id)
	if !r.entry.Draining {
		d.emit(Left, r.entry, r.lapsed)
	}
}

func (d *Directory) emit(kind EventKind, entry Entry, lapsed bool) {
	d.events = append(d.events, Event{Kind: kind, Entry: entry, Lapsed: lapsed})
}

// Len returns the number of servers that take work.
func (d *Directory) Len() int {
	n := 0
	for _, r := range d.records {
		if !r.entry.Draining {
			n++
		}
	}
	return n
}
