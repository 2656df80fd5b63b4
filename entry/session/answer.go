// Package session holds the answers that an entry relays to callers.
//
// Lock order: Table, then Answer. Neither is held during I/O.
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

// Answer is an answer in progress. One goroutine relays it. Other goroutines check it, interrupt
// it, hand it over or read it.
type Answer struct {
	// Call is the request to agents. Generation and Prefix differ for each attempt.
	Call      agentapi.Generate
	StartedAt time.Time
	// Key identifies the content of the request, independent of the caller.
	Key quarantine.Key

	mu        sync.Mutex
	relay     *generation.Relay
	agent     string
	writing   bool
	detach    context.CancelFunc
	suspicion generation.Suspicion
	// quarantined is set once the request is quarantined for crashing engines.
	quarantined bool
	// watch detects a slow engine. It is nil if the answer must not leave its engine for speed.
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

// Begin starts the next generation at the agent at address agent and returns the request for it.
// detach closes the connection when the source is suspected to be lost.
func (a *Answer) Begin(now time.Time, agent string, detach context.CancelFunc) agentapi.Generate {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attach(agent, detach)
	call := a.Call
	call.Generation = a.relay.Begin(now)
	call.Prefix = a.relay.Log().AppendTokens(nil, 0, int(a.relay.Log().Len()))
	return call
}

// Adopt continues a generation that another entry started.
func (a *Answer) Adopt(now time.Time, agent string, g wigeonfork.Generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.agent = agent
	a.relay.Adopt(now, g)
}

// Reattach records that the current generation is read again. It returns the generation and the
// next position.
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

// Accept classifies a frame and adds its new tokens to the answer. See generation.Relay.
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

// speedSampleTokens is the number of tokens after which an attempt's own speed is known.
const speedSampleTokens = 10

// updateExpectedGap lowers the inter-token time that the watch expects to the one measured over the
// first tokens of the attempt.
func (a *Answer) updateExpectedGap(tokens int) {
	before := a.attemptTokens
	a.attemptTokens += tokens
	if before < speedSampleTokens && a.attemptTokens >= speedSampleTokens {
		a.watch.LowerExpectedGap(a.relay.TokenInterval())
	}
}

// WatchSpeed makes Check detect an engine that is much slower than expected. It applies until the
// next attempt.
func (a *Answer) WatchSpeed(watch routing.Watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watch = &watch
	a.attemptTokens = 0
}

// SetWriting records whether the relaying goroutine is writing to the caller. The source is not
// read in that time, so its timeouts are suspended. now is used only when writing is false.
func (a *Answer) SetWriting(now time.Time, writing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = writing
	if !writing {
		a.relay.ResetTimeouts(now)
	}
}

// Check detaches the answer from its source if that is suspected to be lost. It returns the new
// suspicion, or SuspicionNone.
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

// Interrupt detaches the answer from its source and from any later one, because the request is
// quarantined for crashing engines.
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

// HandOver detaches the answer from its source, so that its caller resumes through another entry.
func (a *Answer) HandOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handedOver = true
	if a.detach != nil {
		a.detach()
	}
}

// HandedOver reports whether the caller is to resume through another entry.
func (a *Answer) HandedOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handedOver
}

// SourceLost records that the source is lost. reachable is false if the agent could not be
// reached or refused the request. It returns how to proceed and why the source was suspected.
func (a *Answer) SourceLost(reachable bool) (generation.NextStep, generation.Suspicion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detach = nil
	pathLost := a.suspicion == generation.SuspicionNone || a.suspicion == generation.SuspicionPathTimeout
	return a.relay.SourceLost(reachable && pathLost), a.suspicion
}

// Fail ends the answer as failed.
func (a *Answer) Fail() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relay.Fail()
}

// Abandon ends the answer because this entry no longer relays it.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relay.Abandon()
}

// Relay returns the relay. Only the goroutine that relays the answer may use it.
func (a *Answer) Relay() *generation.Relay { return a.relay }

// Agent returns the address of the agent that holds the current generation.
func (a *Answer) Agent() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.agent
}
