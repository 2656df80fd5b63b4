package routing

import (
	"math"
	"time"
)

const holdersPerPrefix = 4

// holder is a server that probably has a prefix cached. confirmedAt is the time
// of the last request or cache event that indicates it.
type holder struct {
	server      int32
	confirmedAt time.Time
}

type prefixEntry struct {
	hash       uint64
	tokens     uint32
	count      uint8
	referenced bool
	holders    [holdersPerPrefix]holder
}

// prefixTable records which servers probably have which prefixes cached. Its
// size is bounded; entries are evicted by the CLOCK algorithm.
type prefixTable struct {
	index   map[uint64]int32
	entries []prefixEntry
	hand    int
	limit   int
}

func newPrefixTable(limit int) prefixTable {
	return prefixTable{index: make(map[uint64]int32), limit: limit}
}

func (t *prefixTable) find(hash uint64) *prefixEntry {
	i, ok := t.index[hash]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// allocate returns the index of a free entry. At the limit it evicts one.
func (t *prefixTable) allocate() int32 {
	if len(t.entries) < t.limit {
		t.entries = append(t.entries, prefixEntry{})
		return int32(len(t.entries) - 1)
	}
	for t.entries[t.hand].referenced {
		t.entries[t.hand].referenced = false
		t.hand = (t.hand + 1) % len(t.entries)
	}
	i := t.hand
	t.hand = (t.hand + 1) % len(t.entries)
	delete(t.index, t.entries[i].hash)
	return int32(i)
}

func (t *prefixTable) add(now time.Time, p Prefix, server int32) {
	entry := t.find(p.Hash)
	if entry == nil {
		i := t.allocate()
		t.entries[i] = prefixEntry{hash: p.Hash, tokens: p.Tokens}
		t.index[p.Hash] = i
		entry = &t.entries[i]
	}
	entry.referenced = true
	entry.addHolder(now, server)
}

func (e *prefixEntry) addHolder(now time.Time, server int32) {
	oldest := 0
	for i := range e.holders[:e.count] {
		if e.holders[i].server == server {
			e.holders[i].confirmedAt = now
			return
		}
		if e.holders[i].confirmedAt.Before(e.holders[oldest].confirmedAt) {
			oldest = i
		}
	}
	if int(e.count) < holdersPerPrefix {
		oldest = int(e.count)
		e.count++
	}
	e.holders[oldest] = holder{server: server, confirmedAt: now}
}

func (e *prefixEntry) removeHolder(server int32) {
	for i := range e.holders[:e.count] {
		if e.holders[i].server == server {
			e.count--
			e.holders[i] = e.holders[e.count]
			return
		}
	}
}

func (t *prefixTable) remove(hash uint64, server int32) {
	if entry := t.find(hash); entry != nil {
		entry.removeHolder(server)
	}
}

// removeServer removes a server, whose cache is lost, from all entries.
func (t *prefixTable) removeServer(server int32) {
	for i := range t.entries {
		t.entries[i].removeHolder(server)
	}
}

// cached returns the length in tokens of the longest of prefixes that is
// probably cached at a server, and that length discounted by the time since it
// was last confirmed.
func (t *prefixTable) cached(now time.Time, prefixes []Prefix, server int32, halfLife time.Duration) (uint32, float64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		entry := t.find(prefixes[i].Hash)
		if entry == nil {
			continue
		}
		for _, h := range entry.holders[:entry.count] {
			if h.server == server {
				weight := math.Exp2(-float64(now.Sub(h.confirmedAt)) / float64(halfLife))
				return entry.tokens, weight * float64(entry.tokens)
			}
		}
	}
	return 0, 0
}
