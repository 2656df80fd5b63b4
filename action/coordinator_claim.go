package action

import (
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
)

// makeClaim writes a claim of this request, conditioned on the last known revision of the row.
func (c *Coordinator) makeClaim(now time.Time) []Command {
	if c.answered || !now.Before(c.request.Deadline) {
		return c.refuseAndEnd(c.deadlinePassed())
	}
	event := EventClaim
	if c.row.State == StateClaimed {
		event = EventReplace
	}
	if _, err := nextState(c.rowState(), event); err != nil {
		return c.fail(err)
	}
	c.phase = phaseClaim
	if c.ownClaim.ID != c.claimID() {
		c.ownClaim = c.newClaim(now)
		c.dispatched = false
	}
	return c.commit(rowWrite{
		rowKey:   RowKey(c.request.Workspace, c.key),
		record:   newClaimRecord(c.ownClaim),
		revision: c.rowRevision,
	})
}

// newClaim returns the claim of the current attempt. It is called once per attempt: a retried
// write must not change the expiry that the agent and the row hold.
func (c *Coordinator) newClaim(now time.Time) Claim {
	return Claim{
		ID: c.claimID(), Workspace: c.request.Workspace, Key: c.key, Fingerprint: c.fingerprint,
		Target: c.request.Target, RequestID: c.request.RequestID,
		ClaimedAt: now, Expires: now.Add(c.limits.DispatchWindow),
	}
}

// nextAttempt starts a new attempt on the row at revision. It returns false if the last attempt
// was already conditioned on that revision.
func (c *Coordinator) nextAttempt(revision infra.Revision) bool {
	c.rowRevision = revision
	if c.claimRevision == revision {
		return false
	}
	c.claimRevision = revision
	c.attempts++
	return true
}

// rowState returns the state of the last known row, StateAbsent before the first read.
func (c *Coordinator) rowState() State {
	if c.row.State == "" {
		return StateAbsent
	}
	return c.row.State
}

// handleClaimResult takes the result of the claim's write.
func (c *Coordinator) handleClaimResult(now time.Time, result CommandResult) []Command {
	if result.Err != nil {
		return c.handleClaimFailure(now, result.Err)
	}
	if !result.Commit.Applied {
		return c.handleConflict(now, result.Commit)
	}
	return c.dispatchOwnClaim(now, result.Commit.Revision)
}

// handleClaimFailure reads the row after a table error, since the claim may be durable or still
// become so.
func (c *Coordinator) handleClaimFailure(now time.Time, err error) []Command {
	c.lastErr = err
	if c.answered {
		return c.end()
	}
	c.phase = phaseReadAfterClaim
	return c.read()
}

// handleConflict continues with the row that a write conflicted with.
func (c *Coordinator) handleConflict(now time.Time, commit infra.Commit) []Command {
	if len(commit.Conflicts) == 0 {
		c.phase = phaseReadAfterClaim
		return c.wakeAfter(now, c.limits.StoreRetryInterval)
	}
	return c.handleRow(now, commit.Conflicts[0])
}

// handleReadResult takes the result of a read.
func (c *Coordinator) handleReadResult(now time.Time, result CommandResult) []Command {
	if result.Err == nil {
		return c.handleRow(now, result.Row)
	}
	c.lastErr = result.Err
	if c.answered {
		return c.end()
	}
	if c.phase == phaseReadAfterResolve {
		c.phase = phaseResolve
		return c.wakeAfter(now, c.limits.PollInterval)
	}
	if !now.Before(c.claimDeadline) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	return c.wakeAfter(now, c.limits.StoreRetryInterval)
}

// handleRow continues with the current row.
func (c *Coordinator) handleRow(now time.Time, row infra.Row) []Command {
	record, err := DecodeRow(row)
	if err != nil {
		return c.fail(err)
	}
	c.rowKnown = true
	changed := record.ClaimID != c.row.ClaimID
	c.row = record
	if record.State != StateAbsent && record.Fingerprint != c.fingerprint {
		return c.refuseAndEnd(c.keyReused())
	}
	switch record.State {
	case StateDone:
		return append(c.sendReply(record.reply(), record.ReplyOmitted), c.end()...)
	case StateUnknown:
		return c.refuseAndEnd(c.outcomeLost())
	case StateClaimed:
		return c.handleClaimedRow(now, row.Revision, changed)
	default:
		return c.claimFreeRow(now, row.Revision)
	}
}

// claimFreeRow makes a claim on a row without an active claim. If the row's revision has changed
// since the last claim, the claim gets a new id.
func (c *Coordinator) claimFreeRow(now time.Time, revision infra.Revision) []Command {
	if c.answered {
		return c.end()
	}
	if !c.nextAttempt(revision) && !now.Before(c.claimDeadline) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	if c.attempts >= c.limits.ClaimAttempts {
		return c.refuseAndEnd(c.tooManyClaims())
	}
	return c.makeClaim(now)
}

// handleClaimedRow continues with a row that holds an active claim.
func (c *Coordinator) handleClaimedRow(now time.Time, revision infra.Revision, changed bool) []Command {
	c.rowRevision = revision
	if c.row.ClaimID == c.ownClaim.ID && !c.dispatched {
		return c.dispatchOwnClaim(now, revision)
	}
	if c.answered {
		return c.end()
	}
	c.phase = phaseResolve
	if changed && c.row.ClaimID != c.ownClaim.ID {
		return c.wakeAfter(now, c.limits.ResolveDelay)
	}
	return c.wakeAfter(now, c.limits.PollInterval)
}

// dispatchOwnClaim dispatches ownClaim, which is durable and has not been dispatched yet. It
// releases the claim instead if the caller was answered, the request's deadline has passed or the
// claim has expired.
func (c *Coordinator) dispatchOwnClaim(now time.Time, revision infra.Revision) []Command {
	c.row = newClaimRecord(c.ownClaim)
	c.rowKnown = true
	c.rowRevision = revision
	c.ownClaim.Revision = revision
	tooLate := !now.Before(c.request.Deadline) || !now.Before(c.ownClaim.Expires)
	if c.answered || tooLate {
		return c.release(now, c.tooLate(), true)
	}
	c.phase = phaseDispatch
	c.dispatched = true
	call := c.request.Call
	call.ClaimID = string(c.ownClaim.ID)
	return c.startIO(Command{Kind: CommandDispatch, Claim: c.ownClaim, Call: call})
}
