package action

import (
	"context"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/problem"
)

// Lookup returns the outcome of the action under key without changing its state. If the claim
// has no recorded outcome yet, Lookup asks the claim's agent.
func (e *Executor) Lookup(ctx context.Context, workspace wigeonfork.Workspace, text string) (backend.Reply, *problem.Error) {
	limits := e.config.Limits
	key, refusal := checkKey(e.config.Now(), limits, text)
	if refusal != nil {
		return backend.Reply{}, refusal
	}
	storeCtx, cancel := context.WithTimeout(ctx, limits.StoreTimeout)
	defer cancel()
	row, err := e.config.Table.Get(storeCtx, RowKey(workspace, key))
	if err != nil {
		return backend.Reply{}, problem.New(problem.CodeStoreUnavailable, problem.RunUnknown, problem.StepOutcome,
			"the table cannot be read").Because(err).After(limits.RetryAfter)
	}
	record, err := DecodeRow(row)
	if err != nil {
		return backend.Reply{}, problem.From(err, problem.StepOutcome)
	}
	if record.State != StateClaimed {
		return lookupRecord(limits, record)
	}
	askCtx, cancelAsk := context.WithTimeout(ctx, limits.ResolveTimeout)
	defer cancelAsk()
	query := record.resolveQuery()
	query.Peek = true
	resolution, err := e.config.Dispatcher.Resolve(askCtx, record.Target.AgentAddress, query)
	return lookupResolution(limits, record, resolution, err)
}

// lookupRecord answers from a row without an active claim. A missing row does not prove that
// the request will not run: an earlier copy may not have made its claim yet.
func lookupRecord(limits Limits, record Record) (backend.Reply, *problem.Error) {
	switch {
	case record.State == StateDone && record.ReplyOmitted:
		return backend.Reply{}, problem.New(problem.CodeInterrupted, problem.RunDone, problem.StepOutcome,
			"the request was run; its reply was too large to be kept").For(record.RequestID)
	case record.State == StateDone:
		return record.reply(), nil
	case record.State == StateUnknown:
		return backend.Reply{}, problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepOutcome,
			"the outcome is lost").For(record.RequestID).At(record.Target.AgentAddress)
	case record.State == StateNotRun:
		return backend.Reply{}, problem.New(problem.CodeNotFound, problem.RunNot, problem.StepOutcome,
			"the request was refused and not run; send it again with the same key").For(record.RequestID)
	default:
		return backend.Reply{}, problem.New(problem.CodeNotFound, problem.RunUnknown, problem.StepOutcome,
			"nothing is recorded under this key; send the request again with it").After(limits.RetryAfter)
	}
}

// lookupResolution answers from the response of the claim's agent.
func lookupResolution(limits Limits, record Record, resolution Resolution, err error) (backend.Reply, *problem.Error) {
	if err == nil && resolution.State == ResolvedDone {
		return resolution.Reply, nil
	}
	return backend.Reply{}, problem.New(problem.CodeOutcomeUnknown, problem.RunUnknown, problem.StepOutcome,
		"the outcome is not known yet").For(record.RequestID).At(record.Target.AgentAddress).
		Because(err).After(limits.RetryAfter)
}

// Status is a summary of an Executor for state dumps and metrics.
type Status struct {
	// InFlight is the number of requests whose caller has not been answered yet.
	InFlight int64 `json:"under_way"`
	// Recording is the number of answered requests whose outcome is still being recorded.
	Recording int64 `json:"recording"`
	// Writes is the number of writes that are queued or in flight to the table.
	Writes int `json:"writes"`
}

// Status returns a summary of e.
func (e *Executor) Status() Status {
	e.committer.mu.Lock()
	defer e.committer.mu.Unlock()
	return Status{
		InFlight:  e.inFlight.Load(),
		Recording: e.recording.Load(),
		Writes:    e.committer.batcher.Len(),
	}
}
