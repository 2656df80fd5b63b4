package generation

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lifecyclePage is the document that contains the table of lifecycleEvents.
const lifecyclePage = "../docs/design/serving.md"

func TestLifecycleIsDocumented(t *testing.T) {
	Convey("The page lists exactly the transitions of the life cycle of an answer", t, func() {
		page, err := os.ReadFile(lifecyclePage)
		So(err, ShouldBeNil)
		_, table, found := strings.Cut(string(page), "| event | from | to |\n| --- | --- | --- |\n")
		So(found, ShouldBeTrue)
		table, _, _ = strings.Cut(table, "\n\n")
		var rows []string
		for _, event := range lifecycleEvents {
			rows = append(rows, fmt.Sprintf("| %s | %s | %s |", event.Name, strings.Join(event.Src, ", "), event.Dst))
		}
		So(strings.Split(strings.TrimSpace(table), "\n"), ShouldResemble, rows)
	})
}
