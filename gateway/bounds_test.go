package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// newBoundedGateway returns a gateway that is not started, with bounds under which little is allowed
// and little is read.
func newBoundedGateway() (*Gateway, Bounds) {
	bounds := DefaultBounds()
	bounds.RevokeLimit, bounds.DrainLimit, bounds.ApplyLimit = 5*time.Hour, 2*time.Hour, 2*time.Hour
	bounds.RetryRatio, bounds.RetrySlack = 0, 10
	bounds.ExposureShare, bounds.ExposureSlack = 0, 0
	g := New(Options{Host: "h", Domain: "a", Bounds: bounds, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()})
	return g, bounds
}

// Guards against followers that go on reading at the interval of the old bounds after a change of
// the settings: keys are refused because the configuration is too old, and draining servers get
// requests for too long.
func TestChangedBoundsReachFollowers(t *testing.T) {
	Convey("A follower that waits is due at the interval of the new bounds", t, func() {
		g, bounds := newBoundedGateway()
		followers := []*follower{g.configFollower, g.serversFollower}
		due := make(chan bool, len(followers))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for _, f := range followers {
			f.recordRead(time.Now())
			go func() { due <- f.await(ctx, func() int { return 0 }) }()
		}
		time.Sleep(20 * time.Millisecond)
		bounds.RevokeLimit, bounds.DrainLimit = 250*time.Millisecond, 100*time.Millisecond
		g.SetBounds(bounds)
		for range followers {
			So(<-due, ShouldBeTrue)
		}
	})
}

// Guards against retries beyond, or far below, what the settings allow after they have changed, and
// against a budget that starts anew with each change.
func TestChangedBoundsReachRetryBudgets(t *testing.T) {
	Convey("The budget of a service has the new limits and keeps what was counted", t, func() {
		g, bounds := newBoundedGateway()
		now := time.Now()
		taken := takeAll(g.retryBudgets, now)
		So(taken, ShouldEqual, 8)
		bounds.RetrySlack = 20
		g.SetBounds(bounds)
		So(takeAll(g.retryBudgets, now), ShouldEqual, 8)
		bounds.RetrySlack = 10
		g.SetBounds(bounds)
		So(takeAll(g.retryBudgets, now), ShouldEqual, 0)
		bounds.RetryRatio, bounds.RetryWindow = 1, 20*time.Second
		g.SetBounds(bounds)
		for range 30 {
			g.retryBudgets.recordRequest(now, engines)
		}
		So(takeAll(g.retryBudgets, now), ShouldEqual, 8+24-16)
		So(takeAll(g.retryBudgets, now.Add(15*time.Second)), ShouldEqual, 0)
		So(takeAll(g.retryBudgets, now.Add(25*time.Second)), ShouldEqual, 8)
	})
}

// Guards against a bad version that gets more requests than the settings allow, since they changed
// during its move.
func TestChangedBoundsReachMoves(t *testing.T) {
	Convey("A move under way has the new exposure limits", t, func() {
		g, bounds := newBoundedGateway()
		now := time.Now()
		g.moves.begin(now, moveBegin{order: rollout.MoveOrder{Service: engines, To: "v2", Duration: 10 * time.Second, Position: storepos.Position{Revision: 1}}, left: 10 * time.Second, hasHistory: true, reportedFrom: "v1"})
		g.moves.setEntries(1)
		g.moves.moves[engines].Advance(rollout.StageTrial, "")
		So(g.moves.preference(engines), ShouldResemble, []wigeonfork.Version{"v1"})
		bounds.ExposureSlack = 1000
		g.SetBounds(bounds)
		So(g.moves.preference(engines), ShouldResemble, []wigeonfork.Version{"v2", "v1"})
	})
}
