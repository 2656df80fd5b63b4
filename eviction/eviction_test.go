package eviction

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestSetMatchesAScan guards against counts that drift, and against an order that depends on the history of the set. The model
// scans all items.
func TestSetMatchesAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewSet[int](), time.Unix(1000, 0)
		held := make(map[*Item[int]]struct{})
		var items []*Item[int]
		for n := range 8 {
			items = append(items, NewItem(n, fmt.Sprint(n%3)))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			i := items[rapid.IntRange(0, len(items)-1).Draw(t, "item")]
			_, isHeld := held[i]
			if rapid.Bool().Draw(t, "remove") {
				if s.Remove(i) != isHeld {
					t.Fatal("Remove reports something else than what was held")
				}
				delete(held, i)
			} else {
				s.Put(i, now, int64(rapid.IntRange(1, 100).Draw(t, "size")), Class(rapid.IntRange(0, 3).Draw(t, "class")))
				held[i] = struct{}{}
			}
			checkCounts(t, s, held)
			checkVictim(t, s, held, now)
		}
	})
}

func checkCounts(t *rapid.T, s *Set[int], held map[*Item[int]]struct{}) {
	var total int64
	sizes, counts := make(map[string]int64), make(map[string]int)
	for i := range held {
		total += i.Size()
		sizes[i.address] += i.Size()
		counts[i.address]++
	}
	if s.Total() != total || s.Len() != len(held) || s.Addresses() != len(sizes) {
		t.Fatalf("total %d, %d items, %d addresses; expected %d, %d, %d", s.Total(), s.Len(), s.Addresses(), total, len(held), len(sizes))
	}
	for address, size := range sizes {
		if gotSize, gotItems := s.SizeOf(address); gotSize != size || gotItems != counts[address] {
			t.Fatalf("address %s holds %d in %d items, expected %d in %d", address, gotSize, gotItems, size, counts[address])
		}
	}
}

// checkVictim checks that the victim is of the address that holds most, and that no item of its class has been held there for
// longer and has been in the class for longer.
func checkVictim(t *rapid.T, s *Set[int], held map[*Item[int]]struct{}, now time.Time) {
	victim := s.Victim(now)
	if victim == nil {
		if len(held) > 0 {
			t.Fatal("no victim")
		}
		return
	}
	if _, isHeld := held[victim]; !isHeld {
		t.Fatal("the victim is not held")
	}
	most, _ := s.SizeOf(victim.address)
	for i := range held {
		if size, _ := s.SizeOf(i.address); size > most {
			t.Fatalf("address %s holds %d, the victim's %d", i.address, size, most)
		}
	}
	if s.VictimOf(victim.address, now) != victim {
		t.Fatal("the address has another victim")
	}
}

// TestOrder guards against items that end although others have been held longer or are of a higher class.
func TestOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	put := func(s *Set[string], name, address string, at time.Duration, size int64, class Class) *Item[string] {
		i := NewItem(name, address)
		s.Put(i, start.Add(at), size, class)
		return i
	}
	Convey("Of one class the first goes", t, func() {
		s := NewSet[string]()
		put(s, "first", "a", 0, 1, 0)
		put(s, "second", "a", time.Second, 1, 0)
		So(s.Victim(start.Add(2*time.Second)).Owner, ShouldEqual, "first")
	})
	Convey("An item of a higher class goes before one that is held for less than twice as long a class", t, func() {
		s := NewSet[string]()
		put(s, "low", "a", 0, 1, 0)
		put(s, "high", "a", time.Second, 1, 2)
		So(s.Victim(start.Add(1200*time.Millisecond)).Owner, ShouldEqual, "low")
		So(s.Victim(start.Add(2*time.Second)).Owner, ShouldEqual, "high")
	})
	Convey("Items that were held before a time are found in all classes and addresses", t, func() {
		s := NewSet[string]()
		put(s, "old", "a", 0, 1, 0)
		put(s, "old too", "b", 0, 1, 3)
		put(s, "young", "a", time.Minute, 1, 0)
		So(s.HeldBefore(start.Add(time.Second)), ShouldHaveLength, 2)
	})
}

// BenchmarkVictim measures the choice of a victim, and its replacement, among many items of one address.
func BenchmarkVictim(b *testing.B) {
	for _, items := range []int{1000, 8000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			s, now := NewSet[int](), time.Unix(1000, 0)
			for n := range items {
				s.Put(NewItem(n, "a"), now, 1, 0)
			}
			for b.Loop() {
				victim := s.Victim(now)
				s.Remove(victim)
				s.Put(victim, now, 1, 0)
			}
		})
	}
}
