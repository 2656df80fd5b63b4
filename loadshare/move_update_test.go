package loadshare

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// Guards against reports on a move that grow with the routes of a service: 24 routes took more than
// 12 KB/s to each peer.
func TestMoveUpdateBytes(t *testing.T) {
	const (
		requestsPerSecond = 60
		reportsPerSecond  = 4
		duration          = 15 * time.Second
		maxBytesPerSecond = 3000
	)
	order := rollout.MoveOrder{Service: "language-model-pool", To: "v2", Duration: duration, Position: storepos.Position{Revision: 123_456}}
	for _, routes := range []int{3, 24, 60} {
		Convey(fmt.Sprintf("Reports on a move with %d routes take at most 3 KB/s, and a peer learns all results from them", routes), t, func() {
			move := rollout.NewServiceMove(start, order, "v1", duration, rollout.ExposureLimits{Share: 0.1, Slack: 50}, true, 0.5)
			peer := rollout.NewServiceMove(start, order, "v1", duration, rollout.ExposureLimits{Share: 0.1, Slack: 50}, true, 0.5)
			sent := 0
			for report := range int(duration.Seconds()) * reportsPerSecond {
				for i := range requestsPerSecond / reportsPerSecond {
					n := report*requestsPerSecond/reportsPerSecond + i
					version := move.From
					if n%10 == 0 {
						version = order.To
					}
					route := rollout.Route(fmt.Sprintf("route-of-tenant-%d", n%routes))
					move.Sent(version)
					move.Answered(version, route, n%7 == 0)
					move.Timed(version, route, n%5 == 0)
				}
				sent += sendUpdate(move, peer)
			}
			bytesPerSecond := float64(sent) / duration.Seconds()
			t.Logf("%d routes: %.0f bytes a second", routes, bytesPerSecond)
			So(bytesPerSecond, ShouldBeLessThanOrEqualTo, maxBytesPerSecond)
			for range 3 {
				sendUpdate(move, peer)
			}
			move.Step(start.Add(duration/2), rollout.FleetView{Rank: 5})
			peer.Step(start.Add(duration/2), rollout.FleetView{Rank: 5})
			So(peer.State(), ShouldEqual, move.State())
		})
	}
}

// sendUpdate sends the next report of a move to a peer and returns the size of the datagram in bytes.
func sendUpdate(move, peer *rollout.ServiceMove) int {
	order := move.Order
	datagram, err := AppendMoveUpdate(nil, 7340, &MoveUpdate{
		Service: order.Service, From: move.From, To: order.To, Duration: order.Duration, Revision: order.Position.Revision,
		Left: order.Duration / 3, Confirmed: true, Source: "1x2y3z4a5b6c7", Report: move.Report(),
	})
	So(err, ShouldBeNil)
	So(IsMoveUpdate(datagram), ShouldBeTrue)
	_, update, err := ParseMoveUpdate(datagram, netip.MustParseAddrPort("127.0.0.1:7340"))
	So(err, ShouldBeNil)
	peer.Merge(time.Unix(1000, 0), update.Source, update.Report)
	return len(datagram)
}
