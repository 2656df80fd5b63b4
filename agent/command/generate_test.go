package command

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// silentEngine counts the generations that it is asked for.
type silentEngine struct {
	backend.Engine
	asked int
}

func (e *silentEngine) Generate(context.Context, backend.GenerateRequest) (backend.Stream, error) {
	e.asked++
	return nil, backend.ErrRejected
}

func (*silentEngine) Capabilities() backend.Capabilities { return backend.Capabilities{} }

// Guards against a generation that is run by the engine of another deployment, whose agent got the address of a lost one
// before the entry learned of the loss.
func TestGenerationForAnotherServerIsNotRun(t *testing.T) {
	for _, meant := range []string{"server-1", ""} {
		Convey("An agent refuses a generation that is not for its own backend server: "+meant, t, func() {
			engine := &silentEngine{}
			g := &Generations{
				Server: "server-2", Engine: engine, Table: session.NewTable(), Metrics: telemetry.NewRegistry(), Log: telemetry.Discard(),
				Background: context.Background(), EngineIncarnation: func() string { return "" }, Deaths: &Deaths{}, Load: noLoad,
			}
			body := `{"backend_server":"` + meant + `","request_id":"r","generation":1,"model":"m"}`
			w := httptest.NewRecorder()
			g.Begin(w, httptest.NewRequest(http.MethodPost, agentapi.PathGenerate, strings.NewReader(body)))
			refusal := problem.Unmarshal(w.Body.Bytes())
			So(refusal, ShouldNotBeNil)
			So(refusal.Run, ShouldEqual, problem.RunNot)
			So(refusal.Code, ShouldEqual, problem.CodeNoBackend)
			g.Wait()
			So(engine.asked, ShouldEqual, 0)
		})
	}
}
