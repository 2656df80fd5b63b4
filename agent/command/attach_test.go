package command

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/httpserver"
)

func TestHeartbeatFillsSilenceOnly(t *testing.T) {
	Convey("A stream sends a heartbeat when it has been silent for the interval, and none behind tokens", t, func() {
		out := httptest.NewRecorder()
		w := &writer{out: httpserver.NewStreamWriter(out, writeTimeout)}
		s := session.New(&agentapi.Generate{Generation: 3}, time.Now(), func() {})
		w.sent = time.Now().Add(time.Hour)
		wait, err := w.heartbeat(s)
		So(err, ShouldBeNil)
		So(wait, ShouldBeGreaterThan, time.Hour)
		So(out.Body.Len(), ShouldEqual, 0)

		w.sent = time.Now().Add(-agentapi.HeartbeatInterval)
		wait, err = w.heartbeat(s)
		So(err, ShouldBeNil)
		So(wait, ShouldEqual, agentapi.HeartbeatInterval)
		var f frame.Frame
		So(frame.NewReader(bytes.NewReader(out.Body.Bytes())).Read(&f), ShouldBeNil)
		So(f.Kind, ShouldEqual, frame.KindHeartbeat)
		So(f.Generation, ShouldEqual, 3)
	})
}
