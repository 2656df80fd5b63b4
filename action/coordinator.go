package action

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// CommandKind is the kind of a Command.
type CommandKind int

// The kinds of commands. The first four are I/O commands. Each of them is followed by exactly
// one call of Handle with its result.
const (
	CommandRead CommandKind = iota
	CommandCommit
	CommandDispatch
	CommandResolve
	// CommandAcknowledge notifies the agent that Claim's outcome is recorded.
	CommandAcknowledge
	// CommandReply answers the caller with Reply.
	CommandReply
	// CommandRefuse answers the caller with Problem.
	CommandRefuse
)

// Command is an instruction of a Coordinator to its executor. The I/O commands use these fields:
// CommandRead RowKey, CommandCommit Transaction, CommandDispatch Claim and Call, CommandResolve
// Target and Query.
type Command struct {
	Kind        CommandKind
	RowKey      string
	Transaction infra.Transaction
	Claim       Claim
	Call        backend.Call
	Query       ResolveQuery
	Target      Target
	Reply       backend.Reply
	Problem     *problem.Error
}

// CommandResult is the result of the pending I/O command. Unless Err is set, it holds Row for
// CommandRead, Commit for CommandCommit, Reply for CommandDispatch and Resolution for
// CommandResolve.
type CommandResult struct {
	Row        infra.Row
	Commit     infra.Commit
	Reply      backend.Reply
	Resolution Resolution
	Err        error
}

type phase int

const (
	// phaseClaim: the claim is being written; nothing has been sent to an agent.
	phaseClaim phase = iota
	// phaseReadAfterClaim: the row is read because the write of the claim failed, or because a
	// conflict did not return the row.
	phaseReadAfterClaim
	// phaseDispatch: the claim is durable and the call has been sent.
	phaseDispatch
	// phaseResolve: the agent of the row's claim is polled for the outcome.
	phaseResolve
	// phaseReadAfterResolve: the row is read because the query to the agent failed.
	phaseReadAfterResolve
	// phaseRelease: the row's claim is being marked as not run.
	phaseRelease
	// phaseRecord: an outcome is being recorded.
	phaseRecord
	phaseEnded
)

// Coordinator is the state machine that runs one request at most once. It has no goroutine,
// clock or I/O. Start returns the first commands, Handle takes the result of the pending I/O
// command, and Tick advances the time. At most one I/O command is pending.
type Coordinator struct {
	limits        Limits
	request       Request
	key           Key
	fingerprint   Fingerprint
	claimIDPrefix ClaimID

	phase    phase
	attempts int
	// pending: an I/O command is pending. dispatched: ownClaim was dispatched. answered: the caller
	// has been answered.
	pending    bool
	dispatched bool
	answered   bool
	// rowKnown: the row was read, or a claim of this request was written.
	rowKnown bool
	// ownClaim is the last claim that this request made.
	ownClaim Claim
	// claimRevision is the row revision that the write of ownClaim is conditioned on.
	claimRevision infra.Revision
	row           Record
	rowRevision   infra.Revision
	pendingWrite  rowWrite
	// refusal is the caller's answer once the release is written. If notRunProven is set, the
	// caller gets it even if the release cannot be written.
	refusal      *problem.Error
	notRunProven bool
	// lastErr is the last error of an I/O command. Refusals report it as their cause.
	lastErr error
	// wakeAt is when Tick continues, or zero if the next step needs a result.
	wakeAt time.Time
	// claimDeadline is when the coordinator stops retrying the claim.
	claimDeadline time.Time
	// recordDeadline is when the coordinator stops retrying the write of an outcome.
	recordDeadline time.Time
}

// NewCoordinator returns the coordinator of one request. The id must be unique; the ids of the
// request's claims are derived from it.
func NewCoordinator(limits Limits, request Request, id ClaimID) Coordinator {
	return Coordinator{limits: limits, request: request, claimIDPrefix: id}
}

// Ended reports whether the coordinator is done: no I/O is pending and no command will follow.
func (c *Coordinator) Ended() bool { return c.phase == phaseEnded && !c.pending }

// Answered reports whether the caller has been answered.
func (c *Coordinator) Answered() bool { return c.answered }

// WakeAt returns when Tick is next due, or the zero time if only a result is awaited.
func (c *Coordinator) WakeAt() time.Time {
	at := c.wakeAt
	if c.pending {
		at = time.Time{}
	}
	if !c.answered && (at.IsZero() || c.request.Deadline.Before(at)) {
		return c.request.Deadline
	}
	return at
}

// Start checks the key and returns the first commands.
func (c *Coordinator) Start(now time.Time) []Command {
	key, refusal := checkKey(now, c.limits, c.request.Key)
	if refusal != nil {
		c.phase = phaseEnded
		return c.refuse(refusal)
	}
	c.key = key
	c.fingerprint = FingerprintOf(c.request.Call)
	c.claimDeadline = now.Add(c.limits.ClaimTimeout)
	c.phase = phaseClaim
	return c.checkDeadline(now, c.makeClaim(now))
}

// Tick advances the time to now and returns the commands that are due.
func (c *Coordinator) Tick(now time.Time) []Command {
	var commands []Command
	due := !c.wakeAt.IsZero() && !now.Before(c.wakeAt)
	if due && !c.pending {
		c.wakeAt = time.Time{}
		commands = c.wake(now)
	}
	return c.checkDeadline(now, commands)
}

// wake continues after a pause between two I/O commands.
func (c *Coordinator) wake(now time.Time) []Command {
	switch c.phase {
	case phaseClaim:
		return c.makeClaim(now)
	case phaseReadAfterClaim, phaseReadAfterResolve:
		return c.read()
	case phaseResolve:
		return c.resolve()
	case phaseRelease, phaseRecord:
		return c.commit(c.pendingWrite)
	default:
		return nil
	}
}

// Handle takes the result of the pending I/O command.
func (c *Coordinator) Handle(now time.Time, result CommandResult) []Command {
	if !c.pending {
		return nil
	}
	c.pending = false
	return c.checkDeadline(now, c.handle(now, result))
}

func (c *Coordinator) handle(now time.Time, result CommandResult) []Command {
	switch c.phase {
	case phaseClaim:
		return c.handleClaimResult(now, result)
	case phaseReadAfterClaim, phaseReadAfterResolve:
		return c.handleReadResult(now, result)
	case phaseDispatch:
		return c.handleDispatchResult(now, result)
	case phaseResolve:
		return c.handleResolveResult(now, result)
	case phaseRelease:
		return c.handleReleaseResult(now, result)
	case phaseRecord:
		return c.handleRecordResult(now, result)
	default:
		return nil
	}
}

// Cancel moves the deadline to now because the caller has disconnected.
func (c *Coordinator) Cancel(now time.Time) []Command {
	if now.Before(c.request.Deadline) {
		c.request.Deadline = now
	}
	return c.checkDeadline(now, nil)
}

// checkDeadline appends a refusal to commands if the request's deadline has passed and the caller
// has not been answered.
func (c *Coordinator) checkDeadline(now time.Time, commands []Command) []Command {
	if c.answered || now.Before(c.request.Deadline) {
		return commands
	}
	commands = append(commands, c.refuse(c.deadlineRefusal())...)
	if !c.pending && !c.hasPendingWrite() {
		c.phase = phaseEnded
	}
	return commands
}

// hasPendingWrite reports whether an outcome or a release is still being written.
func (c *Coordinator) hasPendingWrite() bool {
	return c.phase == phaseRecord || c.phase == phaseRelease
}

// deadlineRefusal returns the answer to a caller whose deadline has passed.
func (c *Coordinator) deadlineRefusal() *problem.Error {
	switch c.phase {
	case phaseClaim, phaseReadAfterClaim:
		return c.storeUnavailable()
	case phaseRelease:
		return c.unreleasedRefusal()
	default:
		return c.outcomeUnknown()
	}
}

// claimID returns the id of the claim of the current attempt.
func (c *Coordinator) claimID() ClaimID {
	return c.claimIDPrefix + ClaimID("."+strconv.Itoa(c.attempts))
}

// startIO issues an I/O command.
func (c *Coordinator) startIO(command Command) []Command {
	c.pending = true
	return []Command{command}
}

func (c *Coordinator) read() []Command {
	return c.startIO(Command{Kind: CommandRead, RowKey: RowKey(c.request.Workspace, c.key)})
}

func (c *Coordinator) resolve() []Command {
	return c.startIO(Command{Kind: CommandResolve, Target: c.row.Target, Query: c.row.resolveQuery()})
}

// commit issues a write of the row.
func (c *Coordinator) commit(w rowWrite) []Command {
	c.pendingWrite = w
	tx, err := w.transaction()
	if err != nil {
		return c.fail(err)
	}
	return c.startIO(Command{Kind: CommandCommit, Transaction: tx})
}

// wakeAfter makes Tick continue when d has passed since now.
func (c *Coordinator) wakeAfter(now time.Time, d time.Duration) []Command {
	c.wakeAt = now.Add(d)
	return nil
}

// end stops the coordinator without a further command.
func (c *Coordinator) end() []Command {
	c.phase = phaseEnded
	return nil
}

// fail ends the request with an internal error.
func (c *Coordinator) fail(err error) []Command {
	c.phase = phaseEnded
	internal := problem.New(problem.CodeInternal, problem.RunUnknown, problem.StepClaim, "internal error")
	return c.refuse(internal.Because(errors.Wrap(err, "run action")))
}
