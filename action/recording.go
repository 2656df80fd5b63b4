package action

import (
	"strconv"

	"github.com/wigeonfork/wigeonfork/infra"
)

// rowWrite is one conditional write of an action's row.
type rowWrite struct {
	rowKey   string
	record   Record
	revision infra.Revision
}

// transaction returns the write as a transaction. Its operation id is made of the claim id, the
// new state and the expected revision, so equal ids always denote equal writes.
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

// conflictResult is what to do after the write of an outcome conflicted.
type conflictResult int

const (
	// conflictRetry: repeat the write with the current revision.
	conflictRetry conflictResult = iota
	// conflictRecorded: the row already holds an outcome of the claim.
	conflictRecorded
	// conflictSuperseded: the row belongs to another claim.
	conflictSuperseded
)

// afterConflict returns what to do after a conflict with a row that holds current at revision. For
// conflictRetry, the returned write is the next one to send.
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

// eventForOutcome returns the event that moves a claim to state.
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
