package retry

// table is a map of bounded size. Entries are evicted by the CLOCK algorithm.
type table[K comparable, V any] struct {
	index   map[K]int
	entries []tableEntry[K, V]
	hand    int
	limit   int
}

type tableEntry[K comparable, V any] struct {
	key        K
	value      V
	referenced bool
}

func newTable[K comparable, V any](limit int) table[K, V] {
	return table[K, V]{index: make(map[K]int), limit: limit}
}

// get returns the value of key, adding a zero value if there is none. The
// pointer is valid until the next get.
func (t *table[K, V]) get(key K) *V {
	i, ok := t.index[key]
	if !ok {
		i = t.allocate()
		t.entries[i] = tableEntry[K, V]{key: key}
		t.index[key] = i
	}
	t.entries[i].referenced = true
	return &t.entries[i].value
}

// allocate returns the index of a free entry. At the limit it evicts one.
func (t *table[K, V]) allocate() int {
	if len(t.entries) < t.limit {
		t.entries = append(t.entries, tableEntry[K, V]{})
		return len(t.entries) - 1
	}
	for t.entries[t.hand].referenced {
		t.entries[t.hand].referenced = false
		t.hand = (t.hand + 1) % len(t.entries)
	}
	i := t.hand
	t.hand = (t.hand + 1) % len(t.entries)
	delete(t.index, t.entries[i].key)
	return i
}
