package action

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// State is the state of an action. A key without a row is StateAbsent.
type State string

// The states of an action. StateClaimed has no recorded outcome yet. StateDone holds the reply.
// In StateUnknown the outcome is lost; a reply that is recorded later leads to StateDone. In
// StateNotRun the last claim was not run and never will be, and another claim can be made.
const (
	StateAbsent  State = "absent"
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateUnknown State = "unknown"
	StateNotRun  State = "not_run"
)

// Record is the value of an action's row. ClaimedAt and Expires are Unix times in nanoseconds.
type Record struct {
	State       State                `json:"state" cbor:"1,keyasint"`
	ClaimID     ClaimID              `json:"claim_id" cbor:"2,keyasint"`
	Fingerprint Fingerprint          `json:"fingerprint" cbor:"3,keyasint"`
	Target      Target               `json:"target" cbor:"4,keyasint"`
	ClaimedAt   int64                `json:"claimed_at_ns" cbor:"5,keyasint"`
	Expires     int64                `json:"expires_ns" cbor:"6,keyasint"`
	RequestID   wigeonfork.RequestID `json:"request_id" cbor:"7,keyasint"`
	// Status, ContentType and Body hold the reply in StateDone. Body is left out if
	// ReplyOmitted.
	Status       int    `json:"status,omitempty" cbor:"8,keyasint,omitempty"`
	ContentType  string `json:"content_type,omitempty" cbor:"9,keyasint,omitempty"`
	Body         []byte `json:"-" cbor:"10,keyasint,omitempty"`
	ReplyOmitted bool   `json:"reply_omitted,omitempty" cbor:"11,keyasint,omitempty"`
}

// RowPrefix is the key prefix of all action rows.
const RowPrefix = "action/"

// WorkspacePrefix returns the key prefix of all action rows of workspace. These rows are
// ordered by the issue time of their idempotency keys.
func WorkspacePrefix(workspace wigeonfork.Workspace) string {
	return RowPrefix + string(workspace) + "/"
}

// RowKey returns the table key of the row of an action.
func RowKey(workspace wigeonfork.Workspace, key Key) string {
	return WorkspacePrefix(workspace) + string(key)
}

// newClaimRecord returns the record of claim in StateClaimed.
func newClaimRecord(claim Claim) Record {
	return Record{
		State:       StateClaimed,
		ClaimID:     claim.ID,
		Fingerprint: claim.Fingerprint,
		Target:      claim.Target,
		ClaimedAt:   claim.ClaimedAt.UnixNano(),
		Expires:     claim.Expires.UnixNano(),
		RequestID:   claim.RequestID,
	}
}

// withReply returns r in StateDone with reply. A body of more than maxBody bytes is omitted.
func (r Record) withReply(reply backend.Reply, maxBody int) Record {
	r.State = StateDone
	r.Status = reply.Status
	r.ContentType = reply.ContentType
	r.Body = reply.Body
	if len(reply.Body) > maxBody {
		r.Body = nil
		r.ReplyOmitted = true
	}
	return r
}

// reply returns the recorded reply.
func (r Record) reply() backend.Reply {
	return backend.Reply{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

// resolveQuery returns the query that asks the agent about r's claim.
func (r Record) resolveQuery() ResolveQuery {
	return ResolveQuery{
		ClaimID:     r.ClaimID,
		Incarnation: r.Target.Incarnation,
		Expires:     time.Unix(0, r.Expires),
	}
}

// encode returns r as the value of a row.
func (r Record) encode() ([]byte, error) {
	value, err := cbor.Marshal(r)
	return value, errors.Wrap(err, "encode action record")
}

// DecodeRow returns the record in row, or one in StateAbsent if the row does not exist.
func DecodeRow(row infra.Row) (Record, error) {
	if row.Revision == 0 || row.Deleted {
		return Record{State: StateAbsent}, nil
	}
	var record Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "decode action record %s", row.Key)
	}
	return record, nil
}
