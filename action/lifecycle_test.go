package action

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLifecycleTable(t *testing.T) {
	Convey("The design page lists each event of the state machine, and the machine rejects others", t, func() {
		page, err := os.ReadFile("../docs/design/actions.md")
		So(err, ShouldBeNil)
		for _, event := range lifecycleEvents() {
			row := fmt.Sprintf("| %s | %s | %s |", event.Name, strings.Join(event.Src, ", "), event.Dst)
			So(string(page), ShouldContainSubstring, row)
		}
		for _, ended := range []State{StateDone, StateUnknown} {
			_, err := nextState(ended, EventClaim)
			So(err, ShouldNotBeNil)
		}
		state, err := nextState(StateClaimed, EventReplace)
		So(err, ShouldBeNil)
		So(state, ShouldEqual, StateClaimed)
	})
}
