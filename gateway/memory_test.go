package gateway

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// Guards against a sound server that counts as failing since others fill the memory, and against a faulty one that does
// not.
func TestOnlyTheOwnersExcessIsItsFailure(t *testing.T) {
	Convey("What ends an answer for its size is told apart by its cause", t, func() {
		for _, c := range []struct {
			err                   error
			oversized, crowdedOut bool
		}{
			{memquota.ErrExceeded, true, true},
			{memquota.ErrOwnerExceeded, true, false},
			{memquota.ErrTooLarge, true, false},
			{upstream.ErrHeadTooLarge, true, false},
			{errors.New("reset"), false, false},
		} {
			err := errors.Wrap(c.err, "read the answer")
			SoMsg(c.err.Error(), isOversized(err), ShouldEqual, c.oversized)
			SoMsg(c.err.Error(), isCrowdedOut(err), ShouldEqual, c.crowdedOut)
		}
		So(isOversized(nil) || isCrowdedOut(nil), ShouldBeFalse)
	})
}
