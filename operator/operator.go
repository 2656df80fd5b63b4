// Package operator serves the requests of operators over the control connection of an entry:
// changes of the configuration and queries of it.
package operator

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/template"
)

// The methods for operators.
const (
	MethodChange  = "operator.change"
	MethodConfig  = "operator.config"
	MethodHistory = "operator.history"
	MethodDiff    = "operator.diff"
	MethodInForce = "operator.in_force"
	MethodMove    = "operator.move_status"
)

// ChangeRequest asks for a change. Base is the revision on which the operator based the change, or
// 0. Until the outcome is known, the request may be sent again with the same OperationID and with
// Resent set.
type ChangeRequest struct {
	OperationID string              `json:"operation_id"`
	Resent      bool                `json:"resent,omitempty"`
	Base        wigeonfork.Revision `json:"base,omitempty"`
	Change      template.Change     `json:"change"`
}

// HistoryRequest asks for up to Limit changes not newer than Before. If Before is 0, it starts at
// the newest.
type HistoryRequest struct {
	Before wigeonfork.Revision `json:"before,omitempty"`
	Limit  int                 `json:"limit"`
}

// DiffRequest asks for the differences between two revisions.
type DiffRequest struct {
	From wigeonfork.Revision `json:"from"`
	To   wigeonfork.Revision `json:"to"`
}

// InForceRequest asks which hosts have activated a revision.
type InForceRequest struct {
	Revision wigeonfork.Revision `json:"revision"`
}

// MoveRequest asks for the state of a deployment's move.
type MoveRequest struct {
	Deployment template.DeploymentName `json:"deployment"`
}

// MoveStatus is the state of a move.
type MoveStatus struct {
	Deployment template.DeploymentName `json:"deployment"`
	Move       *template.Move          `json:"move,omitempty"`
	Versions   []template.VersionShare `json:"versions"`
	Stops      []template.Stop         `json:"stops,omitempty"`
	// Now is the time of the response by the entry's clock.
	Now time.Time `json:"now"`
	// Progress is set by the entry that drives the move.
	Progress *rollout.Status `json:"progress,omitempty"`
}
