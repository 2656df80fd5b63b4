package template

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/revision"
)

// TestStopOutlivesMalformedDeployment guards against traffic to a version that was stopped: a process
// that couldn't decode the deployment's item dropped the stop as if the deployment had been deleted.
func TestStopOutlivesMalformedDeployment(t *testing.T) {
	stop := Stop{Deployment: "a", Version: "v1"}
	core := func(value string, deleted bool) revision.Item {
		return revision.Item{Key: deploymentPrefix + "a", Value: []byte(value), Deleted: deleted}
	}
	binding := revision.Item{Key: deploymentPrefix + "a/w/ws"}
	Convey("A stop is kept while the deployment's own item is malformed or missing, until it is deleted", t, func() {
		a := NewAssembler()
		So(a.Install(revision.Delta{To: 1, Items: []revision.Item{core("{", false)}}), ShouldNotBeNil)
		So(a.RecordsStop(stop), ShouldBeFalse)
		So(a.Install(revision.Delta{From: 1, To: 2, Items: []revision.Item{core("", true)}}), ShouldBeNil)
		So(a.RecordsStop(stop), ShouldBeTrue)
		So(a.Install(revision.Delta{From: 2, To: 3, Items: []revision.Item{core("{", false)}}), ShouldNotBeNil)
		So(a.RecordsStop(stop), ShouldBeFalse)

		b := NewAssembler()
		So(b.Install(revision.Delta{To: 1, Items: []revision.Item{binding}}), ShouldBeNil)
		So(b.RecordsStop(stop), ShouldBeFalse)
	})
}
