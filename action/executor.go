package action

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Config holds the dependencies and limits of an Executor.
type Config struct {
	Table      infra.Table
	Dispatcher Dispatcher
	Limits     Limits
	// Batch limits group commit; the zero value selects DefaultBatchLimits.
	Batch BatchLimits
	// Now returns the current time; nil selects time.Now.
	Now func() time.Time
}

// Executor runs Coordinators over a table and agents. It is safe for concurrent use.
type Executor struct {
	config      Config
	committer   *committer
	baseContext context.Context
	cancelBase  context.CancelFunc
	requests    sync.WaitGroup
	inFlight    atomic.Int64
	recording   atomic.Int64
}

// NewExecutor returns an Executor. It fills in the defaults of config.
func NewExecutor(config Config) *Executor {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Batch == (BatchLimits{}) {
		config.Batch = DefaultBatchLimits()
	}
	base, stop := context.WithCancel(context.Background())
	return &Executor{
		config:      config,
		committer:   newCommitter(config.Table, config.Batch, config.Limits.StoreTimeout, config.Now),
		baseContext: base,
		cancelBase:  stop,
	}
}

// errCallerGone is the cause of a dispatch that is not sent because the caller has already been
// answered.
var errCallerGone = errors.New("the caller is gone")

// requestRun is one request in progress.
type requestRun struct {
	executor    *Executor
	coordinator Coordinator
	deadline    time.Time
	reply       backend.Reply
	refusal     *problem.Error
}

// Do runs the request at most once. It returns by the request's deadline or when ctx ends.
// Outcomes that are not recorded by then are recorded in the background.
func (e *Executor) Do(ctx context.Context, request Request) (backend.Reply, *problem.Error) {
	e.requests.Add(1)
	e.inFlight.Add(1)
	r := &requestRun{
		executor:    e,
		coordinator: NewCoordinator(e.config.Limits, request, NewClaimID()),
		deadline:    request.Deadline,
	}
	remaining := r.drive(ctx, r.coordinator.Start(e.config.Now()), false)
	e.inFlight.Add(-1)
	if r.coordinator.Ended() {
		e.requests.Done()
		return r.reply, r.refusal
	}
	reply, refusal := r.reply, r.refusal
	go r.finishInBackground(remaining)
	return reply, refusal
}

// finishInBackground runs the remaining commands after the caller was answered.
func (r *requestRun) finishInBackground(commands []Command) {
	e := r.executor
	defer e.requests.Done()
	e.recording.Add(1)
	defer e.recording.Add(-1)
	limit := e.config.Limits.RecordTimeout + e.config.Limits.StoreTimeout
	ctx, cancel := context.WithTimeout(e.baseContext, limit)
	defer cancel()
	r.drive(ctx, commands, true)
}

// drive executes commands until the request has ended or, in the foreground, until the caller
// is answered. It returns the I/O commands that are left.
func (r *requestRun) drive(ctx context.Context, commands []Command, background bool) []Command {
	for {
		if ctx.Err() != nil {
			if background {
				return nil
			}
			commands = append(commands, r.coordinator.Cancel(r.executor.config.Now())...)
		}
		ioCommands := r.applyLocal(ctx, commands)
		if r.coordinator.Ended() || r.coordinator.Answered() && !background {
			return ioCommands
		}
		if len(ioCommands) > 0 {
			result := r.executeIO(ctx, ioCommands[0], background)
			commands = r.coordinator.Handle(r.executor.config.Now(), result)
			continue
		}
		r.waitUntilDue(ctx)
		commands = r.coordinator.Tick(r.executor.config.Now())
	}
}

// applyLocal executes the replies, refusals and acknowledgements, and returns the I/O commands.
func (r *requestRun) applyLocal(ctx context.Context, commands []Command) []Command {
	var ioCommands []Command
	for _, command := range commands {
		switch command.Kind {
		case CommandReply:
			r.reply = command.Reply
		case CommandRefuse:
			r.refusal = command.Problem
		case CommandAcknowledge:
			r.executor.config.Dispatcher.Acknowledge(ctx, command.Target, []ClaimID{command.Claim.ID})
		default:
			ioCommands = append(ioCommands, command)
		}
	}
	return ioCommands
}

// waitUntilDue waits until the coordinator is due or ctx ends.
func (r *requestRun) waitUntilDue(ctx context.Context) {
	timer := time.NewTimer(r.coordinator.WakeAt().Sub(r.executor.config.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// executeIO executes one I/O command.
func (r *requestRun) executeIO(ctx context.Context, command Command, background bool) CommandResult {
	e := r.executor
	limits := e.config.Limits
	switch command.Kind {
	case CommandRead:
		ctx, cancel := r.withTimeout(ctx, limits.StoreTimeout, background)
		defer cancel()
		row, err := e.config.Table.Get(ctx, command.RowKey)
		return CommandResult{Row: row, Err: err}
	case CommandCommit:
		ctx, cancel := r.withTimeout(ctx, limits.StoreTimeout, background)
		defer cancel()
		commit, err := e.committer.commit(ctx, command.Transaction)
		return CommandResult{Commit: commit, Err: err}
	case CommandResolve:
		ctx, cancel := r.withTimeout(ctx, limits.ResolveTimeout, background)
		defer cancel()
		resolution, err := e.config.Dispatcher.Resolve(ctx, command.Target.AgentAddress, command.Query)
		return CommandResult{Resolution: resolution, Err: err}
	default:
		return r.dispatch(ctx, command, background)
	}
}

// dispatch sends the call. In the background it sends nothing, because the caller was answered
// before the call was sent.
func (r *requestRun) dispatch(ctx context.Context, command Command, background bool) CommandResult {
	if background {
		err := infra.NewError(infra.OutcomeNotDone, "dispatch", command.Claim.Target.AgentAddress, errCallerGone)
		return CommandResult{Err: err}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	reply, err := r.executor.config.Dispatcher.Dispatch(ctx, command.Claim, command.Call)
	return CommandResult{Reply: reply, Err: err}
}

// withTimeout returns ctx limited by timeout and, in the foreground, by the request's deadline.
func (r *requestRun) withTimeout(ctx context.Context, timeout time.Duration, background bool) (context.Context, context.CancelFunc) {
	if left := r.deadline.Sub(r.executor.config.Now()); !background && left < timeout {
		timeout = left
	}
	return context.WithTimeout(ctx, timeout)
}

// Close waits until all requests have ended and their outcomes are recorded. If ctx ends first,
// Close returns an error and leaves the remaining outcomes to the agents. No request may be
// started after Close.
func (e *Executor) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		e.cancelBase()
		return nil
	case <-ctx.Done():
		e.cancelBase()
		<-done
		return errors.Wrap(ctx.Err(), "record outcomes")
	}
}
