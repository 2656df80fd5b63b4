package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

const engines wigeonfork.Model = "engines"

// takeAll takes retries until the budget is used up and returns their number.
func takeAll(b *retryBudgets, now time.Time) int {
	n := 0
	for b.take(now, engines, true) {
		n++
	}
	return n
}

// TestRetryBudgetAtStart guards against entries that have just started taking more retries
// than the deployment may make, since each took itself for the only entry, or knew nothing
// of the retries before its start.
func TestRetryBudgetAtStart(t *testing.T) {
	const entries = 31
	bounds := DefaultBounds()
	start := time.Unix(1000, 0)
	Convey("Entries that don't know their number yet retry only what their requests earn", t, func() {
		total := 0
		for range entries {
			b := newRetryBudgets(start, bounds)
			total += takeAll(b, start)
		}
		So(total, ShouldEqual, 0)
		b := newRetryBudgets(start, bounds)
		for range 100 {
			b.recordRequest(start, engines)
		}
		So(takeAll(b, start), ShouldEqual, int(100*bounds.RetryRatio*budgetFraction))
	})
	Convey("An entry that restarts while the others have used the slack adds no more than its part", t, func() {
		running := newRetryBudgets(start, bounds)
		running.setEntries(entries, entries)
		now := start.Add(bounds.RetryWindow)
		total := takeAll(running, now)
		restarted := newRetryBudgets(now, bounds)
		restarted.setEntries(entries, entries)
		total += takeAll(restarted, now)
		So(total, ShouldBeLessThanOrEqualTo, int(bounds.RetrySlack))
		So(total, ShouldBeGreaterThanOrEqualTo, int(bounds.RetrySlack*budgetFraction))
	})
	Convey("After a whole window an entry uses the slack of all that report to it", t, func() {
		b := newRetryBudgets(start, bounds)
		b.setEntries(entries, entries)
		So(takeAll(b, start.Add(bounds.RetryWindow)), ShouldEqual, int(bounds.RetrySlack*budgetFraction))
	})
}
