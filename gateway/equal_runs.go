package gateway

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

// awaitEqualRuns holds the request while it is not known whether an equal one has crashed its
// server, until the request's deadline. If that is possible, it then waits until the request may run as a
// trial. It returns the refusal, or nil.
func (c *call) awaitEqualRuns() *problem.Error {
	ctx := c.r.Context()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
	}
	if !c.crashes.mayRun(ctx, c.content) {
		if ctx.Err() != nil {
			return problem.New(problem.CodeTooLate, problem.RunNot, problem.StepAdmit, "an equal request was lost, and its outcome is not known yet")
		}
		return problem.New(problem.CodeBackendFailed, problem.RunNot, problem.StepAdmit, "the request crashes backend servers")
	}
	ctx, cancel := context.WithTimeout(ctx, c.trialWait())
	defer cancel()
	outcome := c.acquireTrial(ctx)
	switch outcome.action {
	case quarantine.Run:
		return nil
	case quarantine.Refuse:
		return problem.New(problem.CodeBackendFailed, problem.RunNot, problem.StepAdmit, "the request crashes backend servers")
	}
	return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepAdmit, "equal requests were lost with their servers, and another one runs").
		After(max(outcome.retryAfter, c.jitter(noServerRetry)))
}

// trialWait returns the time for which a request that has not run waits for its trial.
func (c *call) trialWait() time.Duration {
	if c.deadline.IsZero() {
		return maxTrialWait
	}
	return min(maxTrialWait, time.Until(c.deadline)/trialDeadlineDivisor)
}

// acquireTrial waits until the request may run, as a trial if equal requests were lost with their servers.
func (c *call) acquireTrial(ctx context.Context) trialOutcome {
	c.endTrial()
	outcome := c.trials.acquire(ctx, c.content)
	c.trial = outcome.trial
	return outcome
}

// endTrial ends the request's trial, if it runs as one.
func (c *call) endTrial() {
	c.trials.end(c.trial)
	c.trial = nil
}
