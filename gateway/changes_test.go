package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

func TestChangesAreLoggedPerKind(t *testing.T) {
	Convey("Changes are logged in one line per kind, with the servers named up to a limit", t, func() {
		var events []directory.Event
		for i := range 3 * maxServersPerLine {
			kind := directory.Added
			if i%3 == 0 {
				kind = directory.Left
			}
			entry := directory.Entry{ID: wigeonfork.BackendServerID(fmt.Sprint("i-", i)), Address: "10.0.0.1:80", Service: "m"}
			events = append(events, directory.Event{Kind: kind, Entry: entry})
		}
		var out bytes.Buffer
		logChanges(telemetry.NewLogger(&out, "info", "gateway", "g"), events)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(lines, ShouldHaveLength, 2)
		So(lines[0], ShouldContainSubstring, "event=servers_changed role=gateway id=g change=left service=m lapsed=false draining=false count=60 servers=i-0@10.0.0.1:80,i-3@")
		So(lines[1], ShouldContainSubstring, "change=added")
		So(lines[1], ShouldContainSubstring, "count=120")
		So(strings.Count(lines[1], "@"), ShouldEqual, maxServersPerLine)
	})
}
