package intake

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/telemetry"
)

// TestRefusalsAreLogged guards against refusals that no log shows, and against a crowd that fills the log.
func TestRefusalsAreLogged(t *testing.T) {
	Convey("A crowd's refusals are one line a second for each reason, which tells of all since the last one", t, func() {
		start := time.Unix(1000, 0)
		r := &refusals{}
		So(r.add(start), ShouldEqual, 1)
		for i := range 100 {
			So(r.add(start.Add(time.Duration(i)*time.Millisecond)), ShouldEqual, 0)
		}
		So(r.add(start.Add(refusalLogInterval)), ShouldEqual, 101)
		So(r.add(start.Add(10*refusalLogInterval)), ShouldEqual, 1)
	})
	Convey("The line names the listener, the reason and the address, and the metric counts each", t, func() {
		var out bytes.Buffer
		metrics := telemetry.NewRegistry()
		g := NewAccount(Limits{}, telemetry.NewLogger(&out, "info", "gateway", "g"), metrics).Guard(Balancer)
		for range 3 {
			g.RefusedHead("too_large", "127.0.0.1")
		}
		So(strings.Count(out.String(), "event=peer_refused"), ShouldEqual, 1)
		for _, field := range []string{"listener=balancer", "reason=too_large", "address=127.0.0.1", "count=1"} {
			So(out.String(), ShouldContainSubstring, field)
		}
		So(telemetry.Counter(metrics, "heads.refused_too_large").Count(), ShouldEqual, 3)
	})
}
