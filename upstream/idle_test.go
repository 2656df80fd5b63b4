package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIdleConnectionsAreBounded guards against too many idle connections after requests that each
// need a fresh one. A server with a connection limit resets the connections beyond the limit.
func TestIdleConnectionsAreBounded(t *testing.T) {
	Convey("After requests on fresh connections", t, func() {
		server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			for {
				if _, _, err := readRequest(in); err != nil {
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		kept := func(maxIdle int) int {
			pool := NewPool(Options{})
			defer pool.Close()
			for range DefaultMaxIdle + 4 {
				request := newRequest()
				request.FreshConnection = true
				request.MaxIdle = maxIdle
				response, err := pool.Do(context.Background(), server, request)
				So(err, ShouldBeNil)
				readBody(t, response)
				So(pool.Connect(context.Background(), server, maxIdle), ShouldBeNil)
			}
			return len(pool.idle[server])
		}
		Convey("no more are kept than the request allows", func() { So(kept(3), ShouldEqual, 3) })
		Convey("none is kept with NoIdle", func() { So(kept(NoIdle), ShouldEqual, 0) })
		Convey("the pool's own bound holds as well", func() {
			So(kept(0), ShouldEqual, DefaultMaxIdle)
			So(kept(100), ShouldEqual, DefaultMaxIdle)
		})
	})
}
