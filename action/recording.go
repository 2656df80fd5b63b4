package action

import (
	"strconv"

	"github.com/wigeonfork/wigeonfork/infra"
)

// write is one conditional write of an action's row.
type write struct {
	rowKey   string
	record   Record
	revision infra.Revision
}

// transaction returns the write as a transaction. Its operation id names the
// claim, the new state and the condition, so that equal ids are equal writes.
func (w write) transaction() (infra.Transaction, error) {
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

func (w write) operationID() string {
	return string(w.record.ClaimID) + "/" + string(w.record.State) + "/" + strconv.FormatUint(uint64(w.revision), 10)
}

// recordingResult tells how to go on after a conflict of an outcome's write.
type recordingResult int

const (
	// recordingAgain: write again on the present revision.
	recordingAgain recordingResult = iota
	// recordingDone: the row holds the claim's outcome.
	recordingDone
	// recordingOther: the row belongs to another claim.
	recordingOther
)

// afterConflict returns how to go on with an outcome when the row is present
// at revision, and the write to go on with.
func (w write) afterConflict(present Record, revision infra.Revision) (write, recordingResult) {
	if present.ClaimID != w.record.ClaimID {
		return w, recordingOther
	}
	if present.State == w.record.State {
		return w, recordingDone
	}
	if _, err := next(present.State, eventInto(w.record.State)); err != nil {
		return w, recordingDone
	}
	w.revision = revision
	return w, recordingAgain
}

// eventInto returns the event that ends a claim in state.
func eventInto(state State) Event {
	switch state {
	case StateDone:
		return EventFinish
	case StateUnknown:
		return EventMarkUnknown
	default:
		return EventRelease
	}
}
