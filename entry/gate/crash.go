package gate

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// CheckQuarantine decides whether a request may run as far as engine deaths under it
// go. A request that may not run now, but later, is refused with the time to
// come back. It also tells whether the request is suspect.
func (g *Gate) CheckQuarantine(now time.Time, key quarantine.Key) (suspect bool, refusal *problem.Error) {
	g.mu.Lock()
	quarantinedBefore := g.quarantine.Stats().Convictions
	verdict := g.quarantine.Check(now, key)
	newlyQuarantined := g.quarantine.Stats().Convictions != quarantinedBefore
	g.mu.Unlock()
	if newlyQuarantined {
		g.signalChange()
	}
	switch verdict.Action {
	case quarantine.Refuse:
		telemetry.Counter(g.metrics, "gate.quarantined").Inc(1)
		return true, problem.New(problem.CodeQuarantined, problem.RunNot, problem.StepAdmit, "engines died %d times under this request", verdict.Deaths)
	case quarantine.Hold:
		telemetry.Counter(g.metrics, "gate.held").Inc(1)
		return true, problem.New(problem.CodeOverloaded, problem.RunNot, problem.StepAdmit, "engines died under this request; it is being examined").After(verdict.RetryAfter)
	default:
		return verdict.Deaths > 0, nil
	}
}

// Quarantined reports whether a request is known to crash engines.
func (g *Gate) Quarantined(now time.Time, key quarantine.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Check(now, key).Action == quarantine.Refuse
}

// Avoid returns the servers on which a request should not run.
func (g *Gate) Avoid(now time.Time, key quarantine.Key, servers []wigeonfork.BackendServerID) []wigeonfork.BackendServerID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Avoid(now, key, servers, nil)
}

// Started notes that a request runs on a server.
func (g *Gate) Started(now time.Time, key quarantine.Key, server wigeonfork.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Started(now, key, server)
}

// Stopped notes that a request left a server without completing.
func (g *Gate) Stopped(now time.Time, key quarantine.Key, server wigeonfork.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Stopped(now, key, server)
}

// Completed notes that a request ran to its end.
func (g *Gate) Completed(now time.Time, key quarantine.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Completed(now, key)
}

// EngineDied notes the death of an engine as its agent tells it. Every stream
// that ran there may report it; the death counts once.
func (g *Gate) EngineDied(now time.Time, death quarantine.Death) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.EngineDied(now, death)
	g.signalChange()
}

// Changed is signalled when there is something to tell other entries.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

func (g *Gate) signalChange() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Delta returns what is known beyond a cursor, and the next cursor. The cursor
// 0 stands for the beginning.
func (g *Gate) Delta(after uint64) (quarantine.Message, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Delta(after)
}

// Merge takes in what a peer tells.
func (g *Gate) Merge(message quarantine.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Merge(message)
}

// TakeRetry asks the budgets for one more attempt. It returns when to come back
// if none is left.
func (g *Gate) TakeRetry(now time.Time, origin retry.Origin) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.retryBudgets.Take(now, origin)
	return decision.Allowed, decision.RetryAfter
}

// Succeeded credits the budgets.
func (g *Gate) Succeeded(now time.Time, origin retry.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudgets.Succeeded(now, origin)
}
