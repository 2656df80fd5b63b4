package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// Guards against a request that is held for the whole time in which a silent server may return,
// although it is back.
func TestHeldRequestRunsOnceItsServersAreBack(t *testing.T) {
	Convey("Given a request whose last three servers are silent", t, func() {
		guard := newCrashGuard(nil)
		now := time.Now()
		servers := []directory.Entry{{ID: "i-1", Domain: "a"}, {ID: "i-2", Domain: "b"}, {ID: "i-3", Domain: "c"}}
		for i, server := range servers {
			lost := now.Add(time.Duration(i-len(servers)) * 10 * time.Millisecond)
			guard.serverLost(lost, server)
			crash := quarantine.Crash{Content: 1, Server: serverStart(server), Began: lost.Add(-10 * time.Millisecond), At: lost}
			guard.limiter.RunLost(crash, server.Domain, true)
		}
		So(guard.check(now, 1).Action, ShouldEqual, quarantine.Hold)
		Convey("It runs once one of them is back as the same start", func() {
			time.AfterFunc(50*time.Millisecond, func() { guard.serverReturned(time.Now(), servers[0]) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			So(guard.mayRun(ctx, 1), ShouldBeTrue)
		})
	})
}
