package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/routetable"
)

// Guards against callers' connections that are closed although the configuration allows them to be
// idle for longer, and against ones that are kept for ever.
func TestIdleCallerConnections(t *testing.T) {
	Convey("Given connections that are new, idle, and active", t, func() {
		c := newCallerConnections()
		start := time.Unix(1000, 0)
		var conns []net.Conn
		for range 3 {
			conn, other := net.Pipe()
			Reset(func() { _, _ = conn.Close(), other.Close() })
			conns = append(conns, conn)
			c.observe(start, conn, http.StateNew)
		}
		c.observe(start, conns[1], http.StateActive)
		c.observe(start.Add(time.Minute), conns[1], http.StateIdle)
		c.observe(start, conns[2], http.StateActive)
		none := routetable.Limits{}
		long := routetable.Limits{IdleTimeout: 10 * time.Minute, HeaderTimeout: time.Minute}
		Convey("those that wait for a request expire after the default limits", func() {
			So(c.expired(start.Add(125*time.Second), none), ShouldBeEmpty)
			So(c.expired(start.Add(126*time.Second), none), ShouldResemble, conns[:1])
			So(c.expired(start.Add(time.Hour), none), ShouldHaveLength, 2)
		})
		Convey("those of a configuration that allows more time expire later", func() {
			So(c.expired(start.Add(11*time.Minute), long), ShouldBeEmpty)
			So(c.expired(start.Add(11*time.Minute+time.Second), long), ShouldResemble, conns[:1])
		})
		Convey("short limits don't close connections early", func() {
			So(c.expired(start.Add(125*time.Second), routetable.Limits{IdleTimeout: time.Millisecond}), ShouldBeEmpty)
		})
		Convey("closed ones are forgotten", func() {
			for _, conn := range conns {
				c.observe(start, conn, http.StateClosed)
			}
			So(c.waitingSince, ShouldBeEmpty)
		})
	})
}
