package gate

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// CheckQuarantine decides whether a request may run, given the engines that died while running it.
// A request that may run later is refused with a Retry-After. suspect is true if any engine death
// is attributed to the request.
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

// Quarantined reports whether a request is quarantined for crashing engines.
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

// Started records that a request runs on a server.
func (g *Gate) Started(now time.Time, key quarantine.Key, server wigeonfork.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Started(now, key, server)
}

// Stopped records that a request left a server without completing.
func (g *Gate) Stopped(now time.Time, key quarantine.Key, server wigeonfork.BackendServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Stopped(now, key, server)
}

// Completed records that a request ran to its end.
func (g *Gate) Completed(now time.Time, key quarantine.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Completed(now, key)
}

// EngineDied records an engine death that its agent reported. Each stream of that engine may report
// the death, which counts once.
func (g *Gate) EngineDied(now time.Time, death quarantine.Death) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.EngineDied(now, death)
	g.signalChange()
}

// Changed returns a channel that receives a value when there is an update for other entries.
func (g *Gate) Changed() <-chan struct{} { return g.changed }

func (g *Gate) signalChange() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Delta returns the changes of the quarantine after a cursor, and the next cursor. The cursor 0 is
// the beginning. If the changes are no longer kept, it returns a complete snapshot.
func (g *Gate) Delta(after uint64) (quarantine.Message, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Delta(after)
}

// Merge applies another entry's changes of the quarantine.
func (g *Gate) Merge(message quarantine.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Merge(message)
}

// TakeRetry takes one attempt from the retry budgets. If none is left, it returns the time until
// the next one.
func (g *Gate) TakeRetry(now time.Time, origin retry.Origin) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.retryBudgets.Take(now, origin)
	return decision.Allowed, decision.RetryAfter
}

// Succeeded credits the retry budgets.
func (g *Gate) Succeeded(now time.Time, origin retry.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudgets.Succeeded(now, origin)
}
