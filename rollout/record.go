package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// State is the state of a move's life cycle.
type State string

// The states. Done and reverted are final, but that a version which turns bad
// while it is watched after done is still taken back.
const (
	StatePlanned   State = "planned"
	StateCanary    State = "canary"
	StateRamp      State = "ramp"
	StateDone      State = "done"
	StateReverting State = "reverting"
	StateReverted  State = "reverted"
)

// Record is what the table keeps of a move, from which any holder of the lease
// can go on.
type Record struct {
	State State `json:"state"`
	// Share is what To may get.
	Share PerMille `json:"share"`
	// RaisedAt is when Share was last raised.
	RaisedAt time.Time `json:"raised"`
	// FinishedAt is when the move was done or reverted.
	FinishedAt time.Time `json:"finished,omitzero"`
	// Closed says that no order is left to be given.
	Closed bool `json:"closed,omitempty"`
	// Reason says why the version is taken back.
	Reason string `json:"why,omitempty"`
	// Fencing is the number of the holder that wrote this.
	Fencing wigeonfork.FencingNumber `json:"fencing"`
	// Sequence grows with each write.
	Sequence uint64 `json:"sequence"`
	// Operation is the id of the transaction that wrote this.
	Operation string `json:"operation"`
}

// Stopped says that To is not sent anything any more.
func (r Record) Stopped() bool {
	return r.State == StateReverting || r.State == StateReverted
}

// RecordKey returns the key of a move's row.
func RecordKey(move string) string { return "move/" + move }

// DecodeRecord returns the record in row; a missing row is a planned move.
func DecodeRecord(row infra.Row) (Record, error) {
	r := Record{State: StatePlanned}
	if row.Revision == 0 || row.Deleted {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "decode move row %q", row.Key)
	}
	return r, nil
}

// transaction returns the write of r over the row's present revision.
func (r Record) transaction(move string, revision infra.Revision) (infra.Transaction, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return infra.Transaction{}, errors.Wrap(err, "encode move record")
	}
	key := RecordKey(move)
	return infra.Transaction{
		OperationID: r.Operation,
		Conditions:  []infra.Condition{{Key: key, Revision: revision}},
		Writes:      []infra.Write{{Key: key, Value: value}},
	}, nil
}

func operationID(move string, fencing wigeonfork.FencingNumber, count uint64) string {
	return fmt.Sprintf("%s/%d/%d", RecordKey(move), fencing, count)
}
