package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server of another service that is taken for the successor of a lost one, since its own refusal of a
// request for the lost one was counted as a sign of that one's life.
func TestRefusalIsNoSignOfLife(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		Convey("A refusal may be of another server at the address: "+http.StatusText(status), t, func() {
			g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(status)
			})
			So(g.sendOnce().outcome, ShouldEqual, sendNotRun)
			So(g.fleet.sinceSeen(bootClock(), "i-1"), ShouldEqual, 0)
		})
	}
	Convey("An answer of a request that has run is of the server that was named in it", t, func() {
		g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		So(g.sendOnce().succeeded(), ShouldBeTrue)
		So(g.fleet.sinceSeen(bootClock(), "i-1"), ShouldBeGreaterThan, 0)
	})
}

// Guards against a server of another service that is taken for the successor of a lost one, since bytes that the lost one
// had sent before its end arrived late, as after a cut of the network.
func TestSignOfLifeIsAsOldAsTheRequest(t *testing.T) {
	const held = 300 * time.Millisecond
	Convey("An answer may have been held up since the request was sent", t, func() {
		g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(held)
			_, _ = io.WriteString(w, "answer")
		})
		So(g.sendOnce().succeeded(), ShouldBeTrue)
		So(g.fleet.sinceSeen(bootClock(), "i-1"), ShouldBeGreaterThanOrEqualTo, held)
	})
	Convey("An event of a stream may have been held up since any time before", t, func() {
		now := time.Now()
		movable, ended := false, error(nil)
		f := watchedFleet(now, &movable, &ended)
		f.recordEvent(now, 1)
		So(f.sinceSeen(bootClock(), "i-1"), ShouldEqual, 0)
	})
}
