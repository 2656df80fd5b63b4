// Package session holds the answers that an entry relays to callers.
//
// Lock order: Table, then Answer. Neither is held over I/O.
package session

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/routing"
)

// Answer is one answer under way. One goroutine relays it; others only check
// and read it.
type Answer struct {
	// Call is what agents are asked; Generation and Prefix change with each
	// attempt.
	Call      agentapi.Generate
	StartedAt time.Time
	// Key names what is asked, whoever asks it.
	Key quarantine.Key

	mu        sync.Mutex
	relay     *generation.Relay
	agent     string
	writing   bool
	detach    context.CancelFunc
	suspicion generation.Suspicion
	// quarantined: the request is known to crash engines.
	quarantined bool
	// watch finds a slow engine; it is nil while the answer stays where it is.
	watch *routing.Watch
	// attemptTokens counts the tokens of the attempt that watch follows.
	attemptTokens int
	handedOver    bool
}

// NewAnswer returns an answer without tokens.
func NewAnswer(call agentapi.Generate, limits generation.Limits, now time.Time) *Answer {
	request := call.EngineRequest()
	return &Answer{Call: call, StartedAt: now, Key: quarantine.KeyOf(&request), relay: generation.NewRelay(limits)}
}

// Begin starts the next generation at the agent at address and returns its
// call. detach ends the connection when the source is held to be lost.
func (a *Answer) Begin(now time.Time, agent string, detach context.CancelFunc) agentapi.Generate {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attach(agent, detach)
	call := a.Call
	call.Generation = a.relay.Begin(now)
	call.Prefix = a.relay.Log().AppendTokens(nil, 0, int(a.relay.Log().Len()))
	return call
}

// Adopt goes on with a generation that another entry began.
func (a *Answer) Adopt(now time.Time, agent string, g wigeonfork.Generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.agent = agent
	a.relay.Adopt(now, g)
}

// Reattach takes up the current generation again. It returns the generation
// and the next position.
func (a *Answer) Reattach(now time.Time, detach context.CancelFunc) (wigeonfork.Generation, wigeonfork.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attach(a.agent, detach)
	a.relay.Reattach(now)
	return a.relay.Generation(), a.relay.Log().Len()
}

func (a *Answer) attach(agent string, detach context.CancelFunc) {
	a.agent = agent
	a.detach = detach
	a.suspicion = generation.SuspicionNone
	a.watch = nil
	if a.quarantined {
		a.suspicion = generation.SuspicionRequest
		detach()
	}
}

// Accept judges a frame; see generation.Relay.
func (a *Answer) Accept(now time.Time, f *frame.Frame) generation.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict := a.relay.Accept(now, f)
	if verdict == generation.VerdictAppended && a.watch != nil {
		a.watch.Tokens(now, len(f.Tokens))
		a.updateExpectedGap(len(f.Tokens))
	}
	return verdict
}

// speedSampleTokens is the number of tokens after which an attempt's own pace is known.
const speedSampleTokens = 10

// updateExpectedGap has the watch expect the pace that the attempt has shown at its
// beginning.
func (a *Answer) updateExpectedGap(tokens int) {
	before := a.attemptTokens
	a.attemptTokens += tokens
	if before < speedSampleTokens && a.attemptTokens >= speedSampleTokens {
		a.watch.LowerExpectedGap(a.relay.TokenInterval())
	}
}

// WatchSpeed makes Check find an engine that is much slower than expected of it,
// from now to the next attempt.
func (a *Answer) WatchSpeed(watch routing.Watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watch = &watch
	a.attemptTokens = 0
}

// SetWriting notes whether the relaying goroutine writes to the caller, in which
// time the source's silence says nothing.
func (a *Answer) SetWriting(now time.Time, writing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = writing
	if !writing {
		a.relay.ResetTimeouts(now)
	}
}

// Check detaches the answer from a source that is held to be lost.
func (a *Answer) Check(now time.Time) generation.Suspicion {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writing || a.detach == nil || a.suspicion != generation.SuspicionNone {
		return generation.SuspicionNone
	}
	a.suspicion = a.relay.Check(now)
	if a.suspicion == generation.SuspicionNone && a.watch != nil && a.watch.Check(now) == routing.HealthSlow {
		a.suspicion = generation.SuspicionEngineSlow
	}
	if a.suspicion != generation.SuspicionNone {
		a.detach()
	}
	return a.suspicion
}

// Interrupt detaches the answer from its source, and from any later one, because
// the request is known to crash engines.
func (a *Answer) Interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantined = true
	if a.detach == nil || a.suspicion != generation.SuspicionNone {
		return
	}
	a.suspicion = generation.SuspicionRequest
	a.detach()
}

// HandOver makes the answer leave its source, so that its caller goes on
// through another entry.
func (a *Answer) HandOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handedOver = true
	if a.detach != nil {
		a.detach()
	}
}

// HandedOver reports whether the caller is to go on through another entry.
func (a *Answer) HandedOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handedOver
}

// SourceLost notes that the source is lost and returns how to go on and why the
// source was held to be lost.
func (a *Answer) SourceLost(reachable bool) (generation.NextStep, generation.Suspicion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detach = nil
	pathLost := a.suspicion == generation.SuspicionNone || a.suspicion == generation.SuspicionPathTimeout
	return a.relay.SourceLost(reachable && pathLost), a.suspicion
}

// Fail ends the answer as failed, Abandon because the caller went away.
func (a *Answer) Fail() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relay.Fail()
}

// Abandon ends the answer because its caller went away.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relay.Abandon()
}

// Relay returns the relay for reading by the goroutine that relays the answer.
func (a *Answer) Relay() *generation.Relay { return a.relay }

// Agent returns the address of the agent that holds the current generation.
func (a *Answer) Agent() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.agent
}
