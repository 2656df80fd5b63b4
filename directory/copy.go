package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// CopyHoldTimeout is the time for which an entry of a copy does not bring a server back that
	// left before. A live server registers again within it, and the registry removes the entry of
	// one that is gone.
	CopyHoldTimeout = 10 * time.Second
	// departureMemory is the time for which a server that left is remembered. It exceeds the age
	// of a copy.
	departureMemory = 2 * time.Minute
)

// departure is the incarnation of a server that left, and when.
type departure struct {
	born int64
	at   time.Time
}

// CopyChanges returns the changes that a complete read shows of a registry that has come back from
// an older copy of itself. It does not apply them.
func (d *Directory) CopyChanges(entries []Entry) []Change {
	var changes []Change
	seen := make(map[wigeonfork.BackendServerID]bool, len(entries))
	for _, entry := range entries {
		seen[entry.ID] = true
		if d.isNew(entry) {
			changes = append(changes, Change{Entry: entry})
		}
	}
	for id, r := range d.records {
		if !seen[id] && r.adopted.IsZero() {
			changes = append(changes, Change{Entry: Entry{ID: id}, Removed: true})
		}
	}
	return changes
}

// ApplyCopy applies CopyChanges. What is known wins over an older entry of the copy: a server that
// drains goes on draining, a later incarnation stays, and a server that left does not return unless
// it registers again or its entry is still there after CopyHoldTimeout. Live servers whose entries
// the copy lacks are kept until ReregistrationTimeout has passed. Kept lists the entries that lost.
func (d *Directory) ApplyCopy(now time.Time, changes []Change) []Event {
	d.registryDown, d.registryRestoredAt, d.copyAt = false, now, now
	d.events, d.kept = d.events[:0], nil
	for _, change := range changes {
		if change.Removed {
			d.remove(now, change.ID)
		} else {
			d.putFromCopy(change.Entry)
		}
	}
	d.expire(now)
	return d.events
}

// Kept returns the servers whose state was kept against the copy by the last ApplyCopy.
func (d *Directory) Kept() []wigeonfork.BackendServerID { return d.kept }

// putFromCopy applies an entry that may be older than what is known.
func (d *Directory) putFromCopy(entry Entry) {
	r := d.records[entry.ID]
	left, departed := d.departed[entry.ID]
	switch {
	case r != nil && isOlder(entry, r.entry):
		r.lapsed = false
	case r == nil && departed && entry.Born <= left.born:
		d.held[entry.ID] = entry
	default:
		d.put(entry)
		return
	}
	d.kept = append(d.kept, entry.ID)
}

// isOlder reports whether an entry of a server was replaced by another one.
func isOlder(entry, by Entry) bool {
	return entry.Born < by.Born || entry.Born == by.Born && by.Draining && !entry.Draining
}

// expireDepartures forgets the servers that left long ago, and returns those whose entries of a copy
// are still there.
func (d *Directory) expireDepartures(now time.Time) {
	for id, left := range d.departed {
		if now.Sub(left.at) > departureMemory {
			delete(d.departed, id)
		}
	}
	if now.Sub(d.copyAt) < CopyHoldTimeout {
		return
	}
	for _, entry := range d.held {
		d.put(entry)
	}
}
