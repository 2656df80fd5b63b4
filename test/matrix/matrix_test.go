package matrix

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatrix(t *testing.T) {
	results := runCells(t, selectCells(allCells()))
	for _, r := range results {
		t.Run(r.cell.step+": "+r.cell.fault, func(t *testing.T) {
			Convey(r.cell.name(), t, func() {
				So(r.notRun, ShouldBeFalse)
				So(r.violations, ShouldBeEmpty)
			})
		})
	}
	if *writeReport && *full {
		Convey("The report is written", t, func() {
			So(saveReport(results), ShouldBeNil)
		})
	}
}
