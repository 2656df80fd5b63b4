package store

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
)

// Row keys and object name prefixes.
const (
	headKey          = "config/head"
	snapshotKey      = "config/snapshot"
	templatePrefix   = "config/template/"
	deploymentPrefix = "config/deployment/"
	logPrefix        = "config/log/"
	payloadPrefix    = "config/payload/"
	snapshotPrefix   = "config/snapshot/"
	historyPrefix    = "config/history/"
)

// maxInlineBytes bounds a payload in a row. Larger ones go to the object store.
const maxInlineBytes = 64 << 10

// headRow is the value of the row config/head.
type headRow struct {
	Revision    wigeonfork.Revision `json:"revision"`
	OperationID string              `json:"operation_id"`
	Author      string              `json:"author"`
}

// LogEntry is one accepted change. Digest is the hash of the change. Items holds
// the changed items. If they are too large for a row, Object names the object
// that holds them.
type LogEntry struct {
	Revision    wigeonfork.Revision `json:"revision"`
	OperationID string              `json:"operation_id"`
	Digest      uint64              `json:"digest"`
	Author      string              `json:"author"`
	At          time.Time           `json:"at"`
	Summary     []string            `json:"summary"`
	Items       []revision.Item     `json:"items,omitempty"`
	Object      string              `json:"object,omitempty"`
}

// documentRow is the value of the row of a template or deployment. Body is empty
// if it is stored in the object named Object.
type documentRow struct {
	Revision wigeonfork.Revision `json:"revision"`
	Body     json.RawMessage     `json:"body,omitempty"`
	Object   string              `json:"object,omitempty"`
}

// snapshotRow is the value of the row config/snapshot. It names the object with
// the state after the compacted log entries.
type snapshotRow struct {
	Revision wigeonfork.Revision `json:"revision"`
	Object   string              `json:"object"`
}

// snapshotObject is a complete state, stored as an object. Items that were deleted
// at revision Floor or before may be missing.
type snapshotObject struct {
	Revision   wigeonfork.Revision `json:"revision"`
	Floor      wigeonfork.Revision `json:"floor"`
	Items      []revision.Item     `json:"items"`
	Operations []operation         `json:"operations"`
}

// operation identifies an accepted change, so that a repeated request is
// recognized. Digest is the hash of the change.
type operation struct {
	ID       string              `json:"id"`
	Digest   uint64              `json:"digest"`
	Revision wigeonfork.Revision `json:"revision"`
}

func logKey(r wigeonfork.Revision) string { return fmt.Sprintf("%s%020d", logPrefix, r) }

func templateKey(name template.Name) string { return templatePrefix + string(name) }

func deploymentKey(name template.DeploymentName) string { return deploymentPrefix + string(name) }

func decode[T any](key string, data []byte) (T, error) {
	var value T
	err := json.Unmarshal(data, &value)
	return value, errors.Wrapf(err, "decode %s", key)
}
