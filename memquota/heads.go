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

// NewHead returns a head without bytes that is received from an address.
func NewHead(address string) *Head { return &Head{address: address} }

// weight orders heads for eviction: those that have held most, for longest, go first.
func (h *Head) weight(now time.Time) float64 {
	return float64(h.bytes) * float64(now.Sub(h.since)+time.Millisecond)
}

// Heads bounds the bytes that are held for heads of requests that are not complete, and decides which of them end if there
// are too many. It ends heads that are held rather than refuse new ones, since a caller can keep a head incomplete for
// any time.
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
func (hs *Heads) Held() int64 { return hs.total }

// Short reports whether memory for heads is short.
func (hs *Heads) Short() bool { return float64(hs.total) > shortFraction*float64(hs.limit) }

// Grow counts n more bytes of a head. It returns the heads that must end to keep the bounds; their bytes are no longer
// counted. The head itself may be among them.
func (hs *Heads) Grow(h *Head, now time.Time, n int64) []*Head {
	if h.bytes == 0 {
		h.since = now
	}
	hs.open[h] = struct{}{}
	h.bytes += n
	hs.total += n
	hs.byAddress[h.address] += n
	var evicted []*Head
	for {
		victim := hs.victim(now, h.address)
		if victim == nil {
			return evicted
		}
		hs.End(victim)
		evicted = append(evicted, victim)
	}
}

// victim returns the head that must end next, or nil. grown is the address whose bytes have grown.
func (hs *Heads) victim(now time.Time, grown string) *Head {
	switch {
	case len(hs.open) < 2:
		return nil
	case hs.total > hs.limit:
		return hs.heaviest(now, hs.largestAddress())
	case float64(hs.byAddress[grown]) > addressFraction*float64(hs.limit):
		return hs.heaviestOfMany(now, grown)
	}
	return nil
}

// largestAddress returns the address that holds most.
func (hs *Heads) largestAddress() string {
	var largest string
	for address, bytes := range hs.byAddress {
		if bytes > hs.byAddress[largest] || bytes == hs.byAddress[largest] && address < largest {
			largest = address
		}
	}
	return largest
}

// heaviest returns the head of an address that goes first.
func (hs *Heads) heaviest(now time.Time, address string) *Head {
	var heaviest *Head
	for h := range hs.open {
		if h.address == address && (heaviest == nil || h.weight(now) > heaviest.weight(now)) {
			heaviest = h
		}
	}
	return heaviest
}

// heaviestOfMany is heaviest, or nil if the address has only one head.
func (hs *Heads) heaviestOfMany(now time.Time, address string) *Head {
	heaviest := hs.heaviest(now, address)
	if heaviest == nil || heaviest.bytes == hs.byAddress[address] {
		return nil
	}
	return heaviest
}

// End stops counting a head that is complete or has ended. It does nothing if the head is not counted.
func (hs *Heads) End(h *Head) {
	if _, isOpen := hs.open[h]; !isOpen {
		return
	}
	delete(hs.open, h)
	hs.total -= h.bytes
	if hs.byAddress[h.address] -= h.bytes; hs.byAddress[h.address] <= 0 {
		delete(hs.byAddress, h.address)
	}
}

// EndOverdue ends the heads whose first bytes arrived longer than limit ago, if memory for heads is short, and returns them.
func (hs *Heads) EndOverdue(now time.Time, limit time.Duration) []*Head {
	if !hs.Short() {
		return nil
	}
	var overdue []*Head
	for h := range hs.open {
		if now.Sub(h.since) > limit {
			overdue = append(overdue, h)
		}
	}
	for _, h := range overdue {
		hs.End(h)
	}
	return overdue
}
