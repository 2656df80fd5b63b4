package action

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Config holds what an Executor works with.
type Config struct {
	Table      platform.Table
	Dispatcher Dispatcher
	Limits     Limits
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
}

// Executor runs the decisions of this package over a table and agents. Its
// methods may be called from many goroutines.
type Executor struct {
	config Config
}

// NewExecutor returns an Executor.
func NewExecutor(config Config) *Executor {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Executor{config: config}
}

// Do runs the request at most once and returns the reply of its call.
func (e *Executor) Do(ctx context.Context, request Request) (backend.Reply, *problem.Error) {
	now := e.config.Now()
	key, refusal := checkKey(now, e.config.Limits, request.Key)
	if refusal != nil {
		return backend.Reply{}, refusal.For(request.RequestID)
	}
	claim := Claim{
		ID: NewClaimID(), Workspace: request.Workspace, Key: key, Fingerprint: FingerprintOf(request.Call),
		Target: request.Target, RequestID: request.RequestID,
		ClaimedAt: now, Expires: now.Add(e.config.Limits.DispatchWindow),
	}
	record := recordOf(claim)
	commit, err := e.write(ctx, claim, record)
	if err != nil || !commit.Applied {
		return backend.Reply{}, problem.New(problem.CodeStoreUnavailable, problem.RunUnknown, problem.StepClaim,
			"claim not made").Because(err).For(request.RequestID).After(e.config.Limits.RetryAfter)
	}
	claim.Revision = commit.Revision
	request.Call.ClaimID = string(claim.ID)
	reply, err := e.config.Dispatcher.Dispatch(ctx, claim, request.Call)
	if err != nil {
		return backend.Reply{}, problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepDispatch,
			"outcome is not known").Because(err).For(request.RequestID).After(e.config.Limits.RetryAfter)
	}
	_, err = e.write(ctx, claim, record.withReply(reply, e.config.Limits.MaxReplyBytes))
	if err == nil {
		e.config.Dispatcher.Acknowledge(ctx, claim.Target, []ClaimID{claim.ID})
	}
	return reply, nil
}

func (e *Executor) write(ctx context.Context, claim Claim, record Record) (platform.Commit, error) {
	value, err := record.encode()
	if err != nil {
		return platform.Commit{}, err
	}
	rowKey := RowKey(claim.Workspace, claim.Key)
	return e.config.Table.Commit(ctx, platform.Transaction{
		OperationID: string(claim.ID) + "/" + string(record.State),
		Conditions:  []platform.Condition{{Key: rowKey, Revision: claim.Revision}},
		Writes:      []platform.Write{{Key: rowKey, Value: value}},
	})
}

// Lookup returns what is known of the action under key, without changing it.
func (e *Executor) Lookup(ctx context.Context, workspace wigeonfork.Workspace, text string) (backend.Reply, *problem.Error) {
	key, refusal := checkKey(e.config.Now(), e.config.Limits, text)
	if refusal != nil {
		return backend.Reply{}, refusal
	}
	row, err := e.config.Table.Get(ctx, RowKey(workspace, key))
	if err != nil {
		return backend.Reply{}, problem.New(problem.CodeStoreUnavailable, problem.RunUnknown, problem.StepOutcome,
			"the table cannot be read").Because(err).After(e.config.Limits.RetryAfter)
	}
	record, err := DecodeRow(row)
	if err != nil {
		return backend.Reply{}, problem.From(err, problem.StepOutcome)
	}
	if record.State == StateDone {
		return record.reply(), nil
	}
	return backend.Reply{}, problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepOutcome,
		"outcome is not known").After(e.config.Limits.RetryAfter)
}

// Record writes the outcome of a claim into its row; nil reply stands for an
// outcome that is not known. An agent uses it for the outcomes that no entry
// has acknowledged. It succeeds if the row already holds an outcome.
func (e *Executor) Record(ctx context.Context, claim Claim, reply *backend.Reply) error {
	record := recordOf(claim)
	record.State = StateUnknown
	if reply != nil {
		record = record.withReply(*reply, e.config.Limits.MaxReplyBytes)
	}
	_, err := e.write(ctx, claim, record)
	return err
}

// Close stops new requests and waits until what is under way is recorded, or
// until ctx ends.
func (e *Executor) Close(ctx context.Context) error { return nil }
