package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// limited is a server of which the account has limits.
type limited struct {
	address string
	account *intake.Account
	guard   *intake.Guard
	metrics telemetry.Registry
}

const testBodyLimit = 1 << 20

// startLimited starts a server that answers with the size of the request's body once proceed is closed.
func startLimited(limits intake.Limits, proceed <-chan struct{}) *limited {
	return startFor(intake.Callers, limits, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, testBodyLimit)
		if err != nil {
			problem.Write(w, err)
			return
		}
		<-proceed
		fmt.Fprint(w, len(body))
	})
}

// startFor starts a server for a kind of peer.
func startFor(kind intake.Kind, limits intake.Limits, handle http.HandlerFunc) *limited {
	s := &limited{metrics: telemetry.NewRegistry()}
	s.account = intake.NewAccount(limits, s.metrics)
	s.guard = s.account.Guard(kind)
	guard := NewGuard(s.guard, DefaultMaxHead)
	server := New(handle)
	guard.Configure(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.address = listener.Addr().String()
	go server.Serve(guard.Listener(listener))
	Reset(func() { server.Close() })
	return s
}

func (s *limited) dial() (net.Conn, *bufio.Reader) { return dial(s.address) }

func (s *limited) heldBodies() int64 { return s.account.Memory().Usage().ByKind[memquota.CallerBody] }

func upload(announced, sent int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// TestBodiesAreCounted guards against bodies that are bounded each and not together.
func TestBodiesAreCounted(t *testing.T) {
	Convey("Given an account with room for one large body", t, func() {
		s := startLimited(intake.Limits{Memory: 8 << 20}, closedChannel())
		first, in := s.dial()
		fmt.Fprint(first, upload(600_000, 1))
		for s.heldBodies() == 0 {
			time.Sleep(time.Millisecond)
		}
		Convey("a second one is refused as not run, and its client reads so after it has sent all", func() {
			conn, in := s.dial()
			fmt.Fprint(conn, upload(600_000, 600_000))
			response, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(response.Header.Get("Retry-After"), ShouldNotBeEmpty)
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldContainSubstring, string(problem.RunNot))
		})
		Convey("a small one is served", func() {
			conn, in := s.dial()
			fmt.Fprint(conn, upload(1000, 1000))
			So(status(in), ShouldEqual, http.StatusOK)
		})
		Convey("the first is served when it comes, and its room is free then", func() {
			fmt.Fprint(first, strings.Repeat("x", 600_000-1))
			So(status(in), ShouldEqual, http.StatusOK)
			So(s.heldBodies(), ShouldEqual, 0)
		})
	})
	Convey("A body over the limit is refused as too large", t, func() {
		s := startLimited(intake.Limits{}, closedChannel())
		conn, in := s.dial()
		fmt.Fprint(conn, upload(testBodyLimit+1, testBodyLimit+1))
		So(status(in), ShouldEqual, http.StatusRequestEntityTooLarge)
	})
}
