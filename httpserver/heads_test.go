package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// patience bounds each wait for something that must come about.
const patience = 20 * time.Second

// guarded is a server with a Guard.
type guarded struct {
	address string
	guard   *Guard
	quota   *memquota.Quota
	maxHead atomic.Int64
	refused chan intake.Refusal
}

func startGuarded(quotaBytes, incomplete int64) *guarded {
	g := &guarded{quota: memquota.New(quotaBytes), refused: make(chan intake.Refusal, 100)}
	g.maxHead.Store(16 << 10)
	account := intake.NewAccount(intake.Limits{}, telemetry.Discard(), telemetry.NewRegistry())
	g.guard = newGuard(account.Guard(intake.Callers), g.quota, incomplete, g.maxHead.Load)
	g.guard.onRefused = func(r intake.Refusal, _ string) { g.refused <- r }
	server := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) }))
	server.ReadHeaderTimeout = 0
	g.guard.Configure(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	g.address = listener.Addr().String()
	go server.Serve(g.guard.Listener(listener))
	Reset(func() { server.Close() })
	return g
}

func (g *guarded) dial() (net.Conn, *bufio.Reader) { return dial(g.address) }

// dial connects to a server until the end of the test.
func dial(address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	So(conn.SetDeadline(time.Now().Add(patience)), ShouldBeNil)
	Reset(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func (g *guarded) awaitHeld(reached func(bytes int64) bool) {
	for end := time.Now().Add(patience); !reached(g.quota.Usage().ByKind[memquota.CallerHead]); time.Sleep(time.Millisecond) {
		So(time.Now(), ShouldHappenBefore, end)
	}
}

// request returns a request whose head has size bytes.
func request(size int) string {
	const first = "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: "
	return first + strings.Repeat("x", size-len(first)-4) + "\r\n\r\n"
}

func status(in *bufio.Reader) int {
	response, err := http.ReadResponse(in, nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode
}

func zero(bytes int64) bool { return bytes == 0 }

// readsOn sends an upload behind a head that is too large, and reads the answer only then.
func (g *guarded) readsOn(bytes int) int {
	conn, in := g.dial()
	fmt.Fprint(conn, request(40_000))
	_, err := io.CopyN(conn, zeros{}, int64(bytes))
	So(err, ShouldBeNil)
	return status(in)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestGuardedHeads guards against heads that nothing counts, and against guarded connections on which sound requests fail.
func TestGuardedHeads(t *testing.T) {
	Convey("Requests on a kept connection are served, those in one packet too, and hold nothing afterwards", t, func() {
		g := startGuarded(1<<20, 1<<18)
		conn, in := g.dial()
		for range 3 {
			fmt.Fprint(conn, request(16<<10), request(100), request(5000))
			for range 3 {
				So(status(in), ShouldEqual, http.StatusOK)
			}
		}
		g.awaitHeld(zero)
		So(g.guard.Incomplete(), ShouldEqual, 0)
	})
	Convey("An incomplete head is counted from its first byte until its caller leaves", t, func() {
		g := startGuarded(1<<20, 1<<18)
		conn, _ := g.dial()
		fmt.Fprint(conn, "G")
		g.awaitHeld(func(bytes int64) bool { return bytes > 0 })
		conn.Close()
		g.awaitHeld(zero)
	})
	Convey("A head over the limit gets 431, also if it has no end, by the limit of the moment", t, func() {
		g := startGuarded(4<<20, 1<<20)
		conn, in := g.dial()
		_, _ = io.WriteString(conn, request(100_000))
		So(status(in), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		So(<-g.refused, ShouldEqual, HeadTooLarge)
		conn, in = g.dial()
		_, _ = io.WriteString(conn, "GET /"+strings.Repeat("x", 21_000))
		So(status(in), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		g.maxHead.Store(200_000)
		conn, in = g.dial()
		fmt.Fprint(conn, request(200_000))
		So(status(in), ShouldEqual, http.StatusOK)
		g.awaitHeld(zero)
	})
	Convey("A refusal reaches a caller that sends its whole body first", t, func() {
		So(startGuarded(4<<20, 1<<20).readsOn(8<<20), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	Convey("Empty lines before a request are refused", t, func() {
		g := startGuarded(1<<20, 1<<18)
		conn, in := g.dial()
		_, _ = io.WriteString(conn, strings.Repeat("\r\n", 1000))
		So(status(in), ShouldEqual, http.StatusBadRequest)
	})
	Convey("While incomplete heads hold all they may", t, func() {
		g := startGuarded(1<<20, 100_000)
		slow := make([]*bufio.Reader, 10)
		for i := range slow {
			conn, in := g.dial()
			slow[i] = in
			fmt.Fprint(conn, strings.TrimSuffix(request(10_000), "\r\n\r\n"))
		}
		So(<-g.refused, ShouldEqual, HeadEvicted)
		Convey("whoever is refused is told that the request has not run", func() {
			statuses := make(chan int, len(slow))
			for _, in := range slow {
				go func() {
					if response, err := http.ReadResponse(in, nil); err == nil {
						statuses <- response.StatusCode
					}
				}()
			}
			So(<-statuses, ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("others are served, whose heads are smaller and younger", func() {
			for range 10 {
				conn, in := g.dial()
				fmt.Fprint(conn, request(4000))
				So(status(in), ShouldEqual, http.StatusOK)
			}
		})
		Convey("slow ones are ended with 408", func() {
			g.guard.EndOverdue(time.Now().Add(time.Minute), time.Second)
			for g.guard.Incomplete() > 50_000 {
				time.Sleep(time.Millisecond)
				g.guard.EndOverdue(time.Now().Add(time.Minute), time.Second)
			}
			reason := <-g.refused
			for reason == HeadEvicted {
				reason = <-g.refused
			}
			So(reason, ShouldEqual, HeadTooSlow)
		})
	})
	Convey("A head without room in the quota gets 503", t, func() {
		g := startGuarded(20_000, 20_000)
		conn, in := g.dial()
		_, _ = io.WriteString(conn, request(16<<10))
		So(status(in), ShouldEqual, http.StatusServiceUnavailable)
		So(<-g.refused, ShouldEqual, HeadNoMemory)
	})
}
