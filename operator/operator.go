// Package operator is what operators ask of an entry over its control
// connection: changes of the configuration and questions about it.
package operator

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/template"
)

// The methods of operators.
const (
	MethodChange  = "operator.change"
	MethodConfig  = "operator.config"
	MethodHistory = "operator.history"
	MethodDiff    = "operator.diff"
	MethodInForce = "operator.in_force"
	MethodMove    = "operator.move_status"
)

// ChangeRequest asks for a change. Base is the revision that the operator
// looked at, or 0. The same OperationID may be sent again, with Resent set,
// until the outcome is known.
type ChangeRequest struct {
	OperationID string              `json:"operation_id"`
	Resent      bool                `json:"resent,omitempty"`
	Base        wigeonfork.Revision `json:"base,omitempty"`
	Change      template.Change     `json:"change"`
}

// HistoryRequest asks for up to Limit changes not newer than Before; 0 stands
// for the newest.
type HistoryRequest struct {
	Before wigeonfork.Revision `json:"before,omitempty"`
	Limit  int                 `json:"limit"`
}

// DiffRequest asks what differs between two revisions.
type DiffRequest struct {
	From wigeonfork.Revision `json:"from"`
	To   wigeonfork.Revision `json:"to"`
}

// InForceRequest asks on which hosts a revision is in force.
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
	Now        time.Time               `json:"now"`
	// Progress is set by the entry that drives the move.
	Progress *rollout.Status `json:"progress,omitempty"`
}
