package serverlimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// dropAfter is the silence after which an entry is dropped if most entries find it silent.
	dropAfter = 90 * time.Second
	// weakAfter is the time for which an entry may grant requests without contact to half of the entries. It is
	// shorter than dropAfter, so that an entry that is dropped grants nothing any more.
	weakAfter = 45 * time.Second
)

// Entry identifies an entry.
type Entry string

// Members is the set of entries among which limits are divided, as far as one of them knows. It holds every entry that
// was ever registered or heard of, so that it never has fewer than there are. One that fell silent is dropped in two
// steps: first most entries find it silent, and each of them delegates nothing to it from then on; once all others are
// known to have done so, and its registration is removed, it no longer counts.
type Members struct {
	self   Entry
	others map[Entry]*peer
	// startedAt is when this entry's process started, or zero if it never has peers.
	startedAt time.Time
	// member is set once all others are known to count this entry. Before that it has no share.
	member bool
	// complete is set once the registered entries were read.
	complete bool
}

// peer is what an entry knows of another one.
type peer struct {
	heardAt time.Time
	// unconfirmed is set while others may not count the entry, as far as is known here.
	unconfirmed bool
	// dropping is set while most entries have found the entry silent, but not all others are known to. It still
	// counts, but its share is not taken and none is delegated to it.
	dropping bool
}

func (p *peer) isSilent(now time.Time) bool { return now.Sub(p.heardAt) > dropAfter }

// NewMembers returns the members as known to an entry whose process starts now and has not read the registered ones.
func NewMembers(now time.Time, self Entry) *Members {
	return &Members{self: self, others: make(map[Entry]*peer), startedAt: now}
}

// NewSoleMember returns the members as known to an entry that never has peers. It has the whole limits from the start.
func NewSoleMember(self Entry) *Members {
	return &Members{self: self, others: make(map[Entry]*peer), member: true, complete: true}
}

// Registered records the registered entries. member is set if this one was a member before it started. The first call
// counts most: later, this entry may have been dropped, and the others may not count all that are registered.
func (m *Members) Registered(now time.Time, entries []Entry, member bool) {
	for _, e := range entries {
		if e == m.self {
			continue
		}
		if m.others[e] == nil {
			m.others[e] = &peer{heardAt: now, unconfirmed: m.complete}
		}
		if !m.complete {
			m.others[e].unconfirmed = false
		}
	}
	if !m.complete {
		m.member = member
	}
	m.complete = true
}

// Heard records a message of an entry.
func (m *Members) Heard(now time.Time, e Entry) {
	if e == m.self {
		return
	}
	other := m.others[e]
	if other == nil {
		other = &peer{unconfirmed: true}
		m.others[e] = other
	}
	if other.dropping {
		other.dropping, other.unconfirmed = false, true
	}
	other.heardAt = now
}

// IsMember reports whether this entry has a share.
func (m *Members) IsMember() bool { return m.member && m.complete }

// Size returns the number of known entries, this one included.
func (m *Members) Size() int { return len(m.others) + 1 }

// Sum identifies the set of known entries that are not being dropped.
func (m *Members) Sum() uint64 {
	return m.sumOf(func(other *peer) bool { return !other.dropping })
}

// LiveSum identifies the set of those of Sum that were not silent for dropAfter.
func (m *Members) LiveSum(now time.Time) uint64 {
	return m.sumOf(func(other *peer) bool { return !other.dropping && !other.isSilent(now) })
}

// sumOf identifies the set of this entry and the others for which include returns true.
func (m *Members) sumOf(include func(*peer) bool) uint64 {
	sum := xxhash.Sum64String(string(m.self))
	for e, other := range m.others {
		if include(other) {
			sum ^= xxhash.Sum64String(string(e))
		}
	}
	return sum
}

// isUnconfirmed reports whether others may not count an entry.
func (m *Members) isUnconfirmed(e Entry) bool {
	other := m.others[e]
	return e != m.self && (other == nil || other.unconfirmed || other.dropping)
}

// agreed records that all known entries know the same ones, so that each has a share. It returns whether this one had
// none.
func (m *Members) agreed() (becameMember bool) {
	for _, other := range m.others {
		other.unconfirmed = false
	}
	becameMember = !m.member
	m.member = true
	return becameMember
}

// markSilent begins to drop the entries that were silent for long, which most entries must agree on.
func (m *Members) markSilent(now time.Time) {
	for _, other := range m.others {
		if other.isSilent(now) {
			other.dropping = true
		}
	}
}

// dropping returns the entries that are being dropped.
func (m *Members) dropping() []Entry {
	var list []Entry
	for e, other := range m.others {
		if other.dropping {
			list = append(list, e)
		}
	}
	slices.Sort(list)
	return list
}

// drop drops those of some entries that are still being dropped.
func (m *Members) drop(entries []Entry) {
	for _, e := range entries {
		if other := m.others[e]; other != nil && other.dropping {
			delete(m.others, e)
		}
	}
}
