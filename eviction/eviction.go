// Package eviction decides which of the things that peers make a process hold must end when they exceed a limit.
//
// Set is a deterministic decision type without network, clock or goroutine. It is not safe for concurrent use. Each of its
// operations takes a time that is logarithmic in the number of addresses, and doesn't depend on the number of items.
package eviction

import (
	"container/heap"
	"container/list"
	"time"
)

// Item is one thing that is held for an address. Its zero value is not usable; see NewItem.
type Item[T any] struct {
	// Owner is what the caller keeps the item for.
	Owner   T
	address string
	size    int64
	class   Class
	since   time.Time
	element *list.Element
}

// NewItem returns an item that is in no set.
func NewItem[T any](owner T, address string) *Item[T] {
	return &Item[T]{Owner: owner, address: address}
}

// Size returns the size that is counted for the item.
func (i *Item[T]) Size() int64 { return i.size }

// Since returns when the item was put into its set.
func (i *Item[T]) Since() time.Time { return i.since }

// Class orders items by how readily they end, from 0 to maxClass. An item of one class ends as readily as one of the class
// below it that has been held for twice as long.
type Class int

const maxClass = 62

// Set holds items. Its zero value is not usable; see NewSet.
//
// Invariants: total is the sum of the sizes of all items, and the first of addresses holds most.
type Set[T any] struct {
	total     int64
	count     int
	byAddress map[string]*holder[T]
	addresses largestFirst[T]
}

// NewSet returns an empty set.
func NewSet[T any]() *Set[T] { return &Set[T]{byAddress: make(map[string]*holder[T])} }

// Total returns the size of all items.
func (s *Set[T]) Total() int64 { return s.total }

// Len returns the number of items.
func (s *Set[T]) Len() int { return s.count }

// Addresses returns the number of addresses that hold items.
func (s *Set[T]) Addresses() int { return len(s.addresses) }

// SizeOf returns the size of the items of an address, and their number.
func (s *Set[T]) SizeOf(address string) (size int64, items int) {
	h := s.byAddress[address]
	if h == nil {
		return 0, 0
	}
	return h.size, h.count
}

// Put adds an item, or changes the size and class of one that the set holds.
func (s *Set[T]) Put(i *Item[T], now time.Time, size int64, class Class) {
	class = min(max(class, 0), maxClass)
	h := s.holderOf(i.address)
	if i.element == nil {
		i.since = now
		h.count++
		s.count++
	}
	if i.element == nil || i.class != class {
		h.move(i, class)
	}
	s.resize(h, size-i.size)
	i.size = size
}

// Remove removes an item. It reports whether the set held it.
func (s *Set[T]) Remove(i *Item[T]) bool {
	if i.element == nil {
		return false
	}
	h := s.byAddress[i.address]
	h.take(i)
	h.count--
	s.count--
	s.resize(h, -i.size)
	i.size = 0
	if h.count == 0 {
		heap.Remove(&s.addresses, h.index)
		delete(s.byAddress, i.address)
	}
	return true
}

// Victim returns the item that ends next, of the address that holds most, or nil if the set is empty.
func (s *Set[T]) Victim(now time.Time) *Item[T] {
	if len(s.addresses) == 0 {
		return nil
	}
	return s.addresses[0].victim(now)
}

// VictimOf returns the item of an address that ends next, or nil if it has none.
func (s *Set[T]) VictimOf(address string, now time.Time) *Item[T] {
	h := s.byAddress[address]
	if h == nil {
		return nil
	}
	return h.victim(now)
}

// HeldBefore returns the items that were put into the set before a time.
func (s *Set[T]) HeldBefore(limit time.Time) []*Item[T] {
	var before []*Item[T]
	for _, h := range s.addresses {
		for _, items := range h.classes {
			for e := items.Front(); e != nil; e = e.Next() {
				if i := e.Value.(*Item[T]); i.since.Before(limit) {
					before = append(before, i)
				}
			}
		}
	}
	return before
}

func (s *Set[T]) holderOf(address string) *holder[T] {
	h := s.byAddress[address]
	if h == nil {
		h = &holder[T]{address: address, classes: make(map[Class]*list.List)}
		s.byAddress[address] = h
		heap.Push(&s.addresses, h)
	}
	return h
}

func (s *Set[T]) resize(h *holder[T], n int64) {
	h.size += n
	s.total += n
	heap.Fix(&s.addresses, h.index)
}

// holder is an address with its items.
type holder[T any] struct {
	address string
	size    int64
	count   int
	// classes holds the items of each class in the order in which they came to it. It has no empty lists.
	classes map[Class]*list.List
	// index is the position in the heap of addresses.
	index int
}

// move makes an item the last of a class.
func (h *holder[T]) move(i *Item[T], class Class) {
	if i.element != nil {
		h.take(i)
	}
	items := h.classes[class]
	if items == nil {
		items = list.New()
		h.classes[class] = items
	}
	i.class = class
	i.element = items.PushBack(i)
}

// take removes an item from the list of its class.
func (h *holder[T]) take(i *Item[T]) {
	items := h.classes[i.class]
	items.Remove(i.element)
	i.element = nil
	if items.Len() == 0 {
		delete(h.classes, i.class)
	}
}

// victim returns the item that ends next. It compares the first item of each class only.
func (h *holder[T]) victim(now time.Time) *Item[T] {
	var victim *Item[T]
	var heaviest float64
	for class, items := range h.classes {
		i := items.Front().Value.(*Item[T])
		weight := float64(int64(1)<<class) * float64(now.Sub(i.since)+time.Millisecond)
		isHeavier := weight > heaviest || weight == heaviest && class > victim.class
		if victim == nil || isHeavier {
			victim, heaviest = i, weight
		}
	}
	return victim
}

// largestFirst is a heap of addresses, of which the first holds most.
type largestFirst[T any] []*holder[T]

// Len implements heap.Interface.
func (l largestFirst[T]) Len() int { return len(l) }

// Less implements heap.Interface. Addresses that hold as much are ordered by name, so that a run repeats.
func (l largestFirst[T]) Less(i, j int) bool {
	if l[i].size != l[j].size {
		return l[i].size > l[j].size
	}
	return l[i].address < l[j].address
}

// Swap implements heap.Interface.
func (l largestFirst[T]) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *largestFirst[T]) Push(x any) {
	h := x.(*holder[T])
	h.index = len(*l)
	*l = append(*l, h)
}

// Pop implements heap.Interface.
func (l *largestFirst[T]) Pop() any {
	last := len(*l) - 1
	h := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return h
}
