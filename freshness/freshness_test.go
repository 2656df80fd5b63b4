package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = Instant(time.Millisecond)

func TestBound(t *testing.T) {
	Convey("Without an observation there is no age", t, func() {
		_, valid := new(Bound).Age(100 * ms)
		So(valid, ShouldBeFalse)
	})
	Convey("A call that waited at the store counts from the time of its response", t, func() {
		var b Bound
		b.Observe(1000*ms, 1010*ms, 50*time.Millisecond)
		b.Observe(1010*ms, 3020*ms, 2065*time.Millisecond)
		age, valid := b.Age(3020 * ms)
		So(valid, ShouldBeTrue)
		So(age, ShouldEqual, 5*time.Millisecond)
	})
	Convey("A peer report counts from the time of the store in it, however late it arrives", t, func() {
		var b Bound
		b.ObservePeer(9999 * time.Millisecond)
		_, valid := b.Age(5000 * ms)
		So(valid, ShouldBeFalse)
		b.Observe(1000*ms, 1010*ms, 50*time.Millisecond)
		b.ObservePeer(550 * time.Millisecond)
		age, _ := b.Age(9000 * ms)
		So(age, ShouldEqual, 7500*time.Millisecond)
	})
}

// TestBoundNeverUnderstatesAge draws calls with arbitrary delays of requests and replies. It
// checks that the age is never less than that of the newest observed state.
func TestBoundNeverUnderstatesAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storeOffset := time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "clock difference"))
		var b Bound
		now, newest := Instant(10*time.Second), Instant(0)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			requestDelay := Instant(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "request delay"))
			replyDelay := Instant(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "reply delay"))
			answered := now + requestDelay
			newest = max(newest, answered)
			storeNow := time.Duration(answered) + storeOffset
			if rapid.Bool().Draw(t, "reported by a peer") {
				b.ObservePeer(storeNow)
			} else {
				b.Observe(now, answered+replyDelay, storeNow)
			}
			now = answered + replyDelay
			if age, valid := b.Age(now); valid && age < time.Duration(now-newest) {
				t.Fatalf("age %v is less than that of the newest state, %v", age, time.Duration(now-newest))
			}
		}
	})
}
