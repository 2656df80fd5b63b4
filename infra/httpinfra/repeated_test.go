package httpinfra_test

import (
	"context"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/repeat"
	"github.com/wigeonfork/wigeonfork/standin/table"
)

// Guards against a second answer to one call that is taken for the answer to the next: two entries believe that they hold
// the same claim, and an action runs twice.
func TestRepeatedAnswersAnswerNoOtherCall(t *testing.T) {
	Convey("Given a table that sends each answer twice", t, func() {
		server, err := repeat.Start(table.New().Handler())
		So(err, ShouldBeNil)
		client := httpinfra.NewTable(httpinfra.Options{Address: server.Addr()})
		Reset(func() { client.Close(); server.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		Reset(cancel)
		Convey("A commit whose condition does not hold is not applied", func() {
			for i := range 5 {
				key := "claim/" + strconv.Itoa(i)
				first, err := client.Commit(ctx, put("first"+key, key, "a", infra.Condition{Key: key}))
				So(err, ShouldBeNil)
				So(first.Applied, ShouldBeTrue)
				second, err := client.Commit(ctx, put("second"+key, key, "b", infra.Condition{Key: key}))
				So(err, ShouldBeNil)
				So(second.Applied, ShouldBeFalse)
			}
		})
		Convey("A row is read under its own key", func() {
			for i := range 5 {
				key := "row/" + strconv.Itoa(i)
				_, err := client.Commit(ctx, put("put"+key, key, key))
				So(err, ShouldBeNil)
				row, err := client.Get(ctx, key)
				So(err, ShouldBeNil)
				So(string(row.Value), ShouldEqual, key)
				absent, err := client.Get(ctx, key+"-absent")
				So(err, ShouldBeNil)
				So(absent, ShouldResemble, infra.Row{Key: key + "-absent"})
			}
		})
	})
}
