package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/freshness"
)

// runSteadily tells the fleet the time as a process does that has run steadily for a while.
func (f *fleet) runSteadily() {
	const steady = 2 * time.Second
	now := bootClock()
	for at := now - freshness.Instant(steady); at <= now; at += freshness.Instant(sweepInterval) {
		f.tick(at)
	}
}

// Guards against a server of another service that is taken for the successor of a lost one, since its own refusal of a
// request for the lost one was counted as a sign of that one's life.
func TestRefusalIsNoSignOfLife(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		Convey("A refusal may be of another server at the address: "+http.StatusText(status), t, func() {
			g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(status)
			})
			g.fleet.runSteadily()
			So(g.sendOnce().outcome, ShouldEqual, sendNotRun)
			So(g.fleet.sinceSeen(bootClock(), "i-1"), ShouldEqual, 0)
		})
	}
	Convey("An answer of a request that has run is of the server that was named in it", t, func() {
		g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		g.fleet.runSteadily()
		So(g.sendOnce().succeeded(), ShouldBeTrue)
		So(g.fleet.sinceSeen(bootClock(), "i-1"), ShouldBeGreaterThan, 0)
	})
}
