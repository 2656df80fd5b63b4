package command

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

func TestDispatchRejectsReplyWithoutStatus(t *testing.T) {
	Convey("A response without a status, from another server at the agent's address, has an unknown outcome", t, func() {
		otherServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"hosts":[]}`))
		}))
		defer otherServer.Close()
		agents := agentapi.NewClient("key")
		defer agents.Close()
		claim := action.Claim{Target: action.Target{AgentAddress: strings.TrimPrefix(otherServer.URL, "http://")}}
		_, err := Dispatcher{Agents: agents}.Dispatch(context.Background(), claim, backend.Call{})
		So(err, ShouldNotBeNil)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
	})
}

func TestDispatchDoesNotRetryLostConnection(t *testing.T) {
	Convey("A call whose connection closes without a response is not retried, even on a reused connection", t, func() {
		var requests atomic.Int32
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if requests.Add(1) == 1 {
				_, _ = w.Write([]byte(`{"status":200}`))
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = conn.Close()
		}))
		defer agent.Close()
		agents := agentapi.NewClient("key")
		defer agents.Close()
		claim := action.Claim{ID: "c", Target: action.Target{AgentAddress: strings.TrimPrefix(agent.URL, "http://")}}
		call := backend.Call{Method: http.MethodPost, Path: "/", Body: []byte("{}")}
		_, err := Dispatcher{Agents: agents}.Dispatch(context.Background(), claim, call)
		So(err, ShouldBeNil)
		_, err = Dispatcher{Agents: agents}.Dispatch(context.Background(), claim, call)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
		So(requests.Load(), ShouldEqual, 2)
	})
}
