// Package generation is the decision core for one answer: which frames belong to it, when its
// source is lost, and how it resumes. A generation is a numbered attempt at the answer. Its source
// is the agent that sends its frames, with the engine behind it. The types take the time and events
// as arguments and contain no goroutine, clock or connection.
package generation

import (
	"time"

	"github.com/looplab/fsm"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
)

// Limits bound how long a relay waits and how often it retries.
type Limits struct {
	// FrameTimeout is the longest time without any frame from the agent.
	FrameTimeout time.Duration
	// FirstTokenTimeout is the longest wait for the first token of the answer while heartbeats
	// arrive. If the answer already has tokens, a new generation waits for MaxStallTimeout
	// instead.
	FirstTokenTimeout time.Duration
	// MinStallTimeout and MaxStallTimeout bound the time allowed between two tokens.
	MinStallTimeout time.Duration
	MaxStallTimeout time.Duration
	// StallFactor is the stall timeout in multiples of the usual token interval, which is the
	// mean plus the mean deviation.
	StallFactor int
	// MaxAttempts bounds the number of generations of one answer.
	MaxAttempts int
	// MaxReattaches bounds the reattachments to one generation that yield no new token.
	MaxReattaches int
}

// DefaultLimits returns limits that let a stream resume within 2 s of the loss of its source.
func DefaultLimits() Limits {
	return Limits{
		FrameTimeout:      700 * time.Millisecond,
		FirstTokenTimeout: 10 * time.Second,
		MinStallTimeout:   400 * time.Millisecond,
		MaxStallTimeout:   1200 * time.Millisecond,
		StallFactor:       8,
		MaxAttempts:       8,
		MaxReattaches:     1,
	}
}

// Verdict is a relay's classification of a frame.
type Verdict uint8

// The verdicts.
const (
	// VerdictAppended: the frame added tokens to the answer.
	VerdictAppended Verdict = iota
	// VerdictHeartbeat: a heartbeat of the current generation.
	VerdictHeartbeat
	// VerdictDuplicate: the frame holds only tokens that the answer already has.
	VerdictDuplicate
	// VerdictStale: the frame is of another generation, or the answer has ended. It is dropped.
	VerdictStale
	// VerdictGap: the frame starts beyond the next position. The caller must reattach to the
	// source at the next position.
	VerdictGap
	// VerdictEnd: the answer is complete.
	VerdictEnd
	// VerdictFailure: this generation can't continue.
	VerdictFailure
)

// Suspicion is the reason why a source is suspected to be lost.
type Suspicion uint8

// The suspicions. Relay.Check returns only the first three.
const (
	SuspicionNone Suspicion = iota
	// SuspicionPathTimeout: no frame arrived for FrameTimeout.
	SuspicionPathTimeout
	// SuspicionEngineStalled: frames arrive, but the next token is overdue.
	SuspicionEngineStalled
	// SuspicionEngineSlow: tokens arrive at a fraction of the expected rate.
	SuspicionEngineSlow
	// SuspicionRequest: the request itself is suspected of crashing engines.
	SuspicionRequest
)

// NextStep is how to proceed after the source of an answer was lost.
type NextStep uint8

// The next steps.
const (
	// StepReattach: reattach to the same generation at the next position.
	StepReattach NextStep = iota
	// StepContinue: start a generation on another server, with the same version and seed, that
	// continues after the tokens of the answer so far.
	StepContinue
	// StepRestart: start a new generation on any server, since the answer has no tokens yet.
	StepRestart
	// StepFail: start no further generation and fail the answer.
	StepFail
)

// Counters count the irregular events of one answer. Duplicates, Stale and Gaps are frames with
// that verdict, Losses are losses of a source, and Reattached are reattachments.
type Counters struct {
	Duplicates uint32
	Stale      uint32
	Gaps       uint32
	Losses     uint32
	Reattached uint32
}

// Relay assembles one answer from the frames of its generations. It is not safe for concurrent
// use.
type Relay struct {
	limits               Limits
	machine              *fsm.FSM
	log                  Log
	generation           wigeonfork.Generation
	attempts             int
	reattachesSinceToken int
	streaming            bool

	stopReason   backend.StopReason
	promptTokens uint32
	cachedTokens uint32
	failure      frame.Failure
	counters     Counters

	lastFrame     time.Time
	lastProgress  time.Time
	tokenReceived bool
	interval      intervalEstimate
}

// NewRelay returns the relay of an answer that has not started.
func NewRelay(limits Limits) *Relay {
	return &Relay{limits: limits, machine: newLifecycle()}
}

// Adopt continues generation g, which another entry started.
func (r *Relay) Adopt(now time.Time, g wigeonfork.Generation) {
	r.generation = g
	r.startAttempt(now)
}

// Begin starts the next generation and returns its number. Frames of earlier ones are then stale.
func (r *Relay) Begin(now time.Time) wigeonfork.Generation {
	r.generation++
	r.startAttempt(now)
	return r.generation
}

func (r *Relay) startAttempt(now time.Time) {
	r.attempts++
	r.reattachesSinceToken = 0
	r.failure = frame.FailureNone
	fire(r.machine, eventDispatch)
	r.resetProgress(now)
}

// Reattach records that the caller reattached to the current generation.
func (r *Relay) Reattach(now time.Time) {
	r.reattachesSinceToken++
	r.counters.Reattached++
	fire(r.machine, eventDispatch)
	r.resetProgress(now)
}

// ResetTimeouts restarts the timeouts at now. The reader of the source calls it after it was busy,
// so that its own delay does not count against the source.
func (r *Relay) ResetTimeouts(now time.Time) {
	r.lastFrame = now
	r.lastProgress = now
}

func (r *Relay) resetProgress(now time.Time) {
	r.lastFrame = now
	r.lastProgress = now
	r.tokenReceived = false
	r.streaming = false
}

// Accept classifies a frame and adds its new tokens to the answer.
func (r *Relay) Accept(now time.Time, f *frame.Frame) Verdict {
	if f.Generation != r.generation || r.Ended() {
		r.counters.Stale++
		return VerdictStale
	}
	r.lastFrame = now
	switch f.Kind {
	case frame.KindTokens:
		return r.acceptTokens(now, f)
	case frame.KindHeartbeat:
		return VerdictHeartbeat
	case frame.KindEnd:
		return r.acceptEnd(f)
	default:
		r.failure = f.Failure
		return VerdictFailure
	}
}

func (r *Relay) acceptTokens(now time.Time, f *frame.Frame) Verdict {
	next := r.log.Len()
	if f.Position > next {
		r.counters.Gaps++
		return VerdictGap
	}
	duplicates := int(next - f.Position)
	if duplicates >= len(f.Tokens) {
		r.counters.Duplicates++
		return VerdictDuplicate
	}
	for _, token := range f.Tokens[duplicates:] {
		r.log.Append(token)
	}
	r.recordPrompt(f)
	r.recordProgress(now, len(f.Tokens)-duplicates)
	return VerdictAppended
}

func (r *Relay) recordProgress(now time.Time, tokens int) {
	if r.tokenReceived {
		r.interval.observe(now.Sub(r.lastProgress), tokens)
	}
	r.lastProgress = now
	r.tokenReceived = true
	r.reattachesSinceToken = 0
	if !r.streaming {
		r.streaming = true
		fire(r.machine, eventToken)
	}
}

func (r *Relay) recordPrompt(f *frame.Frame) {
	if f.PromptTokens > 0 && r.promptTokens == 0 {
		r.promptTokens = f.PromptTokens
		r.cachedTokens = f.CachedTokens
	}
}

func (r *Relay) acceptEnd(f *frame.Frame) Verdict {
	switch {
	case f.Position > r.log.Len():
		r.counters.Gaps++
		return VerdictGap
	case f.Position < r.log.Len():
		r.failure = frame.FailureEngineDead
		return VerdictFailure
	}
	r.recordPrompt(f)
	r.stopReason = f.Stop
	fire(r.machine, eventEnd)
	return VerdictEnd
}

// Check reports whether the source of r is suspected to be lost at now.
func (r *Relay) Check(now time.Time) Suspicion {
	if state := r.machine.Current(); state != StateDispatched && state != StateStreaming {
		return SuspicionNone
	}
	if now.Sub(r.lastFrame) > r.limits.FrameTimeout {
		return SuspicionPathTimeout
	}
	// A missing token counts against the engine only if a later frame arrived, which shows
	// that the path works.
	if r.lastFrame.Sub(r.lastProgress) > r.tokenTimeout() {
		return SuspicionEngineStalled
	}
	return SuspicionNone
}

// tokenTimeout returns the longest time to wait for the next token. It adapts to the recent
// intervals of the stream.
func (r *Relay) tokenTimeout() time.Duration {
	if !r.tokenReceived {
		if r.log.Len() > 0 {
			return r.limits.MaxStallTimeout
		}
		return r.limits.FirstTokenTimeout
	}
	if !r.interval.hasSample() {
		return r.limits.MaxStallTimeout
	}
	limit := r.interval.meanPlusDeviation() * time.Duration(r.limits.StallFactor)
	return min(max(limit, r.limits.MinStallTimeout), r.limits.MaxStallTimeout)
}

// SourceLost records that the source is lost and returns how to proceed. The caller sets
// agentReachable to false if the agent is known to be down or leaving.
func (r *Relay) SourceLost(agentReachable bool) NextStep {
	r.counters.Losses++
	fire(r.machine, eventSourceLost)
	if agentReachable && r.failure == frame.FailureNone && r.reattachesSinceToken < r.limits.MaxReattaches {
		return StepReattach
	}
	if r.attempts >= r.limits.MaxAttempts || r.failure == frame.FailureRejected {
		return StepFail
	}
	if r.log.Len() > 0 {
		return StepContinue
	}
	return StepRestart
}

// Fail ends the answer as failed.
func (r *Relay) Fail() { fire(r.machine, eventFail) }

// Abandon ends the answer because its caller disconnected.
func (r *Relay) Abandon() { fire(r.machine, eventAbandon) }
