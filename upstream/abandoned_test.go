package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/infra"
)

// countRequests starts a server that answers each request, and counts them.
func countRequests(t *testing.T) (Server, *atomic.Int32) {
	var requests atomic.Int32
	server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for {
			if _, _, err := readRequest(in); err != nil {
				return
			}
			requests.Add(1)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	return server, &requests
}

// lateTimer is a context whose deadline has passed and whose timer has not fired yet, as in a process that waits for
// a processor.
type lateTimer struct{ context.Context }

func (lateTimer) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestAbandonedRequestsAreNotSent guards against requests that reach servers long after their callers have left: in a
// busy process much time passes between the decision to send and the write.
func TestAbandonedRequestsAreNotSent(t *testing.T) {
	cases := map[string]struct {
		ctx    context.Context
		wanted bool
	}{
		"the deadline has passed":    {lateTimer{context.Background()}, true},
		"the caller waits no longer": {context.Background(), false},
		"both":                       {lateTimer{context.Background()}, false},
	}
	for name, c := range cases {
		Convey("No byte is sent if "+name, t, func() {
			server, requests := countRequests(t)
			pool := NewPool(Options{})
			defer pool.Close()
			So(pool.Connect(context.Background(), server, 0), ShouldBeNil)
			request := newRequest()
			request.Wanted = func() bool { return c.wanted }
			_, err := pool.Do(c.ctx, server, request)
			So(errors.Is(err, ErrAbandoned), ShouldBeTrue)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			Convey("and the next request uses the connection", func() {
				response, err := pool.Do(context.Background(), server, newRequest())
				So(err, ShouldBeNil)
				So(response.Reused, ShouldBeTrue)
				So(readBody(t, response), ShouldEqual, "ok")
				So(requests.Load(), ShouldEqual, 1)
			})
		})
	}
	Convey("A connection that is not open by the end of the context says nothing about the server", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server, _ := countRequests(t)
		_, err := NewPool(Options{}).Do(ctx, server, newRequest())
		So(errors.Is(err, ErrAbandoned), ShouldBeTrue)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
	})
}

// TestAbortedRequestsAreDiscarded guards against requests that reach a server after they were given up, since the
// system goes on sending what was written to a connection before that was closed.
func TestAbortedRequestsAreDiscarded(t *testing.T) {
	Convey("A server that reads late doesn't get a request that was given up before", t, func() {
		const bodyBytes = 256 << 10
		given := make(chan struct{})
		read := make(chan error, 1)
		server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			<-given
			_, _, err := readRequest(in)
			read <- err
		})
		request := newRequest()
		request.Method, request.HasBody, request.Body = "POST", true, []byte(strings.Repeat("x", bodyBytes))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := NewPool(Options{}).Do(ctx, server, request)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
		close(given)
		So(<-read, ShouldNotBeNil)
	})
}
