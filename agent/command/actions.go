package command

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/action/ledger"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// callTimeout bounds a call to a plain service.
	callTimeout = 30 * time.Second
	// recordInterval is the time between two scans for outcomes that no entry has
	// recorded.
	recordInterval = time.Second
	// recordBatch bounds the outcomes recorded in one scan.
	recordBatch = 32
	// recordTimeout bounds the recording of one outcome.
	recordTimeout = 5 * time.Second
	// refusalRetryAfter is the retry delay in refusals of calls and orders whose
	// cause is temporary.
	refusalRetryAfter = 500 * time.Millisecond
)

// Recorder writes the outcome of a claim to the table. A nil reply is an unknown
// outcome.
type Recorder interface {
	Record(ctx context.Context, claim action.Claim, reply *backend.Reply) error
}

// Actions runs the calls to an agent's plain service, each at most once.
type Actions struct {
	Service  backend.Service
	Recorder Recorder
	Log      *telemetry.Logger
	Metrics  telemetry.Registry
	// Background is cancelled when the agent stops. Calls run under it, so that they
	// outlive the entry's request.
	Background context.Context

	started time.Time
	mu      sync.Mutex
	ledger  *ledger.Ledger
	waiters map[action.ClaimID]chan struct{}
	running sync.WaitGroup
}

// NewActions returns the Actions of one incarnation of an agent.
func NewActions(service backend.Service, recorder Recorder, incarnation action.Incarnation, background context.Context, log *telemetry.Logger, metrics telemetry.Registry) *Actions {
	return &Actions{
		Service:    service,
		Recorder:   recorder,
		Log:        log,
		Metrics:    metrics,
		Background: background,
		started:    time.Now(),
		ledger:     ledger.New(ledger.DefaultConfig(incarnation)),
		waiters:    map[action.ClaimID]chan struct{}{},
	}
}

// now returns the start time plus the monotonic time since then. It never goes
// back within an incarnation, even if the host's clock is set back.
func (a *Actions) now() time.Time { return a.started.Add(time.Since(a.started)) }

// Dispatch runs a claimed call at most once and responds with its reply. The call
// continues if the entry's connection is closed.
func (a *Actions) Dispatch(w http.ResponseWriter, r *http.Request) {
	var dispatch agentapi.Dispatch
	if err := readJSON(w, r, &dispatch); err != nil {
		problem.Write(w, err)
		return
	}
	claim := dispatch.Claim
	a.mu.Lock()
	decision := a.ledger.Dispatch(a.now(), claim)
	if decision.Verdict == ledger.VerdictRun {
		a.waiters[claim.ID] = make(chan struct{})
	}
	done := a.waiters[claim.ID]
	a.mu.Unlock()
	switch decision.Verdict {
	case ledger.VerdictRun:
		a.start(claim, dispatch.Call)
		a.awaitOutcome(w, r, claim, done)
	case ledger.VerdictRunning:
		a.awaitOutcome(w, r, claim, done)
	case ledger.VerdictDone:
		writeJSON(w, decision.Reply)
	case ledger.VerdictNotRun:
		problem.Write(w, notRunError(claim, decision.Reason))
	default:
		problem.Write(w, outcomeUnknownError(claim))
	}
}

func outcomeUnknownError(claim action.Claim) *problem.Error {
	return problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepDispatch, "the service's answer was lost").For(claim.RequestID)
}

func notRunError(claim action.Claim, reason ledger.Reason) *problem.Error {
	return problem.New(problem.CodeDraining, problem.RunNot, problem.StepDispatch, "agent does not run the call: %s", reason).
		For(claim.RequestID).After(refusalRetryAfter)
}

func serviceUnreachableError(claim action.Claim) *problem.Error {
	return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepDispatch, "the service cannot be reached").
		For(claim.RequestID).After(refusalRetryAfter)
}

// start runs the call in its own goroutine, independent of the entry's request.
func (a *Actions) start(claim action.Claim, call backend.Call) {
	telemetry.Counter(a.Metrics, "agent.actions").Inc(1)
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		a.run(claim, call)
	}()
}

func (a *Actions) run(claim action.Claim, call backend.Call) {
	ctx, cancel := context.WithTimeout(a.Background, callTimeout)
	defer cancel()
	call.ClaimID = string(claim.ID)
	reply, err := a.Service.Call(ctx, call)
	if err != nil {
		telemetry.Counter(a.Metrics, "agent.actions_failed").Inc(1)
		a.Log.Warn().Str("request", string(claim.RequestID)).Str("step", string(problem.StepDispatch)).
			Str("outcome", infra.OutcomeOf(err).String()).Err(err).Msg("action_failed")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(claim.ID, reply, err)
	close(a.waiters[claim.ID])
	delete(a.waiters, claim.ID)
}

// finish records the result of a call in the ledger. The caller holds a.mu.
func (a *Actions) finish(id action.ClaimID, reply backend.Reply, err error) {
	switch {
	case err == nil:
		a.ledger.Finished(a.now(), id, &reply)
	case infra.OutcomeOf(err) == infra.OutcomeNotDone:
		a.ledger.NotRun(id)
	default:
		a.ledger.Finished(a.now(), id, nil)
	}
}

// awaitOutcome waits until done is closed and responds with the call's outcome. It
// does not wait if done is nil. It sends no response if the entry's request ends
// first.
func (a *Actions) awaitOutcome(w http.ResponseWriter, r *http.Request, claim action.Claim, done <-chan struct{}) {
	if done != nil {
		select {
		case <-done:
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	decision := a.ledger.Dispatch(a.now(), claim)
	a.mu.Unlock()
	switch decision.Verdict {
	case ledger.VerdictDone:
		writeJSON(w, decision.Reply)
	case ledger.VerdictNotRun:
		problem.Write(w, serviceUnreachableError(claim))
	default:
		problem.Write(w, outcomeUnknownError(claim))
	}
}

// Resolve responds with the state of a claim in the ledger. A claim that was not
// dispatched before can never run afterwards, unless the query only peeks.
func (a *Actions) Resolve(w http.ResponseWriter, r *http.Request) {
	var query action.ResolveQuery
	if err := readJSON(w, r, &query); err != nil {
		problem.Write(w, err)
		return
	}
	a.mu.Lock()
	resolution := a.ledger.Resolve(a.now(), query)
	a.mu.Unlock()
	writeJSON(w, resolution)
}

// Acknowledge marks the outcomes of claims as recorded in the table.
func (a *Actions) Acknowledge(w http.ResponseWriter, r *http.Request) {
	var claims []action.ClaimID
	if err := readJSON(w, r, &claims); err != nil {
		problem.Write(w, err)
		return
	}
	a.mu.Lock()
	a.ledger.Recorded(a.now(), claims...)
	a.mu.Unlock()
	writeJSON(w, struct{}{})
}

// Drain makes Dispatch refuse new claims. Known claims are still answered.
func (a *Actions) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Drain()
}

// Abandon abandons the running calls, whose outcomes stay unknown, and returns their
// number. It then records the outcomes that are not in the table, so that callers
// can look them up after the agent has stopped. It ends early if a scan records
// none or ctx ends.
func (a *Actions) Abandon(ctx context.Context) int {
	a.mu.Lock()
	abandoned := a.ledger.Status().Running
	a.ledger.Abandon(a.now())
	a.mu.Unlock()
	for a.Unfinished() > 0 && ctx.Err() == nil {
		if a.recordDue(ctx) == 0 {
			break
		}
	}
	return abandoned
}

// Unfinished returns the number of calls that are running or whose outcomes are
// not in the table.
func (a *Actions) Unfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.ledger.Status()
	return status.Running + status.Unrecorded
}

// Status returns a summary for state dumps.
func (a *Actions) Status() ledger.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Status()
}

// RunRecorder records outcomes that no entry has acknowledged in time. It runs
// until ctx ends.
func (a *Actions) RunRecorder(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.recordDue(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// recordDue records the outcomes that are due and returns the number of those
// written.
func (a *Actions) recordDue(ctx context.Context) int {
	a.mu.Lock()
	due := a.ledger.Unrecorded(a.now(), recordBatch)
	a.mu.Unlock()
	written := 0
	for _, outcome := range due {
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		err := a.Recorder.Record(limited, outcome.Claim, outcome.Reply)
		cancel()
		if err != nil {
			a.Log.Warn().Str("request", string(outcome.Claim.RequestID)).Str("step", string(problem.StepOutcome)).Err(err).Msg("record_failed")
			continue
		}
		a.mu.Lock()
		a.ledger.Recorded(a.now(), outcome.Claim.ID)
		a.mu.Unlock()
		written++
	}
	return written
}

// Wait blocks until no call is running.
func (a *Actions) Wait() { a.running.Wait() }

func readJSON(w http.ResponseWriter, r *http.Request, into any) *problem.Error {
	body, err := httpserver.ReadBody(w, r, agentapi.MaxBodyBytes)
	if err != nil {
		return err
	}
	if json.Unmarshal(body, into) != nil {
		return problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepDispatch, "malformed message")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the entry has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
