package command

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

func TestDispatchTakesNoReplyWithoutStatus(t *testing.T) {
	Convey("An answer from something else at the agent's address is no reply", t, func() {
		stranger := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"hosts":[]}`))
		}))
		defer stranger.Close()
		agents := agentapi.NewClient("key")
		defer agents.Close()
		claim := action.Claim{Target: action.Target{AgentAddress: strings.TrimPrefix(stranger.URL, "http://")}}
		_, err := Dispatcher{Agents: agents}.Dispatch(context.Background(), claim, backend.Call{})
		So(err, ShouldNotBeNil)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
	})
}
