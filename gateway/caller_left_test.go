package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/sockpeek"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// serveCallers starts a server as the gateway's that handles each request as a call. It returns the server's address.
func serveCallers(t *testing.T, handle func(*call)) string {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(&call{w: w, r: r}) })}
	newCallerConnections().configure(server)
	account := intake.NewAccount(intake.Limits{}, telemetry.Discard(), telemetry.NewRegistry())
	guard := httpserver.NewGuard(account.Guard(intake.Callers), httpserver.DefaultMaxHead)
	guard.Configure(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// Guards against requests that are sent on long after their callers have left. A gateway that waits for its
// processor gets to them late, and its HTTP server tells of the end of a connection only later still. Here the
// server does not tell at all, since the body of the request is unread.
func TestCallerWhoLeftIsNoticed(t *testing.T) {
	Convey("In a request whose caller has left before it is handled", t, func() {
		type observation struct{ toldByServer, waits bool }
		handled := make(chan observation, 1)
		address := serveCallers(t, func(c *call) {
			conn := httpserver.ConnOf(c.r.Context())
			for end := time.Now().Add(10 * time.Second); sockpeek.Peek(httpserver.Unwrap(conn)) != sockpeek.Ended && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			handled <- observation{toldByServer: c.r.Context().Err() != nil, waits: c.callerWaits()}
		})
		conn, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		So(conn.Close(), ShouldBeNil)
		Convey("the server does not tell so, but the connection does", func() {
			So(<-handled, ShouldResemble, observation{toldByServer: false, waits: false})
		})
	})
	Convey("The caller of a request waits while the connection is open", t, func() {
		handled := make(chan bool, 1)
		address := serveCallers(t, func(c *call) { handled <- c.callerWaits() })
		response, err := http.Get("http://" + address)
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		So(<-handled, ShouldBeTrue)
	})
}
