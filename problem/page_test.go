package problem

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCodesAreDocumented(t *testing.T) {
	Convey("docs/API.md lists each code with its status, and no other", t, func() {
		page, err := os.ReadFile("../docs/API.md")
		So(err, ShouldBeNil)
		_, table, found := strings.Cut(string(page), "| code | status |\n| --- | --- |\n")
		So(found, ShouldBeTrue)
		table, _, _ = strings.Cut(table, "\n\n")
		got := map[string]bool{}
		for _, row := range strings.Split(table, "\n") {
			got[row] = true
		}
		want := map[string]bool{"| `internal` | 500 |": true}
		for code, status := range statusByCode {
			want[fmt.Sprintf("| `%s` | %d |", code, status)] = true
		}
		So(got, ShouldResemble, want)
	})
}
