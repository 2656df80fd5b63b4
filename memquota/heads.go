package memquota

import "time"

const (
	// addressFraction is the fraction of the limit of Heads that one address may hold.
	addressFraction = 0.75
	// shortFraction is the fraction of the limit of Heads above which memory for them is short.
	shortFraction = 0.5
)

// Head is the head of a request that has not arrived completely. Its zero value has no bytes.
type Head struct {
	address string
	bytes   int64
	// since is when the first bytes arrived.
	since time.Time
}

// NewHead returns a head without bytes, sent from an address.
func NewHead(address string) *Head { return &Head{address: address} }

// weight orders heads for eviction: those that have held most, for longest, go first.
func (h *Head) weight(now time.Time) float64 {
	return float64(h.bytes) * float64(now.Sub(h.since)+time.Millisecond)
}

// Heads bounds the bytes that are held for heads of requests that are not complete, and decides which of them end if there
// are too many. A caller can keep a head incomplete for as long as it likes, so that refusing the next one would leave the
// memory to those who hold it.
//
// Invariants: the heads hold at most limit bytes, and those of one address at most addressFraction of it. Either bound may
// be exceeded by one head that is alone. Heads is a decision type without network, clock or goroutine, and not safe for
// concurrent use.
type Heads struct {
	limit, total int64
	byAddress    map[string]int64
	open         map[*Head]struct{}
}

// NewHeads returns Heads that hold at most limit bytes.
func NewHeads(limit int64) *Heads {
	return &Heads{limit: limit, byAddress: make(map[string]int64), open: make(map[*Head]struct{})}
}

// Held returns the bytes that incomplete heads hold.
func (s *Heads) Held() int64 { return s.total }

// Short reports whether memory for heads is short.
func (s *Heads) Short() bool { return float64(s.total) > shortFraction*float64(s.limit) }

// Grow counts n more bytes of a head. It returns the heads that must end for them and counts those no more. The head
// itself may be among them.
func (s *Heads) Grow(h *Head, now time.Time, n int64) []*Head {
	if h.bytes == 0 {
		h.since = now
	}
	s.open[h] = struct{}{}
	h.bytes += n
	s.total += n
	s.byAddress[h.address] += n
	var evicted []*Head
	for {
		victim := s.victim(now, h.address)
		if victim == nil {
			return evicted
		}
		s.End(victim)
		evicted = append(evicted, victim)
	}
}

// victim returns the head that must end next, or nil. grown is the address whose bytes have grown.
func (s *Heads) victim(now time.Time, grown string) *Head {
	switch {
	case len(s.open) < 2:
		return nil
	case s.total > s.limit:
		return s.heaviest(now, s.largestAddress())
	case float64(s.byAddress[grown]) > addressFraction*float64(s.limit):
		return s.heaviestOfMany(now, grown)
	}
	return nil
}

// largestAddress returns the address that holds most.
func (s *Heads) largestAddress() string {
	var largest string
	for address, bytes := range s.byAddress {
		if bytes > s.byAddress[largest] || bytes == s.byAddress[largest] && address < largest {
			largest = address
		}
	}
	return largest
}

// heaviest returns the head of an address that goes first.
func (s *Heads) heaviest(now time.Time, address string) *Head {
	var heaviest *Head
	for h := range s.open {
		if h.address == address && (heaviest == nil || h.weight(now) > heaviest.weight(now)) {
			heaviest = h
		}
	}
	return heaviest
}

// heaviestOfMany is heaviest, or nil if the address has only one head.
func (s *Heads) heaviestOfMany(now time.Time, address string) *Head {
	heaviest := s.heaviest(now, address)
	if heaviest == nil || heaviest.bytes == s.byAddress[address] {
		return nil
	}
	return heaviest
}

// End counts a head no more, since it is complete or has ended.
func (s *Heads) End(h *Head) {
	if _, isOpen := s.open[h]; !isOpen {
		return
	}
	delete(s.open, h)
	s.total -= h.bytes
	if s.byAddress[h.address] -= h.bytes; s.byAddress[h.address] <= 0 {
		delete(s.byAddress, h.address)
	}
}

// EndOverdue ends the heads whose first bytes arrived longer than limit ago, if memory for heads is short, and returns them.
func (s *Heads) EndOverdue(now time.Time, limit time.Duration) []*Head {
	if !s.Short() {
		return nil
	}
	var overdue []*Head
	for h := range s.open {
		if now.Sub(h.since) > limit {
			overdue = append(overdue, h)
		}
	}
	for _, h := range overdue {
		s.End(h)
	}
	return overdue
}
