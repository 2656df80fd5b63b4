package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/objects"
	"github.com/wigeonfork/wigeonfork/standin/table"
)

// TestOverHTTP runs the store against a table and an object store over HTTP.
// Responses are lost and the services go down.
func TestOverHTTP(t *testing.T) {
	Convey("Given the services over HTTP, and a large deployment accepted despite lost responses", t, func() {
		rows, payloads := table.New(), objects.New()
		tableServer, err := rows.Start("127.0.0.1:0")
		So(err, ShouldBeNil)
		objectServer, err := payloads.Start("127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() {
			tableServer.Close()
			objectServer.Close()
		})
		open := func() *Store {
			return New(
				httpinfra.NewTable(httpinfra.Options{Address: tableServer.Addr()}),
				httpinfra.NewObjects(httpinfra.Options{Address: objectServer.Addr()}),
				Options{Backoff: time.Millisecond},
			)
		}
		s := open()
		_, err = s.Accept(ctx, Request{OperationID: "t", Author: "ane", Now: now, Change: templateChange()})
		So(err, ShouldBeNil)
		rows.DropNextResponses(2)
		accepted, err := s.Accept(ctx, putRequest("d", "ane", 0, deployment("a", 10, 5000)))
		So(err, ShouldBeNil)
		So(accepted.Revision, ShouldEqual, 2)
		So(rows.Counters().DroppedResponses, ShouldEqual, 2)
		So(rows.Counters().Writes, ShouldBeGreaterThan, 2)
		Convey("another process reads the same configuration after a compaction", func() {
			before, err := s.Config(ctx)
			So(err, ShouldBeNil)
			So(len(before.Deployments[0].BackendServers), ShouldEqual, 5000)
			_, err = s.Compact(ctx, "c", 1)
			So(err, ShouldBeNil)
			after, err := open().Config(ctx)
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)
		})
		Convey("with the table down, a change fails as not run and has no effect", func() {
			rows.SetDown(true)
			_, err := s.Accept(ctx, putRequest("e", "ane", 0, deployment("a", 11, 2)))
			So(runState(err), ShouldEqual, problem.RunNot)
			rows.SetDown(false)
			config, err := open().Config(ctx)
			So(err, ShouldBeNil)
			So(config.Revision, ShouldEqual, 2)
		})
		Convey("with the object store down, a large change fails and a small one is accepted", func() {
			objectServer.Close()
			_, err := s.Accept(ctx, putRequest("e", "ane", 0, deployment("b", 11, 4999)))
			So(runState(err), ShouldEqual, problem.RunNot)
			_, err = s.Accept(ctx, putRequest("f", "ane", 0, deployment("c", 11, 2)))
			So(err, ShouldBeNil)
		})
	})
}
