package action

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// CommandKind tells what a Coordinator asks for.
type CommandKind int

// The kinds of commands. Each of the first four is one access, which is
// answered by exactly one Answer; a Coordinator has at most one under way.
const (
	CommandRead CommandKind = iota
	CommandCommit
	CommandDispatch
	CommandResolve
	// CommandAcknowledge tells the agent that Claim's outcome is recorded.
	CommandAcknowledge
	// CommandReply gives the caller Reply.
	CommandReply
	// CommandRefuse gives the caller Problem.
	CommandRefuse
)

// Command is one thing that a Coordinator asks for.
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

// CommandResult is the end of the access under way. Err decides first; else the
// field of the access is set.
type CommandResult struct {
	Row        infra.Row
	Commit     infra.Commit
	Reply      backend.Reply
	Resolution Resolution
	Err        error
}

type phase int

const (
	// phaseClaim: the claim is being made; nothing has left for an agent.
	phaseClaim phase = iota
	// phaseReadAfterClaim: the row is read after a failed or unclear claim.
	phaseReadAfterClaim
	// phaseDispatch: the claim is durable and the call has left.
	phaseDispatch
	// phaseResolve: the outcome of the row's claim is awaited from its agent.
	phaseResolve
	// phaseReadAfterResolve: the row is read because the agent does not answer.
	phaseReadAfterResolve
	// phaseRelease: the own claim is proved not run and is being released.
	phaseRelease
	// phaseRecord: an outcome is being recorded.
	phaseRecord
	phaseEnded
)

// Coordinator decides how one request runs at most once. It is a plain value
// without goroutine, clock or I/O: Start begins, Handle takes the answer of
// the access under way, Tick takes the passing of time.
type Coordinator struct {
	limits        Limits
	request       Request
	key           Key
	fingerprint   Fingerprint
	claimIDPrefix ClaimID

	phase    phase
	attempts int
	// pending: an access is under way. dispatched: the present own claim has
	// left for its agent. answered: the caller has its answer.
	pending    bool
	dispatched bool
	answered   bool
	// rowKnown: the row was seen in the course of this request.
	rowKnown bool
	ownClaim Claim
	// claimRevision is the row's revision that the own claim is conditioned on.
	claimRevision infra.Revision
	row           Record
	rowRevision   infra.Revision
	pendingWrite  rowWrite
	// refusal is what the caller gets once the release is written; proved
	// tells that it holds even if the release is not.
	refusal      *problem.Error
	notRunProven bool
	lastErr      error
	// wakeAt is when to go on; zero for not before an answer.
	wakeAt        time.Time
	claimDeadline time.Time
	// recordDeadline is when an outcome is left to the agent to record.
	recordDeadline time.Time
}

// NewCoordinator returns the coordinator of one request. The claim id must be
// unique; the ids of further claims of the request are derived from it.
func NewCoordinator(limits Limits, request Request, id ClaimID) Coordinator {
	return Coordinator{limits: limits, request: request, claimIDPrefix: id}
}

// Ended tells whether nothing more will be asked for.
func (c *Coordinator) Ended() bool { return c.phase == phaseEnded && !c.pending }

// Answered tells whether the caller has its answer.
func (c *Coordinator) Answered() bool { return c.answered }

// WakeAt returns when Tick is next due, or the zero time.
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

// Start begins with the request.
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

// Tick takes the passing of time.
func (c *Coordinator) Tick(now time.Time) []Command {
	var commands []Command
	due := !c.wakeAt.IsZero() && !now.Before(c.wakeAt)
	if due && !c.pending {
		c.wakeAt = time.Time{}
		commands = c.wake(now)
	}
	return c.checkDeadline(now, commands)
}

// wake goes on after a pause between two accesses.
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

// Handle takes the answer of the access under way.
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

// Cancel takes the news that the caller has gone away: its deadline is now.
func (c *Coordinator) Cancel(now time.Time) []Command {
	if now.Before(c.request.Deadline) {
		c.request.Deadline = now
	}
	return c.checkDeadline(now, nil)
}

// checkDeadline adds the caller's final answer once its deadline has passed.
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

// hasPendingWrite tells whether work remains once the caller has its answer.
func (c *Coordinator) hasPendingWrite() bool {
	return c.phase == phaseRecord || c.phase == phaseRelease
}

// deadlineRefusal returns the answer for a caller whose deadline has passed.
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

// claimID returns the id of the present attempt's claim.
func (c *Coordinator) claimID() ClaimID {
	return c.claimIDPrefix + ClaimID("."+strconv.Itoa(c.attempts))
}

// startIO starts an startIO.
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

// commit starts a write of the row.
func (c *Coordinator) commit(w rowWrite) []Command {
	c.pendingWrite = w
	tx, err := w.transaction()
	if err != nil {
		return c.fail(err)
	}
	return c.startIO(Command{Kind: CommandCommit, Transaction: tx})
}

// sleep ends the present step until d has passed.
func (c *Coordinator) sleep(now time.Time, d time.Duration) []Command {
	c.wakeAt = now.Add(d)
	return nil
}

// end stops the coordinator.
func (c *Coordinator) end() []Command {
	c.phase = phaseEnded
	return nil
}

// fail ends with an internal error.
func (c *Coordinator) fail(err error) []Command {
	c.phase = phaseEnded
	internal := problem.New(problem.CodeInternal, problem.RunUnknown, problem.StepClaim, "internal error")
	return c.refuse(internal.Because(errors.Wrap(err, "run action")))
}
