package loopback

import (
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestReservation(t *testing.T) {
	Convey("A reserved port refuses connections until Listen, and then no other socket can bind it", t, func() {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := first.Addr().String()
		So(first.Close(), ShouldBeNil)
		reserved, err := Reserve(addr)
		So(err, ShouldBeNil)
		_, err = net.Dial("tcp", addr)
		So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
		listener, err := reserved.Listen()
		So(err, ShouldBeNil)
		conn, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
		_, err = net.Listen("tcp", addr)
		So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue)
		So(listener.Close(), ShouldBeNil)
	})
}
