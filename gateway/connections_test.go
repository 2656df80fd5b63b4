package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// TestIdleConnectionsLeaveCapacityForRequests guards against idle connections using up
// a server's connection limit. Every gateway connects to the last server of a service,
// and each has restarted after a power loss and left its old connections open there.
func TestIdleConnectionsLeaveCapacityForRequests(t *testing.T) {
	for _, gateways := range []int{1, 4, 31, 300} {
		for _, connections := range []int{96, 250, 510} {
			Convey(fmt.Sprintf("%d gateways leave half of %d connections for requests, also after they all restart", gateways, connections), t, func() {
				bound := idleBound(&routetable.Service{MaxConnections: connections}, gateways)
				So(bound, ShouldNotEqual, 0)
				kept := max(0, min(bound, upstream.DefaultMaxIdle)) * gateways
				So(2*kept, ShouldBeLessThanOrEqualTo, connections/2)
			})
		}
	}
	Convey("a service without a connection limit uses the pool's default", t, func() {
		So(idleBound(&routetable.Service{}, 31), ShouldEqual, 0)
		So(idleBound(nil, 31), ShouldEqual, 0)
	})
}
