package action

import (
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
)

// makeClaim writes a claim of the request's own over the row as last seen.
func (c *Coordinator) makeClaim(now time.Time) []Command {
	if c.answered || !now.Before(c.request.Deadline) {
		return c.refuseAndEnd(c.deadlinePassed())
	}
	event := EventClaim
	if c.row.State == StateClaimed {
		event = EventReplace
	}
	if _, err := next(c.presentState(), event); err != nil {
		return c.fail(err)
	}
	c.phase = phaseClaim
	if c.own.ID != c.claimID() {
		c.own = c.newClaim(now)
		c.dispatched = false
	}
	return c.commit(write{
		rowKey:   RowKey(c.request.Workspace, c.key),
		record:   recordOf(c.own),
		revision: c.revision,
	})
}

// newClaim returns the claim of the present attempt. It is made once: a
// repeated write must not change the expiry that the agent and the row hold.
func (c *Coordinator) newClaim(now time.Time) Claim {
	return Claim{
		ID: c.claimID(), Workspace: c.request.Workspace, Key: c.key, Fingerprint: c.fingerprint,
		Target: c.request.Target, RequestID: c.request.RequestID,
		ClaimedAt: now, Expires: now.Add(c.limits.DispatchWindow),
	}
}

// nextAttempt moves on to a claim on the row at revision. It returns false if
// the claim that was tried last is on that revision already.
func (c *Coordinator) nextAttempt(revision infra.Revision) bool {
	c.revision = revision
	if c.claimOn == revision {
		return false
	}
	c.claimOn = revision
	c.attempts++
	return true
}

func (c *Coordinator) presentState() State {
	if c.row.State == "" {
		return StateAbsent
	}
	return c.row.State
}

// claimAnswer takes the answer of the claim's write.
func (c *Coordinator) claimAnswer(now time.Time, answer CommandResult) []Command {
	if answer.Err != nil {
		return c.claimUnclear(now, answer.Err)
	}
	if !answer.Commit.Applied {
		return c.conflict(now, answer.Commit)
	}
	return c.claimed(now, answer.Commit.Revision)
}

// claimUnclear goes on after a failure of the table: the claim may be durable
// or still become so, unless the row tells.
func (c *Coordinator) claimUnclear(now time.Time, err error) []Command {
	c.cause = err
	if c.answered {
		return c.end()
	}
	c.phase = phaseRead
	return c.read()
}

// conflict goes on with the row that a write has met.
func (c *Coordinator) conflict(now time.Time, commit infra.Commit) []Command {
	if len(commit.Conflicts) == 0 {
		c.phase = phaseRead
		return c.sleep(now, c.limits.StoreRetryInterval)
	}
	return c.rowSeen(now, commit.Conflicts[0])
}

// rowAnswer takes the answer of a read.
func (c *Coordinator) rowAnswer(now time.Time, answer CommandResult) []Command {
	if answer.Err == nil {
		return c.rowSeen(now, answer.Row)
	}
	c.cause = answer.Err
	if c.answered {
		return c.end()
	}
	if c.phase == phaseReread {
		c.phase = phaseWait
		return c.sleep(now, c.limits.PollInterval)
	}
	if !now.Before(c.claimUntil) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	return c.sleep(now, c.limits.StoreRetryInterval)
}

// rowSeen goes on with the present row.
func (c *Coordinator) rowSeen(now time.Time, row infra.Row) []Command {
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
		return append(c.reply(record.reply(), record.ReplyOmitted), c.end()...)
	case StateUnknown:
		return c.refuseAndEnd(c.outcomeLost())
	case StateClaimed:
		return c.claimSeen(now, row.Revision, changed)
	default:
		return c.claimAgain(now, row.Revision)
	}
}

// claimAgain makes a claim on a row that has none in force. A claim on
// another revision than the last one gets an id of its own.
func (c *Coordinator) claimAgain(now time.Time, revision infra.Revision) []Command {
	if c.answered {
		return c.end()
	}
	if !c.nextAttempt(revision) && !now.Before(c.claimUntil) {
		return c.refuseAndEnd(c.storeUnavailable())
	}
	if c.attempts >= c.limits.ClaimAttempts {
		return c.refuseAndEnd(c.tooManyClaims())
	}
	return c.makeClaim(now)
}

// claimSeen goes on with a row that holds a claim in force.
func (c *Coordinator) claimSeen(now time.Time, revision infra.Revision, changed bool) []Command {
	c.revision = revision
	if c.row.ClaimID == c.own.ID && !c.dispatched {
		return c.claimed(now, revision)
	}
	if c.answered {
		return c.end()
	}
	c.phase = phaseWait
	if changed && c.row.ClaimID != c.own.ID {
		return c.sleep(now, c.limits.ResolveDelay)
	}
	return c.sleep(now, c.limits.PollInterval)
}

// claimed goes on with the own claim, which is durable and has not left. It
// is given back if it comes too late for the caller or for its agent.
func (c *Coordinator) claimed(now time.Time, revision infra.Revision) []Command {
	c.row = recordOf(c.own)
	c.rowKnown = true
	c.revision = revision
	c.own.Revision = revision
	tooLate := !now.Before(c.request.Deadline) || !now.Before(c.own.Expires)
	if c.answered || tooLate {
		return c.release(now, c.tooLate(), true)
	}
	c.phase = phaseDispatch
	c.dispatched = true
	call := c.request.Call
	call.ClaimID = string(c.own.ID)
	return c.access(Command{Kind: CommandDispatch, Claim: c.own, Call: call})
}
