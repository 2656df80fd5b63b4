package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Guards against a count of refused runs that rises with each look at a run that is kept at a suspected
// server, five times a second.
func TestLookAtKeptRunIsNoRefusal(t *testing.T) {
	Convey("A stream with a quarantined part may not move, and that is not counted as a refusal", t, func() {
		metrics := telemetry.NewRegistry()
		g := New(Options{Host: "h", Domain: "a", Bounds: DefaultBounds(), Log: telemetry.Discard(), Metrics: metrics})
		now := time.Now()
		parts := []quarantine.PartID{7}
		g.partGuard.limiter.MergeQuarantine(now, quarantine.PartQuarantine{Parts: parts, Since: now})
		route := &routetable.Route{Kind: routetable.KindStream, Resumable: true, MaxAttempts: 5}
		s := &streamCall{call: &call{Gateway: g, route: route, service: engines, parts: parts, possibleRuns: 1}}
		So(s.reserveMove(now), ShouldBeFalse)
		So(telemetry.Counter(metrics, "parts.refused").Count(), ShouldEqual, 0)
		s.parts = []quarantine.PartID{8}
		So(s.reserveMove(now), ShouldBeTrue)
	})
}
