package command

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// interruption holds the times of an interruption: the last progress, the detection of the lost
// source, and the connection to the next source.
type interruption struct {
	lastProgressAt time.Time
	detectedAt     time.Time
	connectedAt    time.Time
}

// handleSourceLoss recovers from the loss of the source: it reattaches, or releases the server so
// that run starts the next generation. It returns the final error if the answer cannot continue.
func (r *answerRelay) handleSourceLoss(cause error) *problem.Error {
	var problemErr *problem.Error
	reachable := !errors.As(cause, &problemErr) && infra.OutcomeOf(cause) != infra.OutcomeNotDone
	if problemErr != nil && problemErr.Step == problem.StepRoute {
		return r.interruptionError(problemErr)
	}
	step, suspicion := r.answer.SourceLost(reachable)
	r.recordLoss(cause, suspicion)
	r.recordEngineDeath()
	r.observeFailure()
	r.recordHealth(suspicion)
	if step == generation.StepReattach {
		if r.reattach() == nil {
			return nil
		}
		if r.displaced {
			return nil
		}
		step, _ = r.answer.SourceLost(false)
	}
	r.releasePlacement()
	switch step {
	case generation.StepFail:
		return r.interruptionError(nil)
	case generation.StepRestart:
		return r.admitRestart()
	default:
		return r.awaitAdmission()
	}
}

// recordHealth tells the fleet that an engine was found slow or stalled.
func (r *answerRelay) recordHealth(suspicion generation.Suspicion) {
	if r.placement == nil {
		return
	}
	switch suspicion {
	case generation.SuspicionEngineStalled:
		r.Fleet.MarkUnhealthy(time.Now(), r.placement.Server, routing.HealthStalled)
	case generation.SuspicionEngineSlow:
		r.Fleet.MarkUnhealthy(time.Now(), r.placement.Server, routing.HealthSlow)
		r.leftSlowEngine = true
	}
}

func (r *answerRelay) retryOrigin() retry.Origin {
	return retry.Origin{Workspace: r.answer.Call.Workspace}
}

// recordEngineDeath passes an engine death reported by the agent to the gate.
func (r *answerRelay) recordEngineDeath() {
	if r.answer.Relay().Failure() != frame.FailureEngineDead || r.frame.Message == "" {
		return
	}
	var death quarantine.Death
	if err := cbor.Unmarshal([]byte(r.frame.Message), &death); err != nil {
		r.Log.Warn().Str("step", "resume").Str("peer", r.answer.Agent()).Err(err).Msg("death_malformed")
		return
	}
	// The agent's clock may be off. Deaths are ordered by this entry's clock.
	death.At = time.Now()
	r.Gate.EngineDied(death.At, death)
}

// admitRestart admits a new attempt from the start if the retry budgets allow it. The caller has
// received nothing yet, so it can retry itself once the budgets are exhausted.
func (r *answerRelay) admitRestart() *problem.Error {
	if refusal := r.awaitAdmission(); refusal != nil {
		return refusal
	}
	allowed, after := r.Gate.TakeRetry(time.Now(), r.retryOrigin())
	if allowed {
		return nil
	}
	return problem.New(problem.CodeOverloaded, problem.RunUnknown, problem.StepResume, "retry budget is used up").After(after)
}

// awaitAdmission waits while the request is on hold because engines died while running it. It
// returns the final error if the request is quarantined or the wait exceeds placementRetryTimeout.
func (r *answerRelay) awaitAdmission() *problem.Error {
	deadline := time.Now().Add(placementRetryTimeout)
	for {
		now := time.Now()
		_, refusal := r.Gate.CheckQuarantine(now, r.answer.Key)
		if refusal == nil {
			return nil
		}
		if refusal.RetryAfter == 0 || now.After(deadline) {
			refusal.Run = problem.RunUnknown
			refusal.Step = problem.StepResume
			return refusal
		}
		select {
		case <-time.After(min(refusal.RetryAfter, placementRetryInterval)):
		case <-r.ctx.Done():
			return nil
		}
	}
}

// reattach reads the current generation again, from the next position.
func (r *answerRelay) reattach() error {
	ctx, cancel := context.WithCancel(r.ctx)
	g, from := r.answer.Reattach(time.Now(), cancel)
	stream, err := r.Agents.Attach(ctx, r.answer.Agent(), r.answer.Call.RequestID, g, from, r.streamNumber)
	if err != nil {
		cancel()
		var refusal *problem.Error
		r.displaced = errors.As(err, &refusal) && refusal.Code == problem.CodeConflict
		return err
	}
	r.stream = stream
	r.streamNumber = stream.ReaderNumber()
	r.interruption.connectedAt = time.Now()
	return nil
}

func (r *answerRelay) releasePlacement() {
	if r.placement == nil {
		return
	}
	// The engine may still be running the generation: the loss is only suspected.
	r.release(0)
	now := time.Now()
	r.Fleet.Failed(now, r.placement)
	r.Gate.Stopped(now, r.answer.Key, r.placement.Server)
	r.Fleet.Suspect(now, r.placement.Server, r.answer.Relay().Failure() == frame.FailureEngineDead)
	if !slices.Contains(r.failedServers, r.placement.Server) {
		r.failedServers = append(r.failedServers, r.placement.Server)
	}
	r.placement = nil
}

// interruptionError returns the final error of an answer that cannot continue. If no attempt was
// made, it is cause, which states that nothing was run.
func (r *answerRelay) interruptionError(cause *problem.Error) *problem.Error {
	relay := r.answer.Relay()
	if relay.Attempts() == 0 && cause != nil {
		refusal := *cause
		return refusal.After(backendRetryAfter)
	}
	if relay.Failure() == frame.FailureRejected {
		return problem.New(problem.CodeInvalidRequest, problem.RunUnknown, problem.StepDispatch, "backend server refused the request").At(r.answer.Agent())
	}
	return problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "answer was interrupted after %d tokens and %d attempts", relay.Log().Len(), relay.Attempts()).
		At(r.answer.Agent()).After(backendRetryAfter)
}

func (r *answerRelay) recordLoss(cause error, suspicion generation.Suspicion) {
	if r.interruption.detectedAt.IsZero() {
		r.interruption.detectedAt = time.Now()
		r.interruption.lastProgressAt = r.answer.Relay().LastProgress()
	}
	telemetry.Counter(r.Metrics, "relay.losses").Inc(1)
	failure := r.answer.Relay().Failure()
	event := r.Log.Info().Str("request", string(r.answer.Call.RequestID)).Str("peer", r.answer.Agent()).
		Str("failure", failure.String()).Uint32("position", uint32(r.delivered)).Uint32("suspicion", uint32(suspicion))
	if !errors.Is(cause, io.EOF) {
		event = event.Err(cause)
	}
	event.Msg("source_lost")
}

// recordResumption records the durations of an interruption that has ended.
func (r *answerRelay) recordResumption(now time.Time) {
	if r.interruption.detectedAt.IsZero() {
		return
	}
	detection := r.interruption.detectedAt.Sub(r.interruption.lastProgressAt)
	choice := r.interruption.connectedAt.Sub(r.interruption.detectedAt)
	firstToken := now.Sub(r.interruption.connectedAt)
	telemetry.Counter(r.Metrics, "relay.resumed").Inc(1)
	telemetry.Histogram(r.Metrics, MetricDetection).Update(detection.Microseconds())
	telemetry.Histogram(r.Metrics, MetricChoice).Update(choice.Microseconds())
	telemetry.Histogram(r.Metrics, MetricFirstToken).Update(firstToken.Microseconds())
	r.Log.Info().Str("request", string(r.answer.Call.RequestID)).Str("peer", r.answer.Agent()).
		Int64("detection_us", detection.Microseconds()).Int64("choice_us", choice.Microseconds()).
		Int64("first_token_us", firstToken.Microseconds()).Msg("answer_resumed")
	r.interruption = interruption{}
}

// The histograms of the phases of an interruption, in microseconds: from the last token to the
// detection of the loss, from there to the connection to the next source, and from there to its
// first token.
const (
	MetricDetection  = "relay.resume_detection_us"
	MetricChoice     = "relay.resume_choice_us"
	MetricFirstToken = "relay.resume_first_token_us"
)
