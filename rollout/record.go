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

// The states. StateDone and StateReverted are final, except that a move in StateDone is still
// reverted if its version turns bad during the watch.
const (
	StatePlanned   State = "planned"
	StateCanary    State = "canary"
	StateRamp      State = "ramp"
	StateDone      State = "done"
	StateReverting State = "reverting"
	StateReverted  State = "reverted"
)

// Record is the stored state of a move. Any holder of the lease can continue from it.
type Record struct {
	State State `json:"state"`
	// Share is the share of traffic that To may get.
	Share PerMille `json:"share"`
	// RaisedAt is when Share was last raised.
	RaisedAt time.Time `json:"raised"`
	// FinishedAt is when the move was done or reverted.
	FinishedAt time.Time `json:"finished,omitzero"`
	// Closed says that no orders are left to send.
	Closed bool `json:"closed,omitempty"`
	// Reason says why the version is reverted.
	Reason string `json:"why,omitempty"`
	// Fencing is the fencing number of the holder that wrote this record.
	Fencing wigeonfork.FencingNumber `json:"fencing"`
	// Sequence increases with each write.
	Sequence uint64 `json:"sequence"`
	// Operation is the id of the transaction that wrote this record.
	Operation string `json:"operation"`
}

// Stopped reports whether To gets no more requests.
func (r Record) Stopped() bool {
	return r.State == StateReverting || r.State == StateReverted
}

// RecordKey returns the key of a move's row.
func RecordKey(move string) string { return "move/" + move }

// DecodeRecord returns the record in row. A missing row is a planned move.
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

// transaction returns the write of r, conditional on the row's revision.
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
