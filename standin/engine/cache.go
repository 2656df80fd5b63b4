package engine

import (
	"container/list"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
)

// maxCacheEvents is the number of newest events that are always kept.
const maxCacheEvents = 4096

type cacheEvent struct {
	backend.CacheEvent
	at time.Time
}

type cacheBlock struct {
	hash   uint64
	tokens uint32
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []cacheEvent
	sequence uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// fill caches the first blocks of hashes, at most limit. It returns the number of prompt tokens
// that were cached before.
func (c *prefixCache) fill(hashes []uint64, limit int, now time.Time) uint32 {
	cached := c.lookup(hashes)
	// The last block is touched first, so it is evicted first. Eviction thus shortens prefixes.
	for i := min(len(hashes), limit) - 1; i >= 0; i-- {
		c.touch(cacheBlock{hash: hashes[i], tokens: uint32(i+1) * httpbackend.PrefixBlockTokens}, now)
	}
	for c.order.Len() > limit {
		c.evict(now)
	}
	return cached
}

func (c *prefixCache) lookup(hashes []uint64) uint32 {
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			return uint32(i) * httpbackend.PrefixBlockTokens
		}
	}
	return uint32(len(hashes)) * httpbackend.PrefixBlockTokens
}

func (c *prefixCache) touch(block cacheBlock, now time.Time) {
	if element := c.blocks[block.hash]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[block.hash] = c.order.PushFront(block)
	c.publish(backend.CacheEvent{Prefix: block.hash, Tokens: block.tokens}, now)
}

func (c *prefixCache) evict(now time.Time) {
	element := c.order.Back()
	block := element.Value.(cacheBlock)
	c.order.Remove(element)
	delete(c.blocks, block.hash)
	c.publish(backend.CacheEvent{Prefix: block.hash, Tokens: block.tokens, Removed: true}, now)
}

func (c *prefixCache) publish(event backend.CacheEvent, now time.Time) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, cacheEvent{event, now})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[maxCacheEvents:]...)
	}
}

// eventsSince returns the events after sequence that are at least lag old. It omits those whose
// sequence number is a multiple of gap; 0 omits none.
func (c *prefixCache) eventsSince(sequence uint64, lag time.Duration, gap int, now time.Time) []backend.CacheEvent {
	events := []backend.CacheEvent{}
	for _, event := range c.events {
		dropped := gap > 0 && event.Sequence%uint64(gap) == 0
		if event.Sequence > sequence && !dropped && now.Sub(event.at) >= lag {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

// utilization returns the used fraction of a cache of limit blocks, or 0 without a cache.
func (c *prefixCache) utilization(limit int) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(limit)
}
