package quarantine

import "time"

// bounded is a map from keys to times that forgets its oldest entries.
type bounded[K comparable] struct {
	times map[K]time.Time
	order []K // ring of keys in order of entry
	next  int
}

func newBounded[K comparable](limit int) bounded[K] {
	return bounded[K]{times: make(map[K]time.Time), order: make([]K, 0, limit)}
}

// put records key at a time and tells whether it was new.
func (b *bounded[K]) put(key K, at time.Time) bool {
	if old, known := b.times[key]; known {
		if at.After(old) {
			b.times[key] = at
		}
		return false
	}
	if len(b.order) < cap(b.order) {
		b.order = append(b.order, key)
	} else {
		delete(b.times, b.order[b.next])
		b.order[b.next] = key
		b.next = (b.next + 1) % len(b.order)
	}
	b.times[key] = at
	return true
}

func (b *bounded[K]) has(key K) bool {
	_, ok := b.times[key]
	return ok
}

// filter keeps the entries that keep accepts.
func (b *bounded[K]) filter(keep func(K) bool) {
	kept := make([]K, 0, cap(b.order))
	for i := range b.order {
		key := b.order[(b.next+i)%len(b.order)]
		if keep(key) {
			kept = append(kept, key)
		} else {
			delete(b.times, key)
		}
	}
	b.order, b.next = kept, 0
}
