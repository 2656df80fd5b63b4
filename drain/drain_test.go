package drain

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var grace = Policy{GracePeriod: 8 * time.Second}

func TestAccepts(t *testing.T) {
	stream := func(expected, limit time.Duration) Request {
		return Request{Stream: true, Expected: expected, Limit: limit}
	}
	Convey("A stream is taken at first if it is expected to end in time", t, func() {
		So(grace.Accepts(time.Second, stream(4*time.Second, 25*time.Second)), ShouldBeTrue)
		So(grace.Accepts(time.Second, stream(7*time.Second, 25*time.Second)), ShouldBeFalse)
	})
	Convey("Later it is taken only if its limit ends before the process does", t, func() {
		So(grace.Accepts(3*time.Second, stream(time.Second, 25*time.Second)), ShouldBeFalse)
		So(grace.Accepts(3*time.Second, stream(time.Second, 4*time.Second)), ShouldBeTrue)
		So(grace.Accepts(4*time.Second, stream(time.Second, 4*time.Second)), ShouldBeFalse)
	})
	Convey("A plain request is taken for as long as it surely ends in time", t, func() {
		So(grace.Accepts(6*time.Second, Request{Expected: 100 * time.Millisecond, Limit: time.Second}), ShouldBeTrue)
		So(grace.Accepts(6600*time.Millisecond, Request{Expected: 100 * time.Millisecond, Limit: time.Second}), ShouldBeFalse)
		So(grace.Accepts(5*time.Second, Request{Expected: time.Second, Limit: 20 * time.Second}), ShouldBeFalse)
	})
}

// Guards against requests that come late in the grace period, take longer than expected and are cut without an answer
// by the end of the process, although their callers would have found another.
func TestLateRequestsSurelyEnd(t *testing.T) {
	Convey("Once the balancer sends callers elsewhere, a request is taken only if its limit ends before the process does", t, func() {
		slow := Request{Expected: 60 * time.Millisecond, Limit: 4 * time.Second}
		So(grace.Accepts(2900*time.Millisecond, slow), ShouldBeTrue)
		So(grace.Accepts(3500*time.Millisecond, slow), ShouldBeTrue)
		So(grace.Accepts(3700*time.Millisecond, slow), ShouldBeFalse)
		So(grace.Accepts(3*time.Second, Request{Expected: 60 * time.Millisecond}), ShouldBeFalse)
	})
	Convey("A request that is accepted then ends before the process does, however long it takes", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			since := balancerWait + time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "since"))
			r := Request{
				Stream:   rapid.Bool().Draw(t, "stream"),
				Expected: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "expected")),
				Limit:    time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "limit")),
			}
			if grace.Accepts(since, r) && (r.Limit == 0 || r.Limit > grace.Left(since)) {
				t.Fatalf("%+v is accepted %v after the request to stop", r, since)
			}
		})
	})
}

// TestAcceptedRequestsAreFinished draws requests at any time after the request to stop. It checks that one which is
// accepted later than streamCutoff ends before the process does, if it takes no longer than its limit and, where it
// is plain, than plainFactor times what is expected. Earlier a stream may take what is expected.
func TestAcceptedRequestsAreFinished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		policy := Policy{GracePeriod: duration("grace period", 30*time.Second)}
		since := duration("since", 40*time.Second)
		r := Request{Stream: rapid.Bool().Draw(t, "stream"), Expected: duration("expected", 10*time.Second), Limit: duration("limit", 30*time.Second)}
		if !policy.Accepts(since, r) {
			return
		}
		longest := r.Expected
		if !r.Stream {
			longest = plainFactor * r.Expected
		} else if since > streamCutoff {
			longest = 30 * time.Second
		}
		if r.Limit > 0 {
			longest = min(longest, r.Limit)
		}
		if since+longest > policy.GracePeriod-stopMargin {
			t.Fatalf("%+v is accepted %v after the request to stop, and may take %v", r, since, longest)
		}
	})
}

// TestRefusalsStayRefusals checks that a request which is refused isn't accepted later.
func TestRefusalsStayRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Stream:   rapid.Bool().Draw(t, "stream"),
			Expected: time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "expected")),
			Limit:    time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "limit")),
		}
		since := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "since"))
		later := since + time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
		if !grace.Accepts(since, r) && grace.Accepts(later, r) {
			t.Fatalf("%+v is refused after %v and accepted after %v", r, since, later)
		}
	})
}
