package httpbackend_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/standin/service"
)

func TestServiceOutcomes(t *testing.T) {
	Convey("Given a plain service", t, func() {
		standin := service.New()
		server, err := standin.Start("127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(server.Close)
		client := httpbackend.NewService(httpbackend.ServiceOptions{Address: server.Addr()})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		Reset(cancel)
		call := backend.Call{Method: http.MethodPost, Path: "/certificates", Body: []byte(`{"a":1}`), ClaimID: "c1"}

		Convey("a call is executed once with its claim ID", func() {
			reply, err := client.Call(ctx, call)
			So(err, ShouldBeNil)
			So(reply.Status, ShouldEqual, http.StatusOK)
			So(len(standin.Executions()), ShouldEqual, 1)
			So(standin.Executions()[0].ClaimID, ShouldEqual, "c1")
			So(string(standin.Executions()[0].Body), ShouldEqual, `{"a":1}`)
		})
		Convey("a call whose response is lost has an unknown outcome and is not sent again, whatever the method", func() {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
				// If this call's connection were kept open, the next call would
				// reuse it. The transport retries some requests that fail on a
				// reused connection.
				_, err := client.Call(ctx, backend.Call{Method: http.MethodGet, Path: "/status"})
				So(err, ShouldBeNil)
				before := standin.Received()
				standin.Update(func(f *service.Faults) { f.DropNextResponses = 1 })
				call.Method, call.Body = method, nil
				_, err = client.Call(ctx, call)
				So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
				So(standin.Received(), ShouldEqual, before+1)
			}
		})
		Convey("a response with an error status is a reply", func() {
			standin.Update(func(f *service.Faults) { f.FailNext = 1 })
			reply, err := client.Call(ctx, call)
			So(err, ShouldBeNil)
			So(reply.Status, ShouldEqual, http.StatusServiceUnavailable)
			So(standin.Executions(), ShouldBeEmpty)
		})
		Convey("a call to a stopped service or with a cancelled context is not done", func() {
			server.Kill()
			_, err := client.Call(ctx, call)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			So(server.Restart(), ShouldBeNil)
			cancel()
			_, err = client.Call(ctx, call)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			So(standin.Received(), ShouldEqual, 0)
		})
		Convey("a call that the service received before it was killed has an unknown outcome", func() {
			standin.Update(func(f *service.Faults) { f.Delay = time.Hour })
			failed := make(chan error)
			go func() {
				_, err := client.Call(ctx, call)
				failed <- err
			}()
			for standin.Received() == 0 {
				time.Sleep(time.Millisecond)
			}
			server.Kill()
			So(infra.OutcomeOf(<-failed), ShouldEqual, infra.OutcomeUnknown)
			So(standin.Executions(), ShouldBeEmpty)
		})
	})
	Convey("A redirect is a reply and is not followed", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		calls := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		})}
		go func() { _ = server.Serve(listener) }()
		Reset(func() { _ = server.Close() })
		client := httpbackend.NewService(httpbackend.ServiceOptions{Address: listener.Addr().String()})
		reply, err := client.Call(context.Background(), backend.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		So(err, ShouldBeNil)
		So(reply.Status, ShouldEqual, http.StatusTemporaryRedirect)
		So(calls, ShouldEqual, 1)
	})
}
