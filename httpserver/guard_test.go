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
	s.account = intake.NewAccount(limits, telemetry.Discard(), s.metrics)
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

func (s *limited) awaitUsage(usage intake.Usage) {
	for end := time.Now().Add(patience); s.guard.Usage() != usage; time.Sleep(time.Millisecond) {
		So(time.Now(), ShouldHappenBefore, end)
	}
}

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

// TestConnectionsGiveWay guards against clients that are refused for the connections of others on which nothing comes, and
// against requests that are cut for them.
func TestConnectionsGiveWay(t *testing.T) {
	// 32 descriptors give callers 16 connections.
	const most = 16
	limits := intake.Limits{Descriptors: 2 * most}
	for name, sent := range map[string]string{"nothing": "", "a part of a head": "GET /x HT", "a part of a body": upload(1000, 10)} {
		Convey("While all connections have sent "+name+", others are served", t, func() {
			s := startLimited(limits, closedChannel())
			for range 3 * most {
				conn, _ := s.dial()
				fmt.Fprint(conn, sent)
			}
			conn, in := s.dial()
			fmt.Fprint(conn, upload(10, 10))
			So(status(in), ShouldEqual, http.StatusOK)
			So(s.guard.Usage().Open, ShouldBeLessThanOrEqualTo, most)
			So(telemetry.Counter(s.metrics, "connections.closed_callers").Count(), ShouldBeGreaterThan, 0)
		})
	}
	Convey("A connection whose request runs is not closed for others, and counts again once it is idle", t, func() {
		proceed := make(chan struct{})
		s := startLimited(limits, proceed)
		conn, in := s.dial()
		fmt.Fprint(conn, upload(10, 10))
		s.awaitUsage(intake.Usage{Open: 1})
		for range 3 * most {
			s.dial()
		}
		s.awaitUsage(intake.Usage{Open: most, Waiting: most - 1})
		close(proceed)
		So(status(in), ShouldEqual, http.StatusOK)
		s.awaitUsage(intake.Usage{Open: most, Waiting: most})
		fmt.Fprint(conn, upload(10, 10))
		So(status(in), ShouldEqual, http.StatusOK)
	})
	Convey("Connections that their clients close are no longer counted", t, func() {
		s := startLimited(limits, closedChannel())
		conn, _ := s.dial()
		s.awaitUsage(intake.Usage{Open: 1, Waiting: 1})
		conn.Close()
		s.awaitUsage(intake.Usage{})
	})
}

// TestUnreadAnswersGiveWay guards against clients that send requests and read no answers, so that their connections serve for ever
// and others get none.
func TestUnreadAnswersGiveWay(t *testing.T) {
	answer := strings.Repeat("x", 64<<10)
	for kind, handle := range map[intake.Kind]http.HandlerFunc{
		// The answers are blocked after their handlers have returned.
		intake.Callers: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "refused") },
		// The handlers are blocked.
		intake.Collectors: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, answer) },
	} {
		Convey("Others are served at the listener for "+string(kind), t, func() {
			// Callers get 16 connections of 32 descriptors, and each kind gets 16 at least.
			s := startFor(kind, intake.Limits{Descriptors: 32}, handle)
			for range 40 {
				conn, _ := s.dial()
				sendUnread(conn)
			}
			conn, in := s.dial()
			fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			So(status(in), ShouldEqual, http.StatusOK)
		})
	}
}

// sendUnread sends requests until the server reads no more of them, or has closed the connection.
func sendUnread(conn net.Conn) {
	requests := strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 1000)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := io.WriteString(conn, requests); err != nil {
			return
		}
	}
}
