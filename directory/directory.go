// Package directory decides which registered backend servers may take new requests.
//
// Directory is a deterministic decision type. Times and registry entries are arguments, and it
// holds no goroutine, clock or socket. It is not safe for concurrent use.
package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Entry is the registration of a backend server.
type Entry struct {
	ID      wigeonfork.BackendServerID
	Service wigeonfork.Model
	Address string // host:port
	Domain  wigeonfork.FailureDomain
	Version wigeonfork.Version
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Born distinguishes the incarnations of a server under one id.
	Born int64
}

// Change is a registered entry, or the removal of the entry with that ID.
type Change struct {
	Entry
	Removed bool
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	// Added means that the server takes requests from now on.
	Added EventKind = iota
	// Restarted means that the server restarted under its id, without its earlier state, or
	// moved to another address.
	Restarted
	// Updated means that another field of the entry changed.
	Updated
	// Left means that the server drains or is gone and takes no new requests.
	Left
)

var eventNames = [...]string{"added", "restarted", "updated", "left"}

// String returns the name of k.
func (k EventKind) String() string { return eventNames[k] }

// Event is a change of the servers that may take requests.
type Event struct {
	Kind  EventKind
	Entry Entry
	// Lapsed is set if the entry expired during an outage of the registry.
	Lapsed bool
}

// ReregistrationTimeout is the time after a registry outage within which a live server whose entry
// expired registers again.
const ReregistrationTimeout = 2200 * time.Millisecond

// AdoptionTimeout is the time within which a server that was discovered at a known address
// registers itself, if the registry can be read.
const AdoptionTimeout = 6 * time.Second

// record is one known server.
type record struct {
	entry Entry
	// lapsed is set while a server is kept although its entry may have expired in an outage.
	lapsed bool
	// adopted is when the server was discovered before it registered, else zero.
	adopted time.Time
}

// Directory holds the known servers.
type Directory struct {
	records            map[wigeonfork.BackendServerID]*record
	registryDown       bool
	registryRestoredAt time.Time
	// departed holds the servers that left recently, and held the entries of an older copy of the
	// registry that show such servers. copyAt is when the last such copy was read.
	departed map[wigeonfork.BackendServerID]departure
	// leaving holds the servers that have said that they leave.
	leaving map[wigeonfork.BackendServerID]leavingMark
	held    map[wigeonfork.BackendServerID]Entry
	copyAt  time.Time
	// kept lists the servers whose state was kept against the last copy.
	kept   []wigeonfork.BackendServerID
	events []Event
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		records:  make(map[wigeonfork.BackendServerID]*record),
		departed: make(map[wigeonfork.BackendServerID]departure),
		held:     make(map[wigeonfork.BackendServerID]Entry),
		leaving:  make(map[wigeonfork.BackendServerID]leavingMark),
	}
}

// RegistryLost records that the registry can't be reached.
func (d *Directory) RegistryLost() { d.registryDown = true }

// registryAnswered records a response of the registry, which ends an outage.
func (d *Directory) registryAnswered(now time.Time) {
	if d.registryDown {
		d.registryDown, d.registryRestoredAt = false, now
	}
}

// awaitingReregistration reports whether entries may be missing because of an outage.
func (d *Directory) awaitingReregistration(now time.Time) bool {
	return !d.registryRestoredAt.IsZero() && now.Sub(d.registryRestoredAt) < ReregistrationTimeout
}

// Replace applies a complete read of the registry. The events that Replace, Apply, Expire and
// Adopt return are valid until the next call of any of them.
func (d *Directory) Replace(now time.Time, entries []Entry) []Event {
	d.registryAnswered(now)
	d.events = d.events[:0]
	seen := make(map[wigeonfork.BackendServerID]bool, len(entries))
	for _, entry := range entries {
		seen[entry.ID] = true
		if now.Sub(d.copyAt) < CopyHoldTimeout {
			d.putFromCopy(entry)
		} else {
			d.put(entry)
		}
	}
	for id, r := range d.records {
		if !seen[id] && r.adopted.IsZero() {
			d.remove(now, id)
		}
	}
	d.expire(now)
	return d.events
}

// Apply applies the changes since the last read.
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

// NewChanges returns the last change of each server, without those that change nothing, such as
// heartbeats. It does not apply them. A removal is always returned, since a peer that receives the
// result may know a server that is not known here.
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

// isNew reports whether the entry, once applied, changes the record of its server.
func (d *Directory) isNew(entry Entry) bool {
	entry = d.withLeaving(entry)
	r := d.records[entry.ID]
	return r == nil || r.entry != entry || r.lapsed || !r.adopted.IsZero()
}

// Expire removes the servers that did not register in time after an outage or an adoption.
func (d *Directory) Expire(now time.Time) []Event {
	d.events = d.events[:0]
	d.expire(now)
	return d.events
}

func (d *Directory) expire(now time.Time) {
	d.expireDepartures(now)
	d.expireLeaving(now)
	if d.registryDown || d.awaitingReregistration(now) {
		return
	}
	for id, r := range d.records {
		unregistered := !r.adopted.IsZero() && now.Sub(r.adopted) > AdoptionTimeout && now.Sub(d.registryRestoredAt) > AdoptionTimeout
		if r.lapsed || unregistered {
			d.drop(now, id, r)
		}
	}
}

// Adopt adds a server that was discovered at the address of a known one and has not registered
// yet, for example after a crash during a registry outage. It is removed if it does not register
// within AdoptionTimeout, counted from the adoption or from the end of the last registry outage.
func (d *Directory) Adopt(now time.Time, entry Entry) []Event {
	d.events = d.events[:0]
	if entry = d.withLeaving(entry); d.records[entry.ID] == nil && !entry.Draining {
		d.records[entry.ID] = &record{entry: entry, adopted: now}
		d.emit(Added, entry, false)
	}
	return d.events
}

func (d *Directory) put(entry Entry) {
	d.forgetLeaving(entry)
	entry = d.withLeaving(entry)
	delete(d.departed, entry.ID)
	delete(d.held, entry.ID)
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

// remove removes a server whose entry is gone. After a registry outage the entry may have
// expired, so the server is kept until ReregistrationTimeout has passed.
func (d *Directory) remove(now time.Time, id wigeonfork.BackendServerID) {
	delete(d.held, id)
	r, known := d.records[id]
	if !known {
		return
	}
	if d.awaitingReregistration(now) && !r.entry.Draining {
		r.lapsed = true
		return
	}
	d.drop(now, id, r)
}

func (d *Directory) drop(now time.Time, id wigeonfork.BackendServerID, r *record) {
	delete(d.records, id)
	d.departed[id] = departure{born: r.entry.Born, at: now}
	if !r.entry.Draining {
		d.emit(Left, r.entry, r.lapsed)
	}
}

func (d *Directory) emit(kind EventKind, entry Entry, lapsed bool) {
	d.events = append(d.events, Event{Kind: kind, Entry: entry, Lapsed: lapsed})
}

// Len returns the number of servers that take requests.
func (d *Directory) Len() int {
	n := 0
	for _, r := range d.records {
		if !r.entry.Draining {
			n++
		}
	}
	return n
}
