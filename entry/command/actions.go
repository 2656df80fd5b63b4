package command

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
)

// The HTTP headers of the action API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstAttempt set to "true" states that the key was never sent before.
	HeaderFirstAttempt = "X-First-Attempt"
)

// Limits of an action.
const (
	maxActionBytes        = 1 << 20
	defaultActionDeadline = 10 * time.Second
	maxActionDeadline     = 60 * time.Second
	// acknowledgeTimeout bounds the call that tells an agent that an outcome is recorded.
	acknowledgeTimeout = time.Second
)

// ActionHandler serves calls to plain services. Each call runs at most once under its key.
type ActionHandler struct {
	Executor      *action.Executor
	Fleet         *fleet.Fleet
	Configuration Configuration
	Metrics       telemetry.Registry
	Log           *telemetry.Logger
	// Accept registers a new request. It returns false if the entry is leaving. The returned
	// function must be called when the request ends.
	Accept func() (func(), bool)
}

// Run serves POST /v1/actions/{service}/{path...}.
func (a *ActionHandler) Run(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	end, accepted := a.Accept()
	if !accepted {
		problem.Write(w, problem.New(problem.CodeDraining, problem.RunNot, problem.StepAccept, "entry is leaving").For(id).After(configRetryAfter))
		return
	}
	defer end()
	telemetry.Counter(a.Metrics, "entry.actions").Inc(1)
	reply, err := a.run(w, r, id)
	if err != nil {
		if err.RequestID == "" {
			err.RequestID = id
		}
		telemetry.Counter(a.Metrics, "entry.actions_"+string(err.Run)).Inc(1)
		problem.Write(w, err)
		return
	}
	writeReply(w, reply)
}

func (a *ActionHandler) run(w http.ResponseWriter, r *http.Request, id wigeonfork.RequestID) (backend.Reply, *problem.Error) {
	body, err := httpserver.ReadBody(w, r, maxActionBytes)
	if err != nil {
		return backend.Reply{}, err
	}
	deadline, err := deadlineOf(r, maxActionDeadline)
	if err != nil {
		return backend.Reply{}, err
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(defaultActionDeadline)
	}
	service := wigeonfork.Model(r.PathValue("service"))
	route, err := resolve(a.Configuration.Snapshot(), r, service)
	if err != nil {
		return backend.Reply{}, err
	}
	placement, err := a.choosePlacement(&route, id)
	if err != nil {
		return backend.Reply{}, err
	}
	defer func() { a.Fleet.Finished(time.Now(), placement, 0) }()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	return a.Executor.Do(ctx, action.Request{
		Workspace:    route.Workspace,
		Key:          r.Header.Get(HeaderIdempotencyKey),
		Call:         backend.Call{Method: r.Method, Path: "/" + r.PathValue("path"), Body: body},
		Target:       action.Target{AgentAddress: placement.Agent, Incarnation: action.Incarnation(placement.Incarnation)},
		Deadline:     deadline,
		RequestID:    id,
		FirstAttempt: r.Header.Get(HeaderFirstAttempt) == "true",
	})
}

func (a *ActionHandler) choosePlacement(route *template.Route, id wigeonfork.RequestID) (*fleet.Placement, *problem.Error) {
	version, err := pickVersion(route, id)
	if err != nil {
		return nil, err
	}
	placement, chooseErr := a.Fleet.Choose(time.Now(), fleet.Query{Route: route, Version: version, Class: wigeonfork.ClassDisbursement})
	if chooseErr != nil {
		refusal := *problem.From(chooseErr, problem.StepRoute)
		return nil, refusal.After(backendRetryAfter)
	}
	return placement, nil
}

// Lookup serves GET /v1/actions with an Idempotency-Key. It returns the recorded outcome and runs
// nothing.
func (a *ActionHandler) Lookup(w http.ResponseWriter, r *http.Request) {
	workspace := wigeonfork.Workspace(r.Header.Get(HeaderWorkspace))
	reply, err := a.Executor.Lookup(r.Context(), workspace, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		problem.Write(w, err)
		return
	}
	writeReply(w, reply)
}

// NewKey serves POST /v1/action-keys. It issues a key that contains its issue time.
func (a *ActionHandler) NewKey(w http.ResponseWriter, _ *http.Request) {
	key, err := action.NewKey(time.Now())
	if err != nil {
		problem.Write(w, problem.From(err, problem.StepAccept))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller disconnected.
	_, _ = w.Write([]byte(`{"idempotency_key":"` + string(key) + `"}`))
}

func writeReply(w http.ResponseWriter, reply backend.Reply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	// A write error means that the caller disconnected, or reads nothing.
	_, _ = httpserver.NewStreamWriter(w, callerWriteTimeout).Write(reply.Body)
}

// Dispatcher sends claims to agents.
type Dispatcher struct {
	Agents *agentapi.Client
}

// errNoReply is the cause when the response to a dispatch holds no reply of a service. A process
// other than an agent then listens at the address.
var errNoReply = errors.New("answer holds no reply of a service")

// Dispatch implements action.Dispatcher.
func (d Dispatcher) Dispatch(ctx context.Context, claim action.Claim, call backend.Call) (backend.Reply, error) {
	var reply backend.Reply
	address := claim.Target.AgentAddress
	err := d.Agents.Post(ctx, address, agentapi.PathDispatch, agentapi.Dispatch{Claim: claim, Call: call}, &reply)
	if err == nil && reply.Status < http.StatusContinue {
		return backend.Reply{}, infra.NewError(infra.OutcomeUnknown, agentapi.PathDispatch, address, errNoReply)
	}
	return reply, err
}

// Resolve implements action.Dispatcher.
func (d Dispatcher) Resolve(ctx context.Context, address string, query action.ResolveQuery) (action.Resolution, error) {
	var resolution action.Resolution
	err := d.Agents.Post(ctx, address, agentapi.PathResolve, query, &resolution)
	return resolution, err
}

// Acknowledge implements action.Dispatcher.
func (d Dispatcher) Acknowledge(ctx context.Context, target action.Target, claims []action.ClaimID) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), acknowledgeTimeout)
	defer cancel()
	var answer struct{}
	// The agent records the outcome itself if this message is lost.
	_ = d.Agents.Post(limited, target.AgentAddress, agentapi.PathRecorded, claims, &answer)
}
