package upstream

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIdleConnectionsOfAllServers guards against a process whose descriptors are used up by connections that it keeps to many
// servers.
func TestIdleConnectionsOfAllServers(t *testing.T) {
	Convey("Given a pool that keeps two connections, and three servers", t, func() {
		p := NewPool(Options{MaxIdleTotal: 2})
		Reset(p.Close)
		var servers []Server
		for range 3 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { listener.Close() })
			servers = append(servers, Server{Address: listener.Addr().String()})
		}
		connect := func(s Server) { So(p.Connect(context.Background(), s, 0), ShouldBeNil) }
		for _, s := range servers {
			connect(s)
		}
		Convey("it keeps no third one", func() {
			So(p.take(servers[2]), ShouldBeNil)
		})
		Convey("one that is in use, closed or expired makes room", func() {
			taken := p.take(servers[0])
			So(taken, ShouldNotBeNil)
			Reset(func() { closeConn(taken) })
			connect(servers[2])
			So(p.idleTotal, ShouldEqual, 2)
			p.CloseIdle(servers[1])
			So(p.idleTotal, ShouldEqual, 1)
			p.Close()
			So(p.idleTotal, ShouldEqual, 0)
			connect(servers[0])
			So(p.idleTotal, ShouldEqual, 1)
		})
	})
}
