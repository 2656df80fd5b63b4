package revision

import (
	"slices"

	"github.com/wigeonfork/wigeonfork"
)

// Item is one key of the configuration with its value, last changed at Revision.
// A deleted item has no value.
type Item struct {
	Key      string              `json:"key" cbor:"1,keyasint"`
	Value    []byte              `json:"value,omitempty" cbor:"2,keyasint,omitempty"`
	Revision wigeonfork.Revision `json:"revision" cbor:"3,keyasint"`
	Deleted  bool                `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
}

// Delta holds the items that changed after From and up to To, with their values
// at To. It can be applied to any state at From or later. A delta with From 0
// replaces the state. It holds every item and the deletions after Floor.
type Delta struct {
	From  wigeonfork.Revision `json:"from" cbor:"1,keyasint"`
	To    wigeonfork.Revision `json:"to" cbor:"2,keyasint"`
	Floor wigeonfork.Revision `json:"floor,omitempty" cbor:"3,keyasint,omitempty"`
	Items []Item              `json:"items,omitempty" cbor:"4,keyasint,omitempty"`
}

// Full reports whether d replaces the complete state.
func (d *Delta) Full() bool { return d.From == 0 }

// valid reports whether the revisions of all items are in the range of d.
func (d *Delta) valid() bool {
	for i := range d.Items {
		r := d.Items[i].Revision
		if r <= d.From || r > d.To {
			return false
		}
	}
	return true
}

// size returns the approximate encoded size of d in bytes.
func (d *Delta) size() int {
	total := 0
	for i := range d.Items {
		total += len(d.Items[i].Key) + len(d.Items[i].Value) + itemOverheadBytes
	}
	return total
}

// itemOverheadBytes is the encoded size of an item without key and value.
const itemOverheadBytes = 12

// items is the state: the latest version of every item, in order of revision.
type items struct {
	revision wigeonfork.Revision
	floor    wigeonfork.Revision
	entries  []Item
	live     []bool
	index    map[string]int
	removed  int
	deleted  int
}

func newItems() items {
	return items{index: make(map[string]int)}
}

// apply installs d if it is newer than the state and leaves no gap. It reports
// whether it did.
func (s *items) apply(d *Delta) bool {
	if d.To <= s.revision || d.From > s.revision || !d.valid() {
		return false
	}
	if d.Full() {
		*s = newItems()
		s.floor = d.Floor
	}
	ordered := slices.Clone(d.Items)
	slices.SortStableFunc(ordered, func(a, b Item) int { return compareRevision(a.Revision, b.Revision) })
	for _, item := range ordered {
		if item.Revision > s.revision {
			s.add(item)
		}
	}
	s.revision = d.To
	s.compact()
	return true
}

func compareRevision(a, b wigeonfork.Revision) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (s *items) add(item Item) {
	if old, found := s.index[item.Key]; found {
		s.remove(old)
	}
	if item.Deleted {
		s.deleted++
	}
	s.index[item.Key] = len(s.entries)
	s.entries = append(s.entries, item)
	s.live = append(s.live, true)
}

func (s *items) remove(i int) {
	if s.entries[i].Deleted {
		s.deleted--
	}
	s.live[i] = false
	s.entries[i] = Item{Revision: s.entries[i].Revision}
	s.removed++
}

// compact drops the oldest deletions above maxDeletedItems, and purges removed
// entries once they are the majority. A state below the floor needs a full delta.
func (s *items) compact() {
	for i := 0; s.deleted > maxDeletedItems && i < len(s.entries); i++ {
		if s.live[i] && s.entries[i].Deleted {
			delete(s.index, s.entries[i].Key)
			s.floor = max(s.floor, s.entries[i].Revision)
			s.remove(i)
		}
	}
	if s.removed <= len(s.entries)/2 {
		return
	}
	kept := make([]Item, 0, len(s.entries)-s.removed)
	for i := range s.entries {
		if s.live[i] {
			s.index[s.entries[i].Key] = len(kept)
			kept = append(kept, s.entries[i])
		}
	}
	s.entries = kept
	s.live = slices.Repeat([]bool{true}, len(kept))
	s.removed = 0
}

// maxDeletedItems bounds the number of deletions that are kept.
const maxDeletedItems = 4096

// since returns the changes after revision from, or all items if from is below
// the floor.
func (s *items) since(from wigeonfork.Revision) Delta {
	if from < s.floor {
		from = 0
	}
	start, _ := slices.BinarySearchFunc(s.entries, from+1, func(item Item, r wigeonfork.Revision) int {
		return compareRevision(item.Revision, r)
	})
	d := Delta{From: from, To: s.revision}
	if d.Full() {
		d.Floor = s.floor
	}
	for i := start; i < len(s.entries); i++ {
		if s.live[i] {
			d.Items = append(d.Items, s.entries[i])
		}
	}
	return d
}
