// Package lease gives one process at a time the right to issue orders for a scope, such as a
// deployment. Orders are commands to backend servers, for example to load a version. A lease is a
// row in the platform's table. Its fencing number increases each time the lease is acquired.
//
// Holder is the deterministic core: it takes the time and an event and returns actions. Keeper
// performs the actions on an infra.Table. Guard is the check at the receiver, which rejects orders
// with an old fencing number.
//
// Times are only compared with times of the same process, so the clocks of different processes may
// differ by any amount. They must run at nearly the same rate. Config.Margin covers the
// difference.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Record is the value of a lease row. The row is never deleted, because the fencing number must
// not start again.
type Record struct {
	// Owner identifies the holding process. It is unique to one process start.
	Owner string `json:"owner"`
	// Fencing increases each time the lease is acquired.
	Fencing wigeonfork.FencingNumber `json:"fencing"`
	// Duration is the time for which the row must stay unchanged before another process may
	// acquire the lease.
	Duration time.Duration `json:"duration"`
	// Operation is the id of the transaction that wrote this value.
	Operation string `json:"operation"`
	// Released is set if the lease may be acquired at once.
	Released bool `json:"released,omitempty"`
}

// Encode returns the row value for r.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode lease record"))
	}
	return value
}

// Decode returns the record in row, or the zero Record if the row does not exist.
func Decode(row infra.Row) (Record, error) {
	var r Record
	if row.Revision == 0 || row.Deleted {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "decode lease row %q", row.Key)
	}
	return r, nil
}

// Key returns the key of the lease row of scope.
func Key(scope string) string { return "lease/" + scope }
