package retry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func origin(workspace, caller int) Origin {
	return Origin{Workspace: wigeonfork.Workspace(fmt.Sprint("w", workspace)), Caller: fmt.Sprint("c", caller)}
}

func TestBudgets(t *testing.T) {
	Convey("The loss of a failure domain with 10,000 requests causes no retry storm", t, func() {
		b := NewBudgets(Options{Seed: 1})
		allowed, denied := 0, map[Level]int{}
		after := map[time.Duration]bool{}
		for n := range 10_000 {
			d := b.Take(start, origin(n%10, n))
			if d.Allowed {
				allowed++
				continue
			}
			denied[d.Denied]++
			after[d.RetryAfter] = true
		}
		So(allowed, ShouldEqual, int(DefaultOverall.Burst))
		So(denied[LevelOverall]+denied[LevelWorkspace], ShouldEqual, 10_000-allowed)
		So(len(after), ShouldBeGreaterThan, 1000)
	})
	Convey("One caller or workspace does not exhaust the budget of others", t, func() {
		b := NewBudgets(Options{})
		for range 50 {
			b.Take(start, origin(1, 1))
		}
		So(b.Take(start, origin(1, 1)).Denied, ShouldEqual, LevelCaller)
		So(b.Take(start, origin(1, 2)).Allowed, ShouldBeTrue)
		for n := range 50 {
			b.Take(start, origin(1, n))
		}
		So(b.Take(start, origin(1, 60)).Denied, ShouldEqual, LevelWorkspace)
		So(b.Take(start, origin(2, 60)).Allowed, ShouldBeTrue)
	})
	Convey("In steady state the retries are a tenth of the successes", t, func() {
		b := NewBudgets(Options{})
		for n := range 1000 {
			b.Take(start, origin(n%20, n))
		}
		allowed := 0
		for n := range 1000 {
			b.Succeeded(start, origin(n%20, n))
			if b.Take(start, origin(n%20, n)).Allowed {
				allowed++
			}
		}
		So(allowed, ShouldBeBetweenOrEqual, 90, 101)
	})
	Convey("Callers and workspaces beyond the bound are evicted", t, func() {
		b := NewBudgets(Options{MaxCallers: 10, MaxWorkspaces: 5})
		for n := range 1000 {
			b.Take(start, origin(n, n))
		}
		So(len(b.callers.index), ShouldEqual, 10)
		So(len(b.workspaces.index), ShouldEqual, 5)
	})
}

// TestBudgetsNeverExceedEarnedAttempts checks that attempts never exceed the
// credit from successes and elapsed time, in any order of calls.
func TestBudgetsNeverExceedEarnedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Ratio: 0.25, PerSecond: 0.5, Burst: 4}
		b := NewBudgets(Options{Caller: limit, Workspace: limit, Overall: limit})
		now, earned, taken := start, limit.Burst, 0.0
		var latest time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(-200, 800).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			if latest.IsZero() {
				latest = now
			}
			if now.After(latest) {
				earned += now.Sub(latest).Seconds() * limit.PerSecond
				latest = now
			}
			if rapid.Bool().Draw(t, "success") {
				b.Succeeded(now, origin(0, 0))
				earned += limit.Ratio
			} else if b.Take(now, origin(0, 0)).Allowed {
				taken++
			}
			if taken > earned+1e-9 {
				t.Fatalf("%v attempts, %v earned", taken, earned)
			}
		}
	})
}

func TestRamp(t *testing.T) {
	Convey("After an outage the rate starts low, doubles and is then unlimited", t, func() {
		r := NewRamp(10, 80, time.Second)
		So(r.Allow(start), ShouldBeTrue)
		r.BeginOutage()
		So(r.Allow(start), ShouldBeFalse)
		r.EndOutage(start)
		perSecond := func(second int) int {
			n := 0
			for ms := range 1000 {
				if r.Allow(start.Add(time.Duration(1000*second+ms) * time.Millisecond)) {
					n++
				}
			}
			return n
		}
		So(perSecond(0), ShouldBeBetweenOrEqual, 9, 11)
		So(perSecond(1), ShouldBeBetweenOrEqual, 19, 21)
		So(perSecond(2), ShouldBeBetweenOrEqual, 39, 41)
		So(perSecond(3), ShouldEqual, 1000)
	})
}

func TestBackoff(t *testing.T) {
	Convey("Delays grow, are bounded and differ between seeds", t, func() {
		a, b := NewBackoff(1, time.Second, 8*time.Second), NewBackoff(2, time.Second, 8*time.Second)
		differ := 0
		for n := 1; n < 100; n++ {
			x, y := a.After(n), b.After(n)
			So(x, ShouldBeBetween, time.Second/2, 12*time.Second)
			if x != y {
				differ++
			}
		}
		So(differ, ShouldBeGreaterThan, 90)
		So(a.After(1), ShouldBeLessThan, 1500*time.Millisecond)
		So(a.After(9), ShouldBeGreaterThan, 4*time.Second)
	})
}

func TestJoiner(t *testing.T) {
	Convey("A resend joins the request in flight", t, func() {
		j := NewJoiner(3, time.Minute)
		key := Key{Workspace: "w", Caller: "c", Fingerprint: [16]byte{1}}
		So(j.Offer(start, key, "r1"), ShouldResemble, JoinDecision{Leader: "r1"})
		So(j.Offer(start, key, "r2"), ShouldResemble, JoinDecision{Leader: "r1", Resend: true})
		other := key
		other.Caller = "d"
		So(j.Offer(start, other, "r3").Resend, ShouldBeFalse)
		Convey("until it ends", func() {
			j.Finished("r2")
			So(j.Offer(start, key, "r4").Leader, ShouldEqual, wigeonfork.RequestID("r1"))
			j.Finished("r1")
			So(j.Offer(start, key, "r4").Resend, ShouldBeFalse)
		})
		Convey("or has expired, and the end of the old one does not end the new one", func() {
			later := start.Add(time.Minute)
			So(j.Offer(later, key, "r4").Leader, ShouldEqual, wigeonfork.RequestID("r4"))
			j.Finished("r1")
			So(j.Offer(later, key, "r5").Leader, ShouldEqual, wigeonfork.RequestID("r4"))
		})
		Convey("by idempotency key, whatever the fingerprint", func() {
			first := Key{Workspace: "w", Caller: "c", Idempotency: "k", Fingerprint: [16]byte{2}}
			second := first
			second.Fingerprint = [16]byte{3}
			j.Offer(start, first, "r6")
			So(j.Offer(start, second, "r7").Leader, ShouldEqual, wigeonfork.RequestID("r6"))
		})
		Convey("and the number of tracked requests is bounded", func() {
			for n := range 100 {
				j.Offer(start, Key{Idempotency: fmt.Sprint(n)}, wigeonfork.RequestID(fmt.Sprint(n)))
			}
			So(j.Len(), ShouldEqual, 3)
			So(len(j.keys), ShouldEqual, 3)
		})
	})
}

func BenchmarkTake(b *testing.B) {
	for _, callers := range []int{100, 3300, 16384} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			budgets := NewBudgets(Options{})
			origins := make([]Origin, callers)
			for n := range origins {
				origins[n] = origin(n%100, n)
			}
			b.ReportAllocs()
			for n := range b.N {
				budgets.Succeeded(start, origins[n%callers])
				budgets.Take(start, origins[n%callers])
			}
		})
	}
}
