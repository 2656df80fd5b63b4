package action

import (
	"strconv"

	"github.com/wigeonfork/wigeonfork/infra"
)

// rowWrite is one conditional rowWrite of an action's row.
type rowWrite struct {
	rowKey   string
	record   Record
	revision infra.Revision
}

// transaction returns the write as a transaction. Its operation id names the
// claim, the new state and the condition, so that equal ids are equal writes.
func (w rowWrite) transaction() (infra.Transaction, error) {
	value, err := w.record.encode()
	if err != nil {
		return infra.Transaction{}, err
	}
	return infra.Transaction{
		OperationID: w.operationID(),
		Conditions:  []infra.Condition{{Key: w.rowKey, Revision: w.revision}},
		Writes:      []infra.Write{{Key: w.rowKey, Value: value}},
	}, nil
}

func (w rowWrite) operationID() string {
	return string(w.record.ClaimID) + "/" + string(w.record.State) + "/" + strconv.FormatUint(uint64(w.revision), 10)
}

// conflictResult tells how to go on after a conflict of an outcome's write.
type conflictResult int

const (
	// conflictRetry: write again on the present revision.
	conflictRetry conflictResult = iota
	// conflictRecorded: the row holds the claim's outcome.
	conflictRecorded
	// conflictSuperseded: the row belongs to another claim.
	conflictSuperseded
)

// afterConflict returns how to go on with an outcome when the row is present
// at revision, and the write to go on with.
func (w rowWrite) afterConflict(current Record, revision infra.Revision) (rowWrite, conflictResult) {
	if current.ClaimID != w.record.ClaimID {
		return w, conflictSuperseded
	}
	if current.State == w.record.State {
		return w, conflictRecorded
	}
	if _, err := nextState(current.State, eventForOutcome(w.record.State)); err != nil {
		return w, conflictRecorded
	}
	w.revision = revision
	return w, conflictRetry
}

// eventForOutcome returns the event that ends a claim in state.
func eventForOutcome(state State) Event {
	switch state {
	case StateDone:
		return EventFinish
	case StateUnknown:
		return EventMarkUnknown
	default:
		return EventRelease
	}
}
