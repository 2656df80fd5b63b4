// Package storepos defines positions in the history of a metadata store.
package storepos

import "cmp"

// Position is a point in the history of the store, or the point at which a row was written. The
// store increments Era each time it comes back from an older copy of itself, after which it gives
// out revisions again that it gave out before. A revision without its era orders nothing.
//
// Era is 0 for a store that does not report it. The zero Position comes before all writes.
type Position struct {
	Era      uint64 `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns a negative number if p comes before q, 0 if they are equal, and a positive number
// if p comes after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p comes after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later of p and q.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
