package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// failingService fails each call with the same outcome.
type failingService struct {
	outcome infra.Outcome
	calls   int
}

func (s *failingService) Call(context.Context, backend.Call) (backend.Reply, error) {
	s.calls++
	return backend.Reply{}, infra.NewError(s.outcome, "call", "service", errors.New("failed"))
}

// dispatchTwice returns the agent's responses to a dispatch and to its repetition.
func dispatchTwice(service *failingService) (first, second *problem.Error) {
	incarnation := action.NewIncarnation()
	actions := NewActions(service, nil, incarnation, context.Background(), telemetry.Discard(), telemetry.NewRegistry())
	claim := action.Claim{
		ID: action.NewClaimID(), Target: action.Target{Incarnation: incarnation}, Expires: time.Now().Add(time.Minute),
	}
	send := func() *problem.Error {
		body, err := json.Marshal(agentapi.Dispatch{Claim: claim, Call: backend.Call{Method: http.MethodPost, Path: "/"}})
		So(err, ShouldBeNil)
		recorder := httptest.NewRecorder()
		actions.Dispatch(recorder, httptest.NewRequest(http.MethodPost, agentapi.PathDispatch, bytes.NewReader(body)))
		actions.Wait()
		return problem.Unmarshal(recorder.Body.Bytes())
	}
	return send(), send()
}

func TestDispatchReportsOutcomeOfFailedCall(t *testing.T) {
	Convey("A call of which no byte was sent to the service is reported as not run", t, func() {
		service := &failingService{outcome: infra.OutcomeNotDone}
		first, second := dispatchTwice(service)
		So(first.Run, ShouldEqual, problem.RunNot)
		So(second.Run, ShouldEqual, problem.RunNot)
		So(service.calls, ShouldEqual, 1)
	})
	Convey("A call that the service may have received is reported with an unknown outcome", t, func() {
		service := &failingService{outcome: infra.OutcomeUnknown}
		first, second := dispatchTwice(service)
		So(first.Run, ShouldEqual, problem.RunUnknown)
		So(second.Run, ShouldEqual, problem.RunUnknown)
		So(service.calls, ShouldEqual, 1)
	})
}
