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
