package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/sockpeek"
)

// Guards against requests that are sent on long after their callers have left. A gateway that waits for its
// processor gets to them late, and its HTTP server tells of the end of a connection only later still. Here the
// server does not tell at all, since the body of the request is unread.
func TestCallerWhoLeftIsNoticed(t *testing.T) {
	Convey("In a request whose caller has left before it is handled", t, func() {
		type observation struct{ toldByServer, waits bool }
		handled := make(chan observation, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{w: w, r: r}
			conn := r.Context().Value(callerConnKey{}).(net.Conn)
			for end := time.Now().Add(10 * time.Second); sockpeek.Peek(conn) != sockpeek.Ended && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			handled <- observation{toldByServer: r.Context().Err() != nil, waits: c.callerWaits()}
		})}
		newCallerConnections().configure(server)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		conn, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		So(conn.Close(), ShouldBeNil)
		seen := <-handled
		Convey("the server does not tell so, but the connection does", func() {
			So(seen, ShouldResemble, observation{toldByServer: false, waits: false})
		})
	})
	Convey("The caller of a request waits while the connection is open", t, func() {
		handled := make(chan bool, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled <- (&call{w: w, r: r}).callerWaits()
		})}
		newCallerConnections().configure(server)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		response, err := http.Get("http://" + listener.Addr().String())
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		So(<-handled, ShouldBeTrue)
	})
}
