package action

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
)

type echoDispatcher struct{ runs int }

func (d *echoDispatcher) Dispatch(_ context.Context, _ Claim, call backend.Call) (backend.Reply, error) {
	d.runs++
	return backend.Reply{Status: 200, Body: call.Body}, nil
}

func (d *echoDispatcher) Resolve(context.Context, string, ResolveQuery) (Resolution, error) {
	return Resolution{State: ResolvedUnknown}, nil
}

func (d *echoDispatcher) Acknowledge(context.Context, Target, []ClaimID) {}

func TestDoWithoutFaults(t *testing.T) {
	Convey("A call runs once and its outcome can be looked up", t, func() {
		dispatcher := &echoDispatcher{}
		executor := NewExecutor(Config{Table: newFakeTable(), Dispatcher: dispatcher, Limits: DefaultLimits()})
		key, err := NewKey(time.Now())
		So(err, ShouldBeNil)
		request := Request{
			Workspace: "w", Key: string(key), RequestID: "r1", Deadline: time.Now().Add(time.Minute),
			Call: backend.Call{Method: "POST", Path: "/pay", Body: []byte("5")},
		}
		reply, refusal := executor.Do(context.Background(), request)
		So(refusal, ShouldBeNil)
		So(string(reply.Body), ShouldEqual, "5")
		So(executor.Close(context.Background()), ShouldBeNil)
		found, refusal := executor.Lookup(context.Background(), "w", string(key))
		So(refusal, ShouldBeNil)
		So(found, ShouldResemble, reply)
		So(dispatcher.runs, ShouldEqual, 1)
	})
}
