package problem

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestErrorRoundTrip(t *testing.T) {
	Convey("An error written to a response is read back complete", t, func() {
		recorder := httptest.NewRecorder()
		Write(recorder, New(CodeOverloaded, RunNot, StepAdmit, "queue is full").At("10.0.0.1:80").For("r1").After(1500*time.Millisecond))
		So(recorder.Code, ShouldEqual, 429)
		So(recorder.Header().Get("Retry-After"), ShouldEqual, "2")
		read := Unmarshal(recorder.Body.Bytes())
		So(read, ShouldNotBeNil)
		So(read.Run, ShouldEqual, RunNot)
		So(read.Peer, ShouldEqual, "10.0.0.1:80")
		So(read.RetryAfter, ShouldEqual, 1500*time.Millisecond)
	})
	Convey("An untyped error has an unknown run state", t, func() {
		So(From(errors.New("boom"), StepRelay).Run, ShouldEqual, RunUnknown)
	})
}
