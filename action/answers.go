package action

import (
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/problem"
)

// sendReply answers the caller with reply unless the caller was answered before. If omitted is
// set, the reply's body was not kept and the caller gets a refusal.
func (c *Coordinator) sendReply(reply backend.Reply, omitted bool) []Command {
	if omitted {
		return c.refuse(c.replyOmitted())
	}
	if c.answered {
		return nil
	}
	c.answered = true
	return []Command{{Kind: CommandReply, Reply: reply}}
}

// refuse answers the caller with a problem unless the caller was answered before.
func (c *Coordinator) refuse(refusal *problem.Error) []Command {
	if c.answered {
		return nil
	}
	c.answered = true
	return []Command{{Kind: CommandRefuse, Problem: refusal.For(c.request.RequestID)}}
}

func (c *Coordinator) refuseAndEnd(refusal *problem.Error) []Command {
	c.phase = phaseEnded
	return c.refuse(refusal)
}

// undispatchedRunState returns the run state of a request that has dispatched none of its claims.
// It is RunNot if the row is known and holds no claim or a released one. If the row is not known,
// it is RunNot if the caller states that this is its first attempt. Otherwise an earlier copy of
// the request may have run.
func (c *Coordinator) undispatchedRunState() problem.RunState {
	neverRun := c.request.FirstAttempt
	if c.rowKnown {
		neverRun = c.row.State == StateAbsent || c.row.State == StateNotRun
	}
	if neverRun {
		return problem.RunNot
	}
	return problem.RunUnknown
}

func (c *Coordinator) storeUnavailable() *problem.Error {
	return problem.New(problem.CodeStoreUnavailable, c.undispatchedRunState(), problem.StepClaim,
		"the request cannot be claimed now; send it again with the same key").
		Because(c.lastErr).After(c.limits.RetryAfter)
}

func (c *Coordinator) unreachable(err error) *problem.Error {
	return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepDispatch, "the agent cannot be reached").
		At(c.ownClaim.Target.AgentAddress).Because(err).After(c.limits.RetryAfter)
}

func (c *Coordinator) tooLate() *problem.Error {
	return problem.New(problem.CodeTooLate, problem.RunNot, problem.StepClaim, "the claim came too late to be run").
		After(c.limits.RetryAfter)
}

func (c *Coordinator) deadlinePassed() *problem.Error {
	return problem.New(problem.CodeTooLate, c.undispatchedRunState(), problem.StepClaim, "the deadline passed before the claim").
		After(c.limits.RetryAfter)
}

func (c *Coordinator) tooManyClaims() *problem.Error {
	return problem.New(problem.CodeOverloaded, problem.RunNot, problem.StepClaim, "no claim reached its agent").
		After(c.limits.RetryAfter)
}

func (c *Coordinator) keyReused() *problem.Error {
	return problem.New(problem.CodeKeyReused, problem.RunNot, problem.StepClaim,
		"Idempotency-Key was used with another method, path or body")
}

// outcomeUnknown is the refusal for an outcome that may still become known.
func (c *Coordinator) outcomeUnknown() *problem.Error {
	return problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepOutcome,
		"the outcome is not known yet; ask again with the same key").
		At(c.row.Target.AgentAddress).Because(c.lastErr).After(c.limits.RetryAfter)
}

// outcomeLost is the refusal for an outcome that can no longer become known.
func (c *Coordinator) outcomeLost() *problem.Error {
	return problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepOutcome,
		"the outcome is lost; the request will not be run again under this key").
		At(c.row.Target.AgentAddress)
}

func (c *Coordinator) replyOmitted() *problem.Error {
	return problem.New(problem.CodeInterrupted, problem.RunDone, problem.StepOutcome,
		"the request was run; its reply was too large to be kept")
}
