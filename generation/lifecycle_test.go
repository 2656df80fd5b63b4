package generation

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lifecyclePage is the page that holds the table of the life cycle.
const lifecyclePage = "../docs/design/serving.md"

func TestLifecycleIsDocumented(t *testing.T) {
	Convey("The page holds exactly the rows of the life cycle of an answer", t, func() {
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
