package httpinfra_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/objects"
	"github.com/wigeonfork/wigeonfork/standin/suite"
)

const testTimeout = 20 * time.Second

func put(operation, key, value string, conditions ...infra.Condition) infra.Transaction {
	return infra.Transaction{
		OperationID: operation,
		Conditions:  conditions,
		Writes:      []infra.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestClients(t *testing.T) {
	Convey("Given the platform's services", t, func() {
		w, err := suite.Start(suite.Options{})
		So(err, ShouldBeNil)
		Reset(w.Close)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		Reset(cancel)
		table := httpinfra.NewTable(httpinfra.Options{Address: w.TableServer.Addr()})
		Reset(table.Close)

		Convey("a commit without an answer is unknown; a retry with its operation id returns the first outcome", func() {
			tx := put("op1", "a/1", "x", infra.Condition{Key: "a/1"})
			w.Table.DropNextResponses(1)
			_, err := table.Commit(ctx, tx)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			commit, err := table.Commit(ctx, tx)
			So(err, ShouldBeNil)
			So(commit, ShouldResemble, infra.Commit{Applied: true, Revision: 1})
			row, err := table.Get(ctx, "a/1")
			So(err, ShouldBeNil)
			So(row, ShouldResemble, infra.Row{Key: "a/1", Value: []byte("x"), Revision: 1})
		})
		Convey("a commit whose condition does not hold changes nothing and returns the current rows", func() {
			_, err := table.Commit(ctx, put("op1", "a", "1", infra.Condition{Key: "a"}))
			So(err, ShouldBeNil)
			tx := put("op2", "a", "2", infra.Condition{Key: "a"}, infra.Condition{Key: "b", Revision: 4})
			commit, err := table.Commit(ctx, tx)
			So(err, ShouldBeNil)
			So(commit.Applied, ShouldBeFalse)
			So(commit.Conflicts, ShouldResemble, []infra.Row{{Key: "a", Value: []byte("1"), Revision: 1}, {Key: "b"}})
			commit, err = table.Commit(ctx, put("op3", "a", "3", infra.Condition{Key: "a", Revision: 1}))
			So(err, ShouldBeNil)
			So(commit.Revision, ShouldEqual, 2)
		})
		Convey("a scan returns pages ordered by key, and includes deleted rows if it has a since revision", func() {
			for i, key := range []string{"p/c", "p/a", "q/z", "p/b"} {
				_, err := table.Commit(ctx, put(key, key, string(rune('0'+i))))
				So(err, ShouldBeNil)
			}
			first, err := table.Scan(ctx, infra.ScanQuery{Prefix: "p/", Limit: 2})
			So(err, ShouldBeNil)
			So([]string{first.Rows[0].Key, first.Rows[1].Key, first.Next}, ShouldResemble, []string{"p/a", "p/b", "p/c"})
			second, err := table.Scan(ctx, infra.ScanQuery{Prefix: "p/", From: first.Next, Limit: 2})
			So(err, ShouldBeNil)
			So([]string{second.Rows[0].Key, second.Next}, ShouldResemble, []string{"p/c", ""})
			_, err = table.Commit(ctx, infra.Transaction{OperationID: "del", Writes: []infra.Write{{Key: "p/a", Delete: true}}})
			So(err, ShouldBeNil)
			since, err := table.Scan(ctx, infra.ScanQuery{Prefix: "p/", Since: first.Revision})
			So(err, ShouldBeNil)
			So(since.Rows, ShouldResemble, []infra.Row{{Key: "p/a", Revision: 5, Deleted: true}})
			all, err := table.Scan(ctx, infra.ScanQuery{Prefix: "p/"})
			So(err, ShouldBeNil)
			So(len(all.Rows), ShouldEqual, 2)
			row, err := table.Get(ctx, "p/a")
			So(err, ShouldBeNil)
			So(row, ShouldResemble, infra.Row{Key: "p/a"})
		})
		Convey("a commit to a table that is down, over its limit or unreachable is not done", func() {
			w.Table.SetDown(true)
			_, err := table.Commit(ctx, put("o", "k", "v"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			w.Table.SetDown(false)
			w.Table.SetLimits(0.001, 0)
			_, err = table.Commit(ctx, put("o1", "k", "v"))
			So(err, ShouldBeNil)
			_, err = table.Commit(ctx, put("o2", "k", "v"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			w.Table.SetLimits(0, 0)
			w.TableServer.Kill()
			table.Close()
			_, err = table.Commit(ctx, put("o3", "k", "v"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			So(w.Table.Counters().Writes, ShouldEqual, 1)
		})
		Convey("a cancelled commit to a slow table is unknown, a cancelled read is not done", func() {
			w.Table.SetDelay(time.Second)
			received, cancel := context.WithCancel(ctx)
			go func() {
				defer cancel()
				for w.Table.Counters().Writes == 0 && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
			}()
			_, err := table.Commit(received, put("o", "k", "v"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			_, err = table.Get(received, "k")
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			w.Table.SetDelay(0)
			// The cancelled commit still takes effect.
			for row := (infra.Row{}); row.Revision == 0; {
				row, err = table.Get(ctx, "k")
				So(err, ShouldBeNil)
			}
		})
		Convey("objects can't be overwritten and may have any name", func() {
			store := httpinfra.NewObjects(httpinfra.Options{Address: w.ObjectsServer.Addr()})
			Reset(store.Close)
			So(store.Put(ctx, "x/1 %", []byte("one")), ShouldBeNil)
			err := store.Put(ctx, "x/1 %", []byte("two"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			w.Objects.Update(func(f *objects.Faults) { f.DropNextResponses = 1 })
			err = store.Put(ctx, "x/2", []byte("two"))
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			data, err := store.Get(ctx, "x/1 %")
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "one")
			names, err := store.List(ctx, "x/")
			So(err, ShouldBeNil)
			So(names, ShouldResemble, []string{"x/1 %", "x/2"})
			So(store.Delete(ctx, "x/2"), ShouldBeNil)
			_, err = store.Get(ctx, "x/2")
			So(errors.Is(err, infra.ErrNotFound), ShouldBeTrue)
		})
		Convey("the weight store describes versions, and the host list lags behind", func() {
			weights := httpinfra.NewWeights(httpinfra.Options{Address: w.WeightsServer.Addr()})
			Reset(weights.Close)
			w.Weights.Set("m", "v", 1<<20)
			info, err := weights.Info(ctx, "m", "v")
			So(err, ShouldBeNil)
			So(info, ShouldResemble, infra.WeightInfo{Model: "m", Version: "v", SizeBytes: 1 << 20, RateBytesPerSecond: 1 << 30})
			_, err = weights.Info(ctx, "m", "none")
			So(errors.Is(err, infra.ErrNotFound), ShouldBeTrue)
			list := httpinfra.NewHostList(httpinfra.Options{Address: w.HostsServer.Addr()})
			Reset(list.Close)
			w.Hosts.SetLag(time.Hour)
			w.Hosts.Put(infra.Host{ID: "h1", State: infra.HostLive})
			hosts, asOf, err := list.Hosts(ctx)
			So(err, ShouldBeNil)
			So(hosts, ShouldBeEmpty)
			So(time.Since(asOf), ShouldBeGreaterThanOrEqualTo, time.Hour)
			w.Hosts.SetLag(0)
			hosts, _, err = list.Hosts(ctx)
			So(err, ShouldBeNil)
			So(hosts, ShouldResemble, []infra.Host{{ID: "h1", State: infra.HostLive}})
			w.Hosts.SetDown(true)
			_, _, err = list.Hosts(ctx)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
		})
	})
}
