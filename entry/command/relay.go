package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/entry/fleet"
	"github.com/wigeonfork/wigeonfork/entry/gate"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/moves"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/workpool"
)

const (
	// orphanTimeout is how long an agent keeps a generation running that no entry reads. Within
	// this time the caller can resume through another entry.
	orphanTimeout = 30 * time.Second
	// disconnectLinger is how long an agent keeps a generation running after its caller
	// disconnected.
	disconnectLinger = 3 * time.Second
	// configRetryAfter is the Retry-After of refusals for lack of a configuration or of a version
	// that takes traffic.
	configRetryAfter = time.Second
	// backendRetryAfter is the Retry-After once all backend servers have failed.
	backendRetryAfter = 2 * time.Second
	// placementRetryInterval is the time between two attempts to place an answer in progress.
	placementRetryInterval = 50 * time.Millisecond
	// placementRetryTimeout bounds these attempts.
	placementRetryTimeout = 5 * time.Second
	// releaseTimeout bounds the call that releases a generation at its agent.
	releaseTimeout = time.Second
)

// sink sends an answer to the caller. A returned error means that the caller disconnected.
type sink interface {
	// deliver sends text. next is the position after its last token.
	deliver(text []byte, next wigeonfork.Position) error
	// setHandle sets the resume handle of the current source for the following events.
	setHandle(handle string)
	finish(r *generation.Relay) error
	fail(err *problem.Error)
	// handOver asks the caller to resume at position next through another entry. It returns false
	// if the caller cannot resume.
	handOver(next wigeonfork.Position) bool
}

// Relayer relays answers from agents to callers.
type Relayer struct {
	Fleet   *fleet.Fleet
	Agents  *agentapi.Client
	Answers *session.Table
	Sealer  *generation.Sealer
	Gate    *gate.Gate
	// Evidence collects the outcomes of requests per version.
	Evidence *moves.EvidenceCollector
	Limits   generation.Limits
	// Policy maps each class to an engine priority.
	Policy admission.Policy
	// Pool runs background work that no caller waits for.
	Pool    *workpool.Pool
	Metrics telemetry.Registry
	Log     *telemetry.Logger
}

// errCallerDisconnected ends a relay whose caller disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// answerRelay relays one answer. Its source is the agent from which it reads the tokens.
type answerRelay struct {
	*Relayer
	ctx    context.Context
	answer *session.Answer
	route  template.Route
	sink   sink
	chat   bool
	// delivered is the position after the last token that was sent to the caller.
	delivered wigeonfork.Position
	// placement is nil while no server is charged with the answer, as after a resume.
	placement     *fleet.Placement
	failedServers []wigeonfork.BackendServerID
	stream        *agentapi.Stream
	// streamNumber is the number of the latest stream at the agent. displaced is set once another
	// entry reads the generation instead.
	streamNumber string
	displaced    bool
	frame        frame.Frame
	lastTokenAt  time.Time
	interruption interruption
	tokens       metrics.Counter
	timing       attemptTiming
	// leftSlowEngine is set once the answer has left a slow engine. An answer does so only once.
	leftSlowEngine bool
}

// run relays the answer until it completes, fails or leaves this entry.
func (r *answerRelay) run() {
	adopted := r.answer.Relay().Generation() > 0
	for {
		if r.displaced {
			r.leave("relay.displaced")
			return
		}
		var err error
		if adopted {
			err = r.reattach()
			adopted = false
		}
		if err == nil {
			err = r.attempt()
		}
		switch {
		case err == nil:
			r.complete()
			return
		case r.ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
			r.abandon()
			return
		case r.answer.Relay().Failure() == frame.FailureDisplaced:
			r.leave("relay.displaced")
			return
		case r.answer.HandedOver():
			r.handOver()
			return
		}
		if final := r.handleSourceLoss(err); final != nil {
			r.answer.Fail()
			r.sink.fail(final.For(r.answer.Call.RequestID))
			return
		}
	}
}

// attempt reads the current source to its end, or starts a generation if there is none. It returns
// nil when the answer is complete.
func (r *answerRelay) attempt() error {
	if r.stream == nil {
		if err := r.startGeneration(); err != nil {
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
		if r.placement != nil && r.frame.Load != (frame.Load{}) && verdict != generation.VerdictStale {
			r.Fleet.Heartbeat(now, r.placement, r.frame.Load)
		}
		if progress := verdict == generation.VerdictAppended || verdict == generation.VerdictEnd; progress {
			r.recordResumption(now)
		}
		switch verdict {
		case generation.VerdictAppended:
			r.recordTokens(now)
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

func (r *answerRelay) closeStream() {
	_ = r.stream.Close()
	r.stream = nil
}

// startGeneration starts the next generation on a chosen backend server.
func (r *answerRelay) startGeneration() error {
	now := time.Now()
	placement, err := r.choosePlacement(now)
	if err != nil {
		return err
	}
	r.placement = placement
	r.Gate.Started(now, r.answer.Key, placement.Server)
	r.observeStart(now)
	r.streamNumber = ""
	ctx, cancel := context.WithCancel(r.ctx)
	call := r.answer.Begin(now, placement.Agent, cancel)
	call.BackendServer = placement.Server
	call.Priority = r.Policy.Priority(call.Class, r.answer.Relay().Attempts() > 1)
	if !r.leftSlowEngine && r.Fleet.Usable() > 1 {
		r.answer.WatchSpeed(routing.NewWatch(now, placement.ExpectedGap, placement.ExpectedWait))
	}
	r.issueHandle(&call)
	r.lastTokenAt = now
	stream, err := r.Agents.Generate(ctx, placement.Agent, &call)
	if err != nil {
		cancel()
		return err
	}
	r.stream = stream
	r.streamNumber = stream.ReaderNumber()
	r.interruption.connectedAt = time.Now()
	return nil
}

// choosePlacement returns a placement. If the caller already has tokens, it waits up to
// placementRetryTimeout for one. Otherwise it fails at once.
func (r *answerRelay) choosePlacement(now time.Time) (*fleet.Placement, error) {
	query := fleet.Query{
		Route:     &r.route,
		Model:     r.answer.Call.Model,
		Version:   r.answer.Call.Version,
		Resume:    r.answer.Relay().Attempts() > 0,
		Class:     r.answer.Call.Class,
		Adapter:   r.answer.Call.Adapter,
		Prompt:    r.answer.Call.Prompt,
		MaxTokens: r.answer.Call.MaxTokens,
		Avoid:     r.avoidedServers(now),
	}
	deadline := now.Add(placementRetryTimeout)
	for {
		placement, err := r.Fleet.Choose(now, query)
		if err == nil || r.delivered == 0 || now.After(deadline) {
			return placement, err
		}
		select {
		case <-time.After(placementRetryInterval):
			now = time.Now()
		case <-r.ctx.Done():
			return nil, r.ctx.Err()
		}
	}
}

// avoidedServers returns the servers that failed the request. For a request suspected of crashing
// engines it adds the servers that the quarantine detector avoids.
func (r *answerRelay) avoidedServers(now time.Time) []wigeonfork.BackendServerID {
	suspect, _ := r.Gate.CheckQuarantine(now, r.answer.Key)
	if !suspect {
		return r.failedServers
	}
	servers := make([]wigeonfork.BackendServerID, r.route.Servers.Len())
	for i := range servers {
		servers[i] = r.route.Servers.At(i)
	}
	return append(r.Gate.Avoid(now, r.answer.Key, servers), r.failedServers...)
}

func (r *answerRelay) issueHandle(call *agentapi.Generate) {
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
	r.sink.setHandle(handle)
}

func (r *answerRelay) recordTokens(now time.Time) {
	r.timing.recordTokens(now, len(r.frame.Tokens))
	if r.placement != nil {
		r.Fleet.Progress(now, r.placement, len(r.frame.Tokens), now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
}

// deliver sends the tokens that the caller does not have yet, unless more can be read without
// blocking.
func (r *answerRelay) deliver() error {
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

func (r *answerRelay) write(text []byte, next wigeonfork.Position) error {
	r.answer.SetWriting(time.Time{}, true)
	err := r.sink.deliver(text, next)
	r.answer.SetWriting(time.Now(), false)
	if err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	r.tokens.Inc(int64(next - r.delivered))
	r.delivered = next
	return nil
}

// complete sends the remaining tokens and the end of the answer.
func (r *answerRelay) complete() {
	r.recordCompletion()
	relay := r.answer.Relay()
	end := relay.Log().Len()
	if r.delivered < end && r.write(relay.Log().Text(r.delivered, end), end) != nil {
		return
	}
	if r.sink.finish(relay) == nil {
		telemetry.Counter(r.Metrics, "relay.completed").Inc(1)
	}
}

// recordCompletion releases the load of the request on its server, whether or not the caller is
// still connected.
func (r *answerRelay) recordCompletion() {
	if r.placement == nil {
		return
	}
	now := time.Now()
	r.Fleet.Finished(now, r.placement, uint32(r.answer.Relay().Log().Len()))
	r.Gate.Completed(now, r.answer.Key)
	r.observeEnd(now, rollout.OutcomeOK)
	r.Gate.Succeeded(now, r.retryOrigin())
}

// abandon ends an answer whose caller disconnected. The agent keeps the generation for
// disconnectLinger, so that the caller can resume.
func (r *answerRelay) abandon() {
	r.leave("relay.abandoned")
	r.release(disconnectLinger)
}

// leave ends the relay without ending the generation, so that another relay can adopt it. It
// increments counter.
func (r *answerRelay) leave(counter string) {
	r.answer.Abandon()
	telemetry.Counter(r.Metrics, counter).Inc(1)
	if r.placement != nil {
		now := time.Now()
		r.Fleet.Failed(now, r.placement)
		r.Gate.Stopped(now, r.answer.Key, r.placement.Server)
	}
}

// handOver asks the caller to resume through another entry, since this one is leaving.
func (r *answerRelay) handOver() {
	if r.sink.handOver(r.delivered) {
		r.leave("relay.handed_over")
		return
	}
	r.abandon()
	final := problem.New(problem.CodeDraining, problem.RunUnknown, problem.StepDrain, "entry left before the answer was whole").After(configRetryAfter)
	r.sink.fail(final.For(r.answer.Call.RequestID))
}

// release asks the agent to stop the current generation after linger.
func (r *answerRelay) release(linger time.Duration) {
	agent := r.answer.Agent()
	if agent == "" {
		return
	}
	id, g, reader := r.answer.Call.RequestID, r.answer.Relay().Generation(), r.streamNumber
	submitted := r.Pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.Agents.Release(ctx, agent, id, g, linger, reader); err != nil {
			r.Log.Debug().Str("step", "relay").Str("peer", agent).Err(err).Msg("release_failed")
		}
	})
	if !submitted {
		telemetry.Counter(r.Metrics, "relay.releases_dropped").Inc(1)
	}
}
