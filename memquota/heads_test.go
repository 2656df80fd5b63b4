package memquota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestHeadsStayWithinTheirLimit guards against heads that hold more than the limit together, or than their part of one
// address, and against counts that drift.
func TestHeadsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10_000
		s, now := NewHeads(limit), time.Unix(1000, 0)
		open := make(map[*Head]bool)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			head := NewHead(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")))
			for h := range open {
				if rapid.Bool().Draw(t, "same head") {
					head = h
				}
				break
			}
			open[head] = true
			for _, evicted := range s.Grow(head, now, int64(rapid.IntRange(1, 3000).Draw(t, "bytes"))) {
				delete(open, evicted)
			}
			var total int64
			byAddress, count := make(map[string]int64), make(map[string]int)
			for h := range open {
				total += h.item.Size()
				byAddress[h.address] += h.item.Size()
				count[h.address]++
			}
			if total != s.Held() {
				t.Fatalf("%d bytes are counted, %d held", s.Held(), total)
			}
			if total > limit && len(open) > 1 {
				t.Fatalf("%d bytes are held by %d heads", total, len(open))
			}
			if n := byAddress[head.address]; n > addressFraction*limit && count[head.address] > 1 {
				t.Fatalf("%d bytes are held for one address", n)
			}
		}
		for h := range open {
			s.End(h)
		}
		if s.Held() != 0 || s.open.Addresses() != 0 {
			t.Fatal("bytes are counted that nobody holds")
		}
	})
}

// TestEvictionOfHeads guards against callers that are refused for the heads of others.
func TestEvictionOfHeads(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Given an address that holds nearly all it may", t, func() {
		s := NewHeads(1000)
		greedy := []*Head{NewHead("a"), NewHead("a"), NewHead("a")}
		for i, h := range greedy {
			So(s.Grow(h, start.Add(time.Duration(i)*time.Second), 240), ShouldBeEmpty)
		}
		Convey("the head that holds most for longest goes, not that of the caller who needs room", func() {
			other := NewHead("b")
			So(s.Grow(other, start.Add(5*time.Second), 300), ShouldResemble, greedy[:1])
			So(s.Grow(other, start.Add(5*time.Second), 200), ShouldBeEmpty)
		})
		Convey("its next head takes the room of its own", func() {
			So(s.Grow(NewHead("a"), start.Add(5*time.Second), 100), ShouldResemble, greedy[:1])
		})
	})
	Convey("A head that is alone isn't evicted", t, func() {
		So(NewHeads(1000).Grow(NewHead("a"), start, 5000), ShouldBeEmpty)
	})
	Convey("Old heads end only while memory is short", t, func() {
		s := NewHeads(1000)
		old, young := NewHead("a"), NewHead("b")
		s.Grow(old, start, 400)
		So(s.EndOverdue(start.Add(time.Hour), time.Second), ShouldBeEmpty)
		s.Grow(young, start.Add(time.Hour), 200)
		So(s.EndOverdue(start.Add(time.Hour), time.Second), ShouldResemble, []*Head{old})
		So(s.Held(), ShouldEqual, 200)
	})
}

// BenchmarkEvictionOfHeads measures a byte of a head for which another head must end, among many heads.
func BenchmarkEvictionOfHeads(b *testing.B) {
	for _, heads := range []int{1000, 8000} {
		b.Run(fmt.Sprint(heads), func(b *testing.B) {
			const bytes = 100
			s, now := NewHeads(bytes*int64(heads)*4/3), time.Unix(1000, 0)
			for range heads {
				s.Grow(NewHead("a"), now, bytes)
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Grow(NewHead("a"), now, bytes)
			}
		})
	}
}
