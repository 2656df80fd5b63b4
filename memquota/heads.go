package memquota

import (
	"math/bits"
	"time"

	"github.com/wigeonfork/wigeonfork/eviction"
)

const (
	// addressFraction is the fraction of the limit of Heads that one address may hold.
	addressFraction = 0.75
	// shortFraction is the fraction of the limit of Heads above which memory for them is short.
	shortFraction = 0.5
)

// Head is the head of a request that has not arrived completely. Its zero value is not usable; see NewHead.
type Head struct {
	address string
	item    *eviction.Item[*Head]
}

// NewHead returns a head without bytes that is received from an address.
func NewHead(address string) *Head {
	h := &Head{address: address}
	h.item = eviction.NewItem(h, address)
	return h
}

// Heads bounds the bytes that are held for heads of requests that are not complete, and decides which of them end if there
// are too many. It ends heads that are held rather than refuse new ones, since a caller can keep a head incomplete for
// any time. Those that have held most, for longest, end first; sizes count in powers of two.
//
// Invariants: the heads hold at most limit bytes, and those of one address at most addressFraction of it. Either bound may
// be exceeded by one head that is alone. Heads is a decision type without network, clock or goroutine, and not safe for
// concurrent use.
type Heads struct {
	limit int64
	open  *eviction.Set[*Head]
}

// NewHeads returns Heads that hold at most limit bytes.
func NewHeads(limit int64) *Heads {
	return &Heads{limit: limit, open: eviction.NewSet[*Head]()}
}

// Held returns the bytes that incomplete heads hold.
func (hs *Heads) Held() int64 { return hs.open.Total() }

// Short reports whether memory for heads is short.
func (hs *Heads) Short() bool { return float64(hs.Held()) > shortFraction*float64(hs.limit) }

// Grow counts n more bytes of a head. It returns the heads that must end to keep the bounds; their bytes are no longer
// counted. The head itself may be among them.
func (hs *Heads) Grow(h *Head, now time.Time, n int64) []*Head {
	size := h.item.Size() + n
	hs.open.Put(h.item, now, size, eviction.Class(bits.Len64(uint64(size))))
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
	if hs.open.Len() < 2 {
		return nil
	}
	if hs.Held() > hs.limit {
		return hs.open.Victim(now).Owner
	}
	held, heads := hs.open.SizeOf(grown)
	if heads < 2 || float64(held) <= addressFraction*float64(hs.limit) {
		return nil
	}
	return hs.open.VictimOf(grown, now).Owner
}

// End stops counting a head that is complete or has ended. It does nothing if the head is not counted.
func (hs *Heads) End(h *Head) { hs.open.Remove(h.item) }

// EndOverdue ends the heads whose first bytes arrived longer than limit ago, if memory for heads is short, and returns them.
func (hs *Heads) EndOverdue(now time.Time, limit time.Duration) []*Head {
	if !hs.Short() {
		return nil
	}
	var overdue []*Head
	for _, item := range hs.open.HeldBefore(now.Add(-limit)) {
		overdue = append(overdue, item.Owner)
		hs.End(item.Owner)
	}
	return overdue
}
