package action

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// dispatchAnswer takes the agent's answer to the dispatch.
func (c *Coordinator) dispatchAnswer(now time.Time, answer CommandResult) []Command {
	if answer.Err == nil {
		commands := c.reply(answer.Reply, false)
		return append(commands, c.record(now, c.row.withReply(answer.Reply, c.limits.MaxReplyBytes))...)
	}
	c.cause = answer.Err
	if refusal := c.notRun(answer.Err); refusal != nil {
		return c.release(now, refusal, true)
	}
	if c.answered {
		return c.end()
	}
	c.phase = phaseWait
	return c.resolve()
}

// notRun returns the refusal for the caller if err proves that the call was
// not run, else nil.
func (c *Coordinator) notRun(err error) *problem.Error {
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

// resolveAnswer takes the agent's answer about the row's claim.
func (c *Coordinator) resolveAnswer(now time.Time, answer CommandResult) []Command {
	if c.answered {
		return c.resolvedLate(now, answer)
	}
	if answer.Err != nil {
		c.cause = answer.Err
		c.phase = phaseReread
		return c.sleep(now, c.limits.PollInterval)
	}
	switch answer.Resolution.State {
	case ResolvedDone:
		reply := answer.Resolution.Reply
		return append(c.reply(reply, false), c.record(now, c.row.withReply(reply, c.limits.MaxReplyBytes))...)
	case ResolvedUnknown:
		return append(c.refuse(c.outcomeLost()), c.record(now, c.lost())...)
	case ResolvedNotRun:
		return c.replace(now, true)
	case ResolvedExpired:
		return c.replace(now, false)
	default:
		return c.sleep(now, c.limits.PollInterval)
	}
}

// resolvedLate records what an agent has said after the caller was answered.
func (c *Coordinator) resolvedLate(now time.Time, answer CommandResult) []Command {
	if answer.Err == nil && answer.Resolution.State == ResolvedDone {
		return c.record(now, c.row.withReply(answer.Resolution.Reply, c.limits.MaxReplyBytes))
	}
	return c.end()
}

// lost returns the row's record with an outcome that will never be known.
func (c *Coordinator) lost() Record {
	record := c.row
	record.State = StateUnknown
	return record
}

// replace puts a claim of the request's own in the place of one that did not
// run. Where the agent cannot prove that, the condition of the write does.
func (c *Coordinator) replace(now time.Time, proved bool) []Command {
	if c.nextAttempt(c.revision) {
		c.claimUntil = now.Add(c.limits.ClaimTimeout)
	}
	if c.attempts >= c.limits.ClaimAttempts {
		return c.release(now, c.tooManyClaims(), proved)
	}
	if !now.Before(c.claimUntil) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	return c.makeClaim(now)
}

// release writes that the row's claim was not run; the caller gets refusal
// once the row says so, or when the table fails if that is proved without it.
func (c *Coordinator) release(now time.Time, refusal *problem.Error, proved bool) []Command {
	c.refusal = refusal
	c.proved = proved
	c.phase = phaseRelease
	c.recordUntil = now.Add(c.limits.RecordTimeout)
	record := c.row
	record.State = StateNotRun
	return c.commitOutcome(record)
}

// releaseAnswer takes the answer of the release's write.
func (c *Coordinator) releaseAnswer(now time.Time, answer CommandResult) []Command {
	switch {
	case answer.Err != nil:
		return append(c.refuse(c.unreleased()), c.writeAgain(now, answer.Err)...)
	case answer.Commit.Applied:
		return c.refuseAndEnd(c.refusal)
	case c.answered:
		return c.end()
	default:
		return c.conflict(now, answer.Commit)
	}
}

// unreleased returns the answer for a caller when the release is not written.
func (c *Coordinator) unreleased() *problem.Error {
	if c.proved {
		return c.refusal
	}
	return c.storeUnavailable()
}

// record writes an outcome of the row's claim.
func (c *Coordinator) record(now time.Time, record Record) []Command {
	c.phase = phaseRecord
	c.recordUntil = now.Add(c.limits.RecordTimeout)
	return c.commitOutcome(record)
}

func (c *Coordinator) commitOutcome(record Record) []Command {
	if _, err := next(c.row.State, eventInto(record.State)); err != nil {
		return c.fail(err)
	}
	return c.commit(write{rowKey: RowKey(c.request.Workspace, c.key), record: record, revision: c.revision})
}

// recordAnswer takes the answer of the outcome's write.
func (c *Coordinator) recordAnswer(now time.Time, answer CommandResult) []Command {
	if answer.Err != nil {
		return c.writeAgain(now, answer.Err)
	}
	if answer.Commit.Applied {
		return c.recorded()
	}
	if len(answer.Commit.Conflicts) == 0 {
		return c.end()
	}
	row := answer.Commit.Conflicts[0]
	present, err := DecodeRow(row)
	if err != nil {
		return c.end()
	}
	again, result := c.out.afterConflict(present, row.Revision)
	switch result {
	case recordingAgain:
		return c.commit(again)
	case recordingDone:
		return c.recorded()
	default:
		return c.end()
	}
}

// recorded ends with the outcome in the table and tells the agent.
func (c *Coordinator) recorded() []Command {
	c.phase = phaseEnd
	return []Command{{Kind: CommandAcknowledge, Target: c.row.Target, Claim: Claim{ID: c.row.ClaimID, Target: c.row.Target}}}
}

// writeAgain repeats a failed write later. When its time is over the agent is
// left to record the outcome, or a resend to release the claim.
func (c *Coordinator) writeAgain(now time.Time, err error) []Command {
	c.cause = err
	if !now.Before(c.recordUntil) {
		return c.end()
	}
	return c.sleep(now, c.limits.StoreRetryInterval)
}
