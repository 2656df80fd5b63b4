package action

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/infra"
)

func TestKeysAndPruning(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	Convey("A key contains its issue time and has only one accepted spelling", t, func() {
		key, err := NewKey(now)
		So(err, ShouldBeNil)
		So(key.IssuedAt(), ShouldEqual, now)
		_, err = ParseKey("{" + string(key) + "}")
		So(err, ShouldNotBeNil)
		_, err = ParseKey("6ba7b810-9dad-11d1-80b4-00c04fd430c8")
		So(err, ShouldNotBeNil)
	})
	putExpired := func(table *fakeTable) string {
		key, err := NewKey(now.Add(-100 * time.Hour))
		So(err, ShouldBeNil)
		row := RowKey("w", key)
		table.apply(infra.Transaction{OperationID: row, Writes: []infra.Write{{Key: row, Value: []byte{0}}}})
		return row
	}
	// Guards against a table of actions that grows until the next round, because another process
	// changed one row of the batch.
	Convey("Pruning reads the rows again after a conflict", t, func() {
		table := newFakeTable()
		e := NewExecutor(Config{Table: table, Limits: DefaultLimits(), Now: func() time.Time { return now }})
		changed := putExpired(table)
		putExpired(table)
		table.fail = func(operation string) fault {
			if operation == "commit" && table.commits == 1 {
				table.apply(infra.Transaction{OperationID: "other", Writes: []infra.Write{{Key: changed, Value: []byte{1}}}})
			}
			return faultNone
		}
		deleted, err := e.Prune(context.Background(), "w", 2, 10)
		So(err, ShouldBeNil)
		So(deleted, ShouldEqual, 2)
		So(table.rows, ShouldBeEmpty)
	})
	// Guards against a table of actions that only grows, because rows of another writer come first.
	Convey("Pruning goes on after a page of malformed keys", t, func() {
		table := newFakeTable()
		e := NewExecutor(Config{Table: table, Limits: DefaultLimits(), Now: func() time.Time { return now }})
		for i := range 5 {
			row := RowKey("w", Key(fmt.Sprint("!", i)))
			table.apply(infra.Transaction{OperationID: row, Writes: []infra.Write{{Key: row, Value: []byte{0}}}})
		}
		putExpired(table)
		deleted, err := e.Prune(context.Background(), "w", 2, 10)
		So(err, ShouldBeNil)
		So(deleted, ShouldEqual, 1)
		So(table.rows, ShouldHaveLength, 5)
	})
	Convey("Pruning deletes exactly the rows of expired keys, in bounded batches", t, func() {
		table := newFakeTable()
		e := NewExecutor(Config{Table: table, Limits: DefaultLimits(), Now: func() time.Time { return now }})
		for age := range 10 {
			key, err := NewKey(now.Add(-time.Duration(45+age) * time.Hour))
			So(err, ShouldBeNil)
			row := RowKey("w", key)
			table.apply(infra.Transaction{OperationID: row, Writes: []infra.Write{{Key: row, Value: []byte{0}}}})
		}
		deleted, err := e.Prune(context.Background(), "w", 2, 10)
		So(err, ShouldBeNil)
		So(deleted, ShouldEqual, 5)
		So(table.rows, ShouldHaveLength, 5)
	})
}
