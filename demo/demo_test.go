package demo

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswerIsCompleteAfterEngineDeath(t *testing.T) {
	Convey("The demo kills the engine and compares every token of the answer", t, func() {
		var out bytes.Buffer
		So(Run(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "killing engine")
		So(out.String(), ShouldContainSubstring, "all 120 tokens compared")
	})
}
