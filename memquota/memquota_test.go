package memquota

import (
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	. "github.com/smartystreets/goconvey/convey"
)

const mebibyte = 1 << 20

// Guards against a count that drifts: it must be that of the open holds at any moment, stay below the limit, and return
// to zero in whatever order holds begin, grow and end, also if a group ends before its holds.
func TestCountIsThatOfTheOpenHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.Int64Range(0, 100*SmallBytes).Draw(t, "limit"))
		groups := []*Group{q.NewGroup(), q.NewGroup(), q.NewGroup()}
		var holds []*Hold
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
				holds = append(holds, rapid.SampledFrom(groups).Draw(t, "group").Begin(kind, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner"))))
			case 3:
				rapid.SampledFrom(groups).Draw(t, "group").End()
			case 4, 5:
				if len(holds) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").End()
				}
			default:
				if len(holds) > 0 {
					_ = rapid.SampledFrom(holds).Draw(t, "hold").Grow(rapid.Int64Range(-5, 4*SmallBytes).Draw(t, "bytes"))
				}
			}
			open := int64(0)
			for _, h := range holds {
				if !h.ended {
					open += h.bytes
				}
			}
			if u := q.Usage(); u.Used != open || u.Used > q.limit || u.Used < 0 || u.Peak < u.Used {
				t.Fatalf("%d bytes are counted of %d, %d are held", u.Used, q.limit, open)
			}
		}
		for _, g := range groups {
			g.End()
		}
		if q.Usage().Used != 0 || q.Owners() != 0 {
			t.Fatalf("%d bytes of %d owners are left", q.Usage().Used, q.Owners())
		}
	})
}

func TestNoOwnerTakesItAll(t *testing.T) {
	Convey("A large answer fits when it is alone", t, func() {
		So(New(20*mebibyte).Begin(ServerAnswer, "i-1").Grow(8*mebibyte), ShouldBeNil)
	})
	Convey("One owner that takes what it gets leaves room for another", t, func() {
		for _, kind := range Kinds() {
			q := New(20 * mebibyte)
			greedy := q.Begin(kind, "greedy")
			for greedy.Grow(mebibyte) == nil {
			}
			So(greedy.bytes, ShouldBeGreaterThanOrEqualTo, 6*mebibyte)
			So(q.Begin(kind, "modest").Grow(mebibyte), ShouldBeNil)
		}
	})
	Convey("Bodies leave room for answers, and both for the parts of streams", t, func() {
		q := New(20 * mebibyte)
		for i := range 1000 {
			_ = q.Begin(CallerBody, fmt.Sprint(i)).Grow(mebibyte / 4)
		}
		So(q.Begin(CallerBody, "last").Grow(mebibyte), ShouldWrap, ErrExceeded)
		So(q.Begin(ServerAnswer, "i-1").Grow(mebibyte), ShouldBeNil)
		for i := range 1000 {
			_ = q.Begin(ServerAnswer, fmt.Sprint(i)).Grow(mebibyte / 4)
		}
		So(q.Begin(StreamPart, "i-2").Grow(mebibyte), ShouldBeNil)
		So(q.Usage().Refused[CallerBody], ShouldBeGreaterThan, 0)
	})
	Convey("Ordinary requests fit beside many that fill what they can", t, func() {
		q := New(20 * mebibyte)
		for i := range 300 {
			greedy := q.Begin(ServerAnswer, fmt.Sprint(i))
			for greedy.Grow(64<<10) == nil {
			}
		}
		for i := range 50 {
			So(q.Begin(CallerBody, "w").Grow(SmallBytes), ShouldBeNil)
			So(q.Begin(ServerAnswer, fmt.Sprint("sound-", i)).Grow(SmallBytes), ShouldBeNil)
		}
	})
	Convey("The owner is told from the others as the cause", t, func() {
		q := New(20 * mebibyte)
		greedy := q.Begin(ServerAnswer, "greedy")
		err := error(nil)
		for err == nil {
			err = greedy.Grow(mebibyte)
		}
		So(err, ShouldEqual, ErrOwnerExceeded)
		So(err, ShouldWrap, ErrExceeded)
		So(q.Begin(ServerAnswer, "sound").Grow(9*mebibyte), ShouldEqual, ErrExceeded)
	})
	Convey("A nil hold is unbounded", t, func() {
		var h *Hold
		So(h.Grow(mebibyte), ShouldBeNil)
		h.End()
	})
}

// Guards against bytes that are counted after their group has ended, by a send that ends later.
func TestHoldsOfAnEndedGroupDontGrow(t *testing.T) {
	Convey("Whatever grows beside the end of its group, nothing is left", t, func() {
		q := New(mebibyte)
		for range 200 {
			g := q.NewGroup()
			var wait sync.WaitGroup
			for i := range 8 {
				wait.Go(func() {
					h := g.Begin(ServerAnswer, fmt.Sprint(i))
					for range 20 {
						_ = h.Grow(10)
					}
				})
			}
			g.End()
			wait.Wait()
			So(q.Usage().Used, ShouldEqual, 0)
		}
	})
}
