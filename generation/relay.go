// Package generation holds the decisions about one answer: which frames belong
// to it, when its source is lost, and where it goes on. The types take the time
// and events as arguments and hold no goroutine, clock or connection.
package generation

import (
	"time"

	"github.com/looplab/fsm"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
)

// Limits bound how long a relay waits and how often it tries.
type Limits struct {
	// FrameTimeout is the longest time without any frame of the agent.
	FrameTimeout time.Duration
	// FirstTokenTimeout is the longest time from dispatch to the first new token while
	// the agent's heartbeats arrive.
	FirstTokenTimeout time.Duration
	// MinStallTimeout and StallCeiling bound the longest time between two tokens.
	MinStallTimeout time.Duration
	MaxStallTimeout time.Duration
	// StallFactor is the multiple of the usual time between tokens after which
	// the engine counts as stalled.
	StallFactor int
	// MaxAttempts bounds the generations of one answer.
	MaxAttempts int
	// MaxReattaches bounds the attempts to take up one generation again without
	// progress in between.
	MaxReattaches int
}

// DefaultLimits returns limits that let output go on within 2 s of a loss.
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

// Verdict tells what a relay did with a frame.
type Verdict uint8

// The verdicts.
const (
	// VerdictAppended: the answer has grown.
	VerdictAppended Verdict = iota
	// VerdictHeartbeat: a heartbeat of the current generation.
	VerdictHeartbeat
	// VerdictDuplicate: only positions that the answer has already.
	VerdictDuplicate
	// VerdictStale: a frame of another generation; dropped.
	VerdictStale
	// VerdictGap: a position beyond the next one; the source must be taken up
	// again at the next position.
	VerdictGap
	// VerdictEnd: the answer is whole.
	VerdictEnd
	// VerdictFailure: the source says that this generation can't go on.
	VerdictFailure
)

// Suspicion tells why a source is held to be lost.
type Suspicion uint8

// The suspicions.
const (
	SuspicionNone Suspicion = iota
	SuspicionPathTimeout
	SuspicionEngineStalled
	// SuspicionEngineSlow: tokens come at a fraction of the expected rate.
	SuspicionEngineSlow
	// SuspicionRequest: the request itself is held to crash engines.
	SuspicionRequest
)

// NextStep tells how an interrupted answer goes on.
type NextStep uint8

// The next steps.
const (
	// StepReattach: take up the same generation at the next position.
	StepReattach NextStep = iota
	// StepContinue: a new generation elsewhere on the same version and seed,
	// behind the tokens of the answer so far.
	StepContinue
	// StepRestart: a new generation anywhere; nothing is delivered yet.
	StepRestart
	// StepFail: no further attempt.
	StepFail
)

// Counters count what a relay met.
type Counters struct {
	Duplicates uint32
	Stale      uint32
	Gaps       uint32
	Losses     uint32
	Reattached uint32
}

// Relay decides about the frames of one answer. It is not safe for concurrent
// use.
type Relay struct {
	limits     Limits
	machine    *fsm.FSM
	log        Log
	generation wigeonfork.Generation
	attempts   int
	reattached int
	streaming  bool

	stop         backend.StopReason
	promptTokens uint32
	cachedTokens uint32
	failure      frame.Failure
	counters     Counters

	lastFrame     time.Time
	lastProgress  time.Time
	tokenReceived bool
	interval      intervalEstimate
}

// NewRelay returns the relay of a new answer.
func NewRelay(limits Limits) *Relay {
	return &Relay{limits: limits, machine: newLifecycle()}
}

// Adopt makes r go on with a generation that another entry began.
func (r *Relay) Adopt(now time.Time, g wigeonfork.Generation) {
	r.generation = g
	r.startAttempt(now)
}

// Begin starts the next generation and returns its number.
func (r *Relay) Begin(now time.Time) wigeonfork.Generation {
	r.generation++
	r.startAttempt(now)
	return r.generation
}

func (r *Relay) startAttempt(now time.Time) {
	r.attempts++
	r.reattached = 0
	r.failure = frame.FailureNone
	fire(r.machine, eventDispatch)
	r.resetProgress(now)
}

// Reattach notes that the same generation is taken up again.
func (r *Relay) Reattach(now time.Time) {
	r.reattached++
	r.counters.Reattached++
	fire(r.machine, eventDispatch)
	r.resetProgress(now)
}

// ResetTimeouts notes that the reader of the source was busy until now, so that the
// time before is not counted as silence.
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

// Accept judges a frame and takes what belongs to the answer.
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
	r.reattached = 0
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
	r.stop = f.Stop
	fire(r.machine, eventEnd)
	return VerdictEnd
}

// Check reports whether the source of r is held to be lost at now.
func (r *Relay) Check(now time.Time) Suspicion {
	if state := r.machine.Current(); state != StateDispatched && state != StateStreaming {
		return SuspicionNone
	}
	if now.Sub(r.lastFrame) > r.limits.FrameTimeout {
		return SuspicionPathTimeout
	}
	// Only a frame that came without a token says that the engine is slow and
	// not the path.
	if r.lastFrame.Sub(r.lastProgress) > r.tokenTimeout() {
		return SuspicionEngineStalled
	}
	return SuspicionNone
}

// tokenTimeout is the longest time to wait for the next token. It follows the
// stream's own recent times between tokens.
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

// SourceLost notes that the source is lost and returns how to go on. agentReachable
// is false if the agent itself is known to be gone or leaving.
func (r *Relay) SourceLost(agentReachable bool) NextStep {
	r.counters.Losses++
	fire(r.machine, eventLose)
	if agentReachable && r.failure == frame.FailureNone && r.reattached < r.limits.MaxReattaches {
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

// Abandon ends the answer because its caller went away.
func (r *Relay) Abandon() { fire(r.machine, eventAbandon) }
