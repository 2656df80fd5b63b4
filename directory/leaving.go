package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// LeavingServer is a start of a server that has said in an answer that it leaves. Born is 0 if it is not known.
type LeavingServer struct {
	ID   wigeonfork.BackendServerID `cbor:"1,keyasint"`
	Born int64                      `cbor:"2,keyasint,omitempty"`
}

// leavingMark is the start that has said so, and when.
type leavingMark struct {
	born int64
	at   time.Time
}

// matches reports whether an entry is of the start that leaves. An entry or a mark may not say when the server
// started; it is taken for the same start then.
func (m leavingMark) matches(entry Entry) bool {
	return m.born == 0 || entry.Born == 0 || entry.Born == m.born
}

// MarkLeaving records that a server has said that it leaves. From then on that start takes no requests, whatever the
// registry shows of it; only a later start under the id does. A server that is not known is remembered for
// departureMemory. isNew is set if it was not recorded before.
func (d *Directory) MarkLeaving(now time.Time, s LeavingServer) (events []Event, isNew bool) {
	d.events = d.events[:0]
	r, known := d.records[s.ID]
	if known && s.Born != 0 && s.Born < r.entry.Born {
		return d.events, false
	}
	if before, marked := d.leaving[s.ID]; marked && before.born >= s.Born {
		return d.events, false
	}
	mark := leavingMark{born: s.Born, at: now}
	d.leaving[s.ID] = mark
	if known && !r.entry.Draining && mark.matches(r.entry) {
		r.entry.Draining = true
		d.emit(Left, r.entry, false)
	}
	return d.events, true
}

// Leaving returns the servers that have said that they leave.
func (d *Directory) Leaving() []LeavingServer {
	list := make([]LeavingServer, 0, len(d.leaving))
	for id, mark := range d.leaving {
		list = append(list, LeavingServer{ID: id, Born: mark.born})
	}
	return list
}

// withLeaving returns an entry as draining if it is of a start that has said that it leaves.
func (d *Directory) withLeaving(entry Entry) Entry {
	if mark, marked := d.leaving[entry.ID]; marked && mark.matches(entry) {
		entry.Draining = true
	}
	return entry
}

// forgetLeaving forgets the mark of an earlier start than that of an entry.
func (d *Directory) forgetLeaving(entry Entry) {
	if mark, marked := d.leaving[entry.ID]; marked && !mark.matches(entry) && entry.Born > mark.born {
		delete(d.leaving, entry.ID)
	}
}

// expireLeaving forgets the marks of servers that are not known any more.
func (d *Directory) expireLeaving(now time.Time) {
	for id, mark := range d.leaving {
		if _, known := d.records[id]; !known && now.Sub(mark.at) > departureMemory {
			delete(d.leaving, id)
		}
	}
}
