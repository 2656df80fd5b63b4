package ledger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

var start = time.Unix(1_800_000_000, 0)

func claimFor(id string, window time.Duration) action.Claim {
	return action.Claim{ID: action.ClaimID(id), Target: action.Target{Incarnation: "1"}, Expires: start.Add(window)}
}

func queryFor(c action.Claim) action.ResolveQuery {
	return action.ResolveQuery{ClaimID: c.ID, Incarnation: c.Target.Incarnation, Expires: c.Expires}
}

func TestLedger(t *testing.T) {
	Convey("A ledger", t, func() {
		config := DefaultConfig("1")
		config.MaxClaims = 2
		l := New(config)
		c := claimFor("c", time.Minute)
		Convey("runs a claim once and keeps its outcome until it is recorded", func() {
			So(l.Dispatch(start, c).Verdict, ShouldEqual, VerdictRun)
			So(l.Dispatch(start, c).Verdict, ShouldEqual, VerdictRunning)
			l.Finished(start, c.ID, &backend.Reply{Status: 200, Body: []byte("ok")})
			hours := start.Add(5 * time.Hour)
			So(l.Dispatch(hours, c).Verdict, ShouldEqual, VerdictDone)
			So(l.Resolve(hours, queryFor(c)).State, ShouldEqual, action.ResolvedDone)
			So(l.Unrecorded(hours, 9), ShouldHaveLength, 1)
			l.Recorded(hours, c.ID)
			later := hours.Add(time.Minute)
			So(l.Resolve(later, queryFor(c)).State, ShouldEqual, action.ResolvedExpired)
			So(l.Dispatch(later, c).Verdict, ShouldEqual, VerdictUnknown)
			So(l.Unrecorded(later, 9), ShouldBeEmpty)
			So(l.Status(), ShouldResemble, Status{Incarnation: "1"})
		})
		Convey("does not run a claim that it reported as not run", func() {
			So(l.Resolve(start, queryFor(c)).State, ShouldEqual, action.ResolvedNotRun)
			So(l.Dispatch(start, c).Verdict, ShouldEqual, VerdictNotRun)
		})
		Convey("does not run a claim for another incarnation and reports its outcome as unknown", func() {
			other := c
			other.Target.Incarnation = "2"
			So(l.Dispatch(start, other).Reason, ShouldEqual, ReasonIncarnation)
			So(l.Dispatch(start, other).Verdict, ShouldEqual, VerdictNotRun)
			So(l.Dispatch(start, other).Verdict, ShouldEqual, VerdictNotRun)
			So(l.Resolve(start, queryFor(other)).State, ShouldEqual, action.ResolvedUnknown)
		})
		Convey("cannot bar a claim that expires after the maximum window", func() {
			far := claimFor("far", time.Hour)
			So(l.Dispatch(start, far).Verdict, ShouldEqual, VerdictUnknown)
			So(l.Resolve(start, queryFor(far)).State, ShouldEqual, action.ResolvedUnseen)
		})
		Convey("does not run a claim that it refused while full, even later and without a ledger entry for it", func() {
			l.Dispatch(start, claimFor("a", time.Minute))
			l.Dispatch(start, claimFor("b", time.Minute))
			So(l.Dispatch(start, c).Verdict, ShouldEqual, VerdictNotRun)
			for _, id := range []action.ClaimID{"a", "b"} {
				l.Finished(start, id, nil)
				l.Recorded(start, id)
			}
			So(l.Dispatch(start.Add(59*time.Second), c).Verdict, ShouldEqual, VerdictNotRun)
		})
		Convey("returns all outcomes without delay after Abandon, those of running calls as unknown", func() {
			l.Dispatch(start, c)
			l.Dispatch(start, claimFor("done", time.Minute))
			l.Finished(start, "done", &backend.Reply{Status: 200})
			So(l.Unrecorded(start, 9), ShouldBeEmpty)
			l.Abandon(start)
			due := l.Unrecorded(start, 9)
			So(due, ShouldHaveLength, 2)
			replies := map[action.ClaimID]bool{}
			for _, outcome := range due {
				replies[outcome.Claim.ID] = outcome.Reply != nil
			}
			So(replies, ShouldResemble, map[action.ClaimID]bool{"c": false, "done": true})
			l.Finished(start, c.ID, &backend.Reply{Status: 200})
			So(l.Resolve(start, queryFor(c)).State, ShouldEqual, action.ResolvedUnknown)
			So(l.Status().Running, ShouldEqual, 0)
		})
		Convey("refuses new claims while draining and keeps the running ones", func() {
			l.Dispatch(start, c)
			l.Drain()
			So(l.Dispatch(start, claimFor("new", time.Minute)).Reason, ShouldEqual, ReasonDraining)
			So(l.Dispatch(start, c).Verdict, ShouldEqual, VerdictRunning)
		})
	})
}

func BenchmarkDispatch(b *testing.B) {
	for _, held := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			config := DefaultConfig("1")
			config.MaxClaims = 1 << 30
			l := New(config)
			now := start
			gap := time.Minute / time.Duration(held)
			b.ReportAllocs()
			ids := make([]string, b.N+held)
			for i := range ids {
				ids[i] = fmt.Sprintf("claim-%d", i)
			}
			b.ResetTimer()
			for _, id := range ids {
				now = now.Add(gap)
				c := action.Claim{ID: action.ClaimID(id), Target: action.Target{Incarnation: "1"}, Expires: now.Add(time.Minute)}
				l.Dispatch(now, c)
				l.Finished(now, c.ID, nil)
				l.Recorded(now, c.ID)
				l.Unrecorded(now, 8)
			}
		})
	}
}
