package quarantine

import "time"

// boundedTimes maps keys to times. When it is full, a new key evicts the oldest one.
type boundedTimes[K comparable] struct {
	times map[K]time.Time
	order []K // ring buffer; once full, the oldest key is at next
	next  int
}

func newBoundedTimes[K comparable](limit int) boundedTimes[K] {
	return boundedTimes[K]{times: make(map[K]time.Time), order: make([]K, 0, limit)}
}

// put stores the later of at and the time of key, and reports whether key was new.
func (b *boundedTimes[K]) put(key K, at time.Time) bool {
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

func (b *boundedTimes[K]) has(key K) bool {
	_, ok := b.times[key]
	return ok
}

// filter removes the keys for which keep returns false.
func (b *boundedTimes[K]) filter(keep func(K) bool) {
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
