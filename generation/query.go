package generation

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
)

// Log returns the tokens of the answer so far.
func (r *Relay) Log() *Log { return &r.log }

// Generation returns the current generation.
func (r *Relay) Generation() wigeonfork.Generation { return r.generation }

// State returns the state of the answer's life cycle.
func (r *Relay) State() string { return r.machine.Current() }

// Ended reports whether the answer is complete, failed or abandoned.
func (r *Relay) Ended() bool {
	switch r.machine.Current() {
	case StateComplete, StateFailed, StateAbandoned:
		return true
	}
	return false
}

// StopReason returns why the answer is complete. It is empty in any other state.
func (r *Relay) StopReason() backend.StopReason { return r.stopReason }

// Usage returns the numbers of prompt, cached prompt and answer tokens.
func (r *Relay) Usage() (prompt, cached, answer uint32) {
	return r.promptTokens, r.cachedTokens, uint32(r.log.Len())
}

// Failure returns the failure of the current generation, or frame.FailureNone.
func (r *Relay) Failure() frame.Failure { return r.failure }

// Attempts returns the number of generations that were started or adopted.
func (r *Relay) Attempts() int { return r.attempts }

// Counters returns the event counts so far.
func (r *Relay) Counters() Counters { return r.counters }

// LastProgress returns the time of the last new token, start of a generation, reattachment or call
// of ResetTimeouts.
func (r *Relay) LastProgress() time.Time { return r.lastProgress }

// TokenInterval returns the moving mean of the time between two tokens, over all generations, or 0
// before the first sample.
func (r *Relay) TokenInterval() time.Duration { return r.interval.mean }
