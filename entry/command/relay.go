package command

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/entry/gate"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/moves"
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/workpool"
)

const (
	// orphanLimit is how long an agent goes on with a generation that no entry
	// reads, so that the caller can come back through another entry.
	orphanLimit = 30 * time.Second
	// callerLinger is the same after the caller itself went away.
	callerLinger = 3 * time.Second
	// configRetry is when to come back after a refusal for want of a
	// configuration or of a version that takes traffic.
	configRetry = time.Second
	// backendRetry is when to come back after all backend servers failed.
	backendRetry = 2 * time.Second
	// placeRetryInterval is the time between two looks for a backend server
	// for an answer that is under way.
	placeRetryInterval = 50 * time.Millisecond
	// placeRetryLimit bounds that search.
	placeRetryLimit = 5 * time.Second
	// releaseTimeout bounds the call that frees a generation.
	releaseTimeout = time.Second
)

// sink takes an answer on its way to the caller. Its errors mean that the
// caller is gone.
type sink interface {
	// deliver writes the text of the tokens before next.
	deliver(text []byte, next wigeonfork.Position) error
	// source tells where the tokens are held from now on.
	source(handle string)
	finish(r *generation.Relay) error
	fail(err *problem.Error)
}

// Relayer relays answers from agents to callers.
type Relayer struct {
	Fleet   *fleet.Fleet
	Agents  *agentapi.Client
	Answers *session.Table
	Sealer  *generation.Sealer
	Gate    *gate.Gate
	// Evidence takes note of how versions do.
	Evidence *moves.Evidence
	Limits   generation.Limits
	// Pool runs what no caller waits for.
	Pool    *workpool.Pool
	Metrics telemetry.Registry
	Log     *telemetry.Logger
}

// errCallerGone ends a relay whose caller went away.
var errCallerGone = errors.New("caller is gone")

// run is the relay of one answer.
type run struct {
	*Relayer
	ctx       context.Context
	answer    *session.Answer
	route     template.Route
	sink      sink
	chat      bool
	delivered wigeonfork.Position
	place     *fleet.Place
	failed    []wigeonfork.BackendServerID
	stream    *agentapi.Stream
	frame     frame.Frame
	lastToken time.Time
	loss      loss
	tokens    metrics.Counter
	pace      pace
}

// loss holds the times of an interruption: when the source was found lost and
// when another was reached.
type loss struct {
	lastProgress time.Time
	detected     time.Time
	reached      time.Time
}

// relay drives the answer to its end.
func (r *run) relay() {
	adopted := r.answer.Relay().Generation() > 0
	for {
		var err error
		if adopted {
			err = r.reattach()
			adopted = false
		}
		if err == nil {
			err = r.attempt()
		}
		if err == nil {
			r.complete()
			return
		}
		if r.ctx.Err() != nil || errors.Is(err, errCallerGone) {
			r.abandon()
			return
		}
		if final := r.goOn(err); final != nil {
			r.answer.Fail()
			r.sink.fail(final.For(r.answer.Call.RequestID))
			return
		}
	}
}

// attempt reads the present source to its end, or begins one if there is none.
// It returns nil when the answer is whole.
func (r *run) attempt() error {
	if r.stream == nil {
		if err := r.begin(); err != nil {
			return err
		}
	}
	defer r.closeStream()
	for {
		if err := r.stream.Read(&r.frame); err != nil {
			return err
		}
		now := time.Now()
		verdict := r.answer.Accept(now, &r.frame)
		if progress := verdict == generation.VerdictAppended || verdict == generation.VerdictEnd; progress {
			r.noteResumed(now)
		}
		switch verdict {
		case generation.VerdictAppended:
			r.noteTokens(now)
			if err := r.deliver(); err != nil {
				return err
			}
		case generation.VerdictEnd:
			return nil
		case generation.VerdictGap, generation.VerdictFailure:
			return errors.Newf("source ended: %s", r.answer.Relay().Failure())
		}
	}
}

func (r *run) closeStream() {
	_ = r.stream.Close()
	r.stream = nil
}

// begin starts the next generation at a chosen backend server.
func (r *run) begin() error {
	now := time.Now()
	place, err := r.choose(now)
	if err != nil {
		return err
	}
	r.place = place
	r.Gate.Started(now, r.answer.Key, place.Server)
	r.observeStart(now)
	ctx, cancel := context.WithCancel(r.ctx)
	call := r.answer.Begin(now, place.Agent, cancel)
	r.announce(&call)
	r.lastToken = now
	stream, err := r.Agents.Generate(ctx, place.Agent, &call)
	if err != nil {
		cancel()
		return err
	}
	r.stream = stream
	r.loss.reached = time.Now()
	return nil
}

// choose returns a place. For an answer that is under way it waits for one; a
// new request is refused at once.
func (r *run) choose(now time.Time) (*fleet.Place, error) {
	query := fleet.Query{
		Route:     &r.route,
		Version:   r.answer.Call.Version,
		Class:     r.answer.Call.Class,
		Adapter:   r.answer.Call.Adapter,
		Prompt:    r.answer.Call.Prompt,
		MaxTokens: r.answer.Call.MaxTokens,
		Exclude:   r.excluded(now),
	}
	giveUpAt := now.Add(placeRetryLimit)
	for {
		place, err := r.Fleet.Choose(now, query)
		if err == nil || r.delivered == 0 || now.After(giveUpAt) {
			return place, err
		}
		select {
		case <-time.After(placeRetryInterval):
			now = time.Now()
		case <-r.ctx.Done():
			return nil, r.ctx.Err()
		}
	}
}

// excluded returns the servers that failed the request and, for one that is
// suspected to crash engines, those that it should not share.
func (r *run) excluded(now time.Time) []wigeonfork.BackendServerID {
	suspect, _ := r.Gate.Admissible(now, r.answer.Key)
	if !suspect {
		return r.failed
	}
	servers := make([]wigeonfork.BackendServerID, r.route.Servers.Len())
	for i := range servers {
		servers[i] = r.route.Servers.At(i)
	}
	return append(r.Gate.Avoid(now, r.answer.Key, servers), r.failed...)
}

func (r *run) announce(call *agentapi.Generate) {
	handle, err := r.Sealer.Seal(generation.Handle{
		RequestID:  call.RequestID,
		Workspace:  call.Workspace,
		Model:      call.Model,
		Version:    call.Version,
		Generation: call.Generation,
		Agent:      r.answer.Agent(),
		Chat:       r.chat,
	})
	if err != nil {
		r.Log.Error().Str("step", "relay").Err(err).Msg("handle_failed")
		return
	}
	r.sink.source(handle)
}

func (r *run) noteTokens(now time.Time) {
	r.pace.tokens(now, len(r.frame.Tokens))
	if r.place != nil {
		r.Fleet.Progress(now, r.place, len(r.frame.Tokens), now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// deliver writes what the caller does not have yet, unless more can be read
// without blocking.
func (r *run) deliver() error {
	if r.stream != nil && r.stream.Buffered() {
		return nil
	}
	log := r.answer.Relay().Log()
	next := log.RuneBoundary(r.delivered)
	if next <= r.delivered {
		return nil
	}
	return r.write(log.Text(r.delivered, next), next)
}

func (r *run) write(text []byte, next wigeonfork.Position) error {
	r.answer.Busy(time.Time{}, true)
	err := r.sink.deliver(text, next)
	r.answer.Busy(time.Now(), false)
	if err != nil {
		return errors.Mark(err, errCallerGone)
	}
	r.tokens.Inc(int64(next - r.delivered))
	r.delivered = next
	return nil
}

// complete delivers the rest and the end.
func (r *run) complete() {
	relay := r.answer.Relay()
	end := relay.Log().Len()
	if r.delivered < end {
		if r.write(relay.Log().Text(r.delivered, end), end) != nil {
			return
		}
	}
	if r.place != nil {
		now := time.Now()
		r.Fleet.Finished(now, r.place, uint32(end))
		r.Gate.Completed(now, r.answer.Key)
		r.observeEnd(now, rollout.OutcomeOK)
		r.Gate.Succeeded(now, r.origin())
	}
	if r.sink.finish(relay) == nil {
		telemetry.Counter(r.Metrics, "relay.completed").Inc(1)
	}
}

// goOn decides how an interrupted answer goes on. It returns the final error
// if it does not.
func (r *run) goOn(cause error) *problem.Error {
	var answered *problem.Error
	reachable := !errors.As(cause, &answered) && platform.OutcomeOf(cause) != platform.OutcomeNotDone
	if answered != nil && answered.Step == problem.StepRoute {
		return r.interrupted(answered)
	}
	step, suspicion := r.answer.Lose(reachable)
	r.noteLost(cause, suspicion)
	r.noteEngineDeath()
	r.observeFailure()
	if step == generation.StepReattach {
		if r.reattach() == nil {
			return nil
		}
		step, _ = r.answer.Lose(false)
	}
	r.leavePlace()
	switch step {
	case generation.StepGiveUp:
		return r.interrupted(nil)
	case generation.StepRestart:
		return r.mayRestart()
	default:
		return r.mayContinue()
	}
}

func (r *run) origin() retry.Origin {
	return retry.Origin{Workspace: r.answer.Call.Workspace}
}

// noteEngineDeath takes in the engine's death that the agent reported.
func (r *run) noteEngineDeath() {
	if r.answer.Relay().Failure() != frame.FailureEngineDead || r.frame.Message == "" {
		return
	}
	var death quarantine.Death
	if err := cbor.Unmarshal([]byte(r.frame.Message), &death); err != nil {
		r.Log.Warn().Str("step", "resume").Str("peer", r.answer.Agent()).Err(err).Msg("death_malformed")
		return
	}
	// The agent's clock may be off; deaths are put in order by this entry's.
	death.At = time.Now()
	r.Gate.EngineDied(death.At, death)
}

// mayRestart asks the retry budgets for an attempt from the start, since the
// caller has received nothing and can as well come back.
func (r *run) mayRestart() *problem.Error {
	if refusal := r.mayContinue(); refusal != nil {
		return refusal
	}
	allowed, after := r.Gate.MayRetry(time.Now(), r.origin())
	if allowed {
		return nil
	}
	return problem.New(problem.CodeOverloaded, problem.RunUnknown, problem.StepResume, "retry budget is used up").After(after)
}

// mayContinue waits while the request is examined for engine deaths under it.
// It returns the final error if it is quarantined or the wait is too long.
func (r *run) mayContinue() *problem.Error {
	giveUpAt := time.Now().Add(placeRetryLimit)
	for {
		now := time.Now()
		_, refusal := r.Gate.Admissible(now, r.answer.Key)
		if refusal == nil {
			return nil
		}
		if refusal.RetryAfter == 0 || now.After(giveUpAt) {
			refusal.Run = problem.RunUnknown
			refusal.Step = problem.StepResume
			return refusal
		}
		select {
		case <-time.After(min(refusal.RetryAfter, placeRetryInterval)):
		case <-r.ctx.Done():
			return nil
		}
	}
}

// reattach takes up the same generation at the next position.
func (r *run) reattach() error {
	ctx, cancel := context.WithCancel(r.ctx)
	g, from := r.answer.Reattach(time.Now(), cancel)
	stream, err := r.Agents.Attach(ctx, r.answer.Agent(), r.answer.Call.RequestID, g, from)
	if err != nil {
		cancel()
		return err
	}
	r.stream = stream
	r.loss.reached = time.Now()
	return nil
}

func (r *run) leavePlace() {
	if r.place == nil {
		return
	}
	// The engine may be alive and only held to be lost.
	r.release(0)
	now := time.Now()
	r.Fleet.Failed(now, r.place)
	r.Gate.Stopped(now, r.answer.Key, r.place.Server)
	r.Fleet.Suspect(now, r.place.Server)
	if !slices.Contains(r.failed, r.place.Server) {
		r.failed = append(r.failed, r.place.Server)
	}
	r.place = nil
}

// interrupted returns the final error of an answer that cannot go on. Before
// the first attempt nothing was run.
func (r *run) interrupted(cause *problem.Error) *problem.Error {
	relay := r.answer.Relay()
	if relay.Attempts() == 0 && cause != nil {
		refusal := *cause
		return refusal.After(backendRetry)
	}
	if relay.Failure() == frame.FailureRejected {
		return problem.New(problem.CodeInvalidRequest, problem.RunUnknown, problem.StepDispatch, "backend server refused the request").At(r.answer.Agent())
	}
	return problem.New(problem.CodeInterrupted, problem.RunUnknown, problem.StepResume, "answer was interrupted after %d tokens and %d attempts", relay.Log().Len(), relay.Attempts()).
		At(r.answer.Agent()).After(backendRetry)
}

func (r *run) noteLost(cause error, suspicion generation.Suspicion) {
	if r.loss.detected.IsZero() {
		r.loss.detected = time.Now()
		r.loss.lastProgress = r.answer.Relay().LastProgress()
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

// noteResumed measures the parts of an interruption that has ended.
func (r *run) noteResumed(now time.Time) {
	if r.loss.detected.IsZero() {
		return
	}
	detection := r.loss.detected.Sub(r.loss.lastProgress)
	choice := r.loss.reached.Sub(r.loss.detected)
	firstToken := now.Sub(r.loss.reached)
	telemetry.Counter(r.Metrics, "relay.resumed").Inc(1)
	telemetry.Histogram(r.Metrics, MetricDetection).Update(detection.Microseconds())
	telemetry.Histogram(r.Metrics, MetricChoice).Update(choice.Microseconds())
	telemetry.Histogram(r.Metrics, MetricFirstToken).Update(firstToken.Microseconds())
	r.Log.Info().Str("request", string(r.answer.Call.RequestID)).Str("peer", r.answer.Agent()).
		Int64("detection_us", detection.Microseconds()).Int64("choice_us", choice.Microseconds()).
		Int64("first_token_us", firstToken.Microseconds()).Msg("answer_resumed")
	r.loss = loss{}
}

// The histograms of the parts of an interruption, in microseconds: from the
// last token to the detection of the loss, from there to the next source, and
// from there to its first token.
const (
	MetricDetection  = "relay.resume_detection_us"
	MetricChoice     = "relay.resume_choice_us"
	MetricFirstToken = "relay.resume_first_token_us"
)

// abandon frees the engine of an answer whose caller went away. The agent
// keeps it for a moment in case the caller comes back.
func (r *run) abandon() {
	r.answer.Abandon()
	telemetry.Counter(r.Metrics, "relay.abandoned").Inc(1)
	if r.place != nil {
		now := time.Now()
		r.Fleet.Failed(now, r.place)
		r.Gate.Stopped(now, r.answer.Key, r.place.Server)
	}
	r.release(callerLinger)
}

// release frees the engine of the current generation after linger.
func (r *run) release(linger time.Duration) {
	agent := r.answer.Agent()
	if agent == "" {
		return
	}
	id, g := r.answer.Call.RequestID, r.answer.Relay().Generation()
	submitted := r.Pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.Agents.Release(ctx, agent, id, g, linger); err != nil {
			r.Log.Debug().Str("step", "relay").Str("peer", agent).Err(err).Msg("release_failed")
		}
	})
	if !submitted {
		telemetry.Counter(r.Metrics, "relay.releases_dropped").Inc(1)
	}
}
