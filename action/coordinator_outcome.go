package action

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// handleDispatchResult takes the agent's answer to the dispatch.
func (c *Coordinator) handleDispatchResult(now time.Time, result CommandResult) []Command {
	if result.Err == nil {
		commands := c.sendReply(result.Reply, false)
		return append(commands, c.recordOutcome(now, c.row.withReply(result.Reply, c.limits.MaxReplyBytes))...)
	}
	c.lastErr = result.Err
	if refusal := c.notRunRefusal(result.Err); refusal != nil {
		return c.release(now, refusal, true)
	}
	if c.answered {
		return c.end()
	}
	c.phase = phaseResolve
	return c.resolve()
}

// notRunRefusal returns the refusal for the caller if err proves that the call was not run, or
// nil.
func (c *Coordinator) notRunRefusal(err error) *problem.Error {
	var typed *problem.Error
	if errors.As(err, &typed) {
		if typed.Run == problem.RunNot {
			return typed.For(c.request.RequestID)
		}
		return nil
	}
	if infra.OutcomeOf(err) == infra.OutcomeNotDone {
		return c.unreachable(err)
	}
	return nil
}

// handleResolveResult takes the agent's answer about the row's claim.
func (c *Coordinator) handleResolveResult(now time.Time, result CommandResult) []Command {
	if c.answered {
		return c.handleLateResolution(now, result)
	}
	if result.Err != nil {
		c.lastErr = result.Err
		c.phase = phaseReadAfterResolve
		return c.wakeAfter(now, c.limits.PollInterval)
	}
	switch result.Resolution.State {
	case ResolvedDone:
		reply := result.Resolution.Reply
		return append(c.sendReply(reply, false), c.recordOutcome(now, c.row.withReply(reply, c.limits.MaxReplyBytes))...)
	case ResolvedUnknown:
		return append(c.refuse(c.outcomeLost()), c.recordOutcome(now, c.unknownRecord())...)
	case ResolvedNotRun:
		return c.replaceClaim(now, true)
	case ResolvedExpired:
		return c.replaceClaim(now, false)
	default:
		return c.wakeAfter(now, c.limits.PollInterval)
	}
}

// handleLateResolution records a reply that arrives after the caller was answered.
func (c *Coordinator) handleLateResolution(now time.Time, result CommandResult) []Command {
	if result.Err == nil && result.Resolution.State == ResolvedDone {
		return c.recordOutcome(now, c.row.withReply(result.Resolution.Reply, c.limits.MaxReplyBytes))
	}
	return c.end()
}

// unknownRecord returns the row's record with an outcome that will never be known.
func (c *Coordinator) unknownRecord() Record {
	record := c.row
	record.State = StateUnknown
	return record
}

// replaceClaim replaces the row's claim with a claim of this request. If notRunProven is false,
// the agent could not prove that the replaced claim was not run. The condition of the write then
// proves it: an outcome in the table would have changed the row's revision.
func (c *Coordinator) replaceClaim(now time.Time, notRunProven bool) []Command {
	if c.nextAttempt(c.rowRevision) {
		c.claimDeadline = now.Add(c.limits.ClaimTimeout)
	}
	if c.attempts >= c.limits.ClaimAttempts {
		return c.release(now, c.tooManyClaims(), notRunProven)
	}
	if !now.Before(c.claimDeadline) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	return c.makeClaim(now)
}

// release writes that the row's claim was not run. The caller gets refusal once that is written.
// If notRunProven is set, the caller gets refusal even if the write fails.
func (c *Coordinator) release(now time.Time, refusal *problem.Error, notRunProven bool) []Command {
	c.refusal = refusal
	c.notRunProven = notRunProven
	c.phase = phaseRelease
	c.recordDeadline = now.Add(c.limits.RecordTimeout)
	record := c.row
	record.State = StateNotRun
	return c.commitOutcome(record)
}

// handleReleaseResult takes the result of the release's write.
func (c *Coordinator) handleReleaseResult(now time.Time, result CommandResult) []Command {
	switch {
	case result.Err != nil:
		return append(c.refuse(c.unreleasedRefusal()), c.retryWrite(now, result.Err)...)
	case result.Commit.Applied:
		return c.refuseAndEnd(c.refusal)
	case c.answered:
		return c.end()
	default:
		return c.handleConflict(now, result.Commit)
	}
}

// unreleasedRefusal returns the refusal for a caller that is answered before the release is
// written.
func (c *Coordinator) unreleasedRefusal() *problem.Error {
	if c.notRunProven {
		return c.refusal
	}
	return c.storeUnavailable()
}

// recordOutcome writes an outcome of the row's claim.
func (c *Coordinator) recordOutcome(now time.Time, record Record) []Command {
	c.phase = phaseRecord
	c.recordDeadline = now.Add(c.limits.RecordTimeout)
	return c.commitOutcome(record)
}

func (c *Coordinator) commitOutcome(record Record) []Command {
	if _, err := nextState(c.row.State, eventForOutcome(record.State)); err != nil {
		return c.fail(err)
	}
	return c.commit(rowWrite{rowKey: RowKey(c.request.Workspace, c.key), record: record, revision: c.rowRevision})
}

// handleRecordResult takes the result of the outcome's write.
func (c *Coordinator) handleRecordResult(now time.Time, result CommandResult) []Command {
	if result.Err != nil {
		return c.retryWrite(now, result.Err)
	}
	if result.Commit.Applied {
		return c.acknowledge()
	}
	if len(result.Commit.Conflicts) == 0 {
		return c.end()
	}
	row := result.Commit.Conflicts[0]
	current, err := DecodeRow(row)
	if err != nil {
		return c.end()
	}
	retry, conflict := c.pendingWrite.afterConflict(current, row.Revision)
	switch conflict {
	case conflictRetry:
		return c.commit(retry)
	case conflictRecorded:
		return c.acknowledge()
	default:
		return c.end()
	}
}

// acknowledge ends the request and notifies the agent that the outcome is in the table.
func (c *Coordinator) acknowledge() []Command {
	c.phase = phaseEnded
	return []Command{{Kind: CommandAcknowledge, Target: c.row.Target, Claim: Claim{ID: c.row.ClaimID, Target: c.row.Target}}}
}

// retryWrite repeats a failed write after StoreRetryInterval. After recordDeadline it ends the
// request: the agent then records the outcome, or a resent request releases the claim.
func (c *Coordinator) retryWrite(now time.Time, err error) []Command {
	c.lastErr = err
	if !now.Before(c.recordDeadline) {
		return c.end()
	}
	return c.wakeAfter(now, c.limits.StoreRetryInterval)
}
