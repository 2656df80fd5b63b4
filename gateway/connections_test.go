package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// The load of a service whose last server is met by every gateway, each of which
// was started anew after a loss of power and has left its connections open.
func TestIdleConnectionsLeaveCapacityForRequests(t *testing.T) {
	for _, gateways := range []int{1, 4, 31, 300} {
		for _, connections := range []int{96, 250, 510} {
			Convey(fmt.Sprintf("%d gateways leave half of %d connections to requests, also after a loss of them all", gateways, connections), t, func() {
				bound := idleBound(&routetable.Service{MaxConnections: connections}, gateways)
				So(bound, ShouldNotEqual, 0)
				kept := max(0, min(bound, upstream.DefaultMaxIdle)) * gateways
				So(2*kept, ShouldBeLessThanOrEqualTo, connections/2)
			})
		}
	}
	Convey("a service without a bound takes the pool's", t, func() {
		So(idleBound(&routetable.Service{}, 31), ShouldEqual, 0)
		So(idleBound(nil, 31), ShouldEqual, 0)
	})
}
