package template

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Name is the name of a template.
type Name string

// DeploymentName is the name of a deployment.
type DeploymentName string

// ParameterName is the name of a template's parameter.
type ParameterName string

// PerMille is a share of traffic in parts per thousand.
type PerMille uint16

// FullShare is the sum of the shares of a deployment's versions.
const FullShare PerMille = 1000

// DefaultCanaryShare is the share of a new version until it passes evaluation.
const DefaultCanaryShare PerMille = 50

// Template declares the parameters of its deployments.
type Template struct {
	Name        Name        `json:"name"`
	Description string      `json:"description,omitempty"`
	Parameters  []Parameter `json:"parameters,omitempty"`
}

// Parameter declares one typed parameter. Minimum and Maximum bound a number, a
// duration in seconds or the length of a string in bytes. If Allowed is not
// empty, other values are refused. A Required parameter without a Default must be
// set by the deployment or by each of its workspaces.
type Parameter struct {
	Name        ParameterName `json:"name"`
	Type        Type          `json:"type"`
	Description string        `json:"description,omitempty"`
	Required    bool          `json:"required,omitempty"`
	Default     *Value        `json:"default,omitempty"`
	Minimum     *float64      `json:"minimum,omitempty"`
	Maximum     *float64      `json:"maximum,omitempty"`
	Allowed     []Value       `json:"allowed,omitempty"`
}

// Values maps parameter names to values.
type Values map[ParameterName]Value

// Deployment defines which backend servers serve a model to which workspaces,
// and the traffic share of each version. ChecksFencing states that its backend
// servers refuse orders with an old fencing number.
type Deployment struct {
	Name           DeploymentName               `json:"name"`
	Template       Name                         `json:"template"`
	Model          wigeonfork.Model             `json:"model"`
	Workspaces     []Binding                    `json:"workspaces"`
	Values         Values                       `json:"values,omitempty"`
	BackendServers []wigeonfork.BackendServerID `json:"backend_servers"`
	Versions       []VersionShare               `json:"versions"`
	CanaryShare    PerMille                     `json:"canary_share,omitempty"`
	ChecksFencing  bool                         `json:"checks_fencing"`
	Move           *Move                        `json:"move,omitempty"`
	Stops          []Stop                       `json:"stops,omitempty"`
}

// Binding assigns a workspace to a deployment. Its values override those of the
// deployment.
type Binding struct {
	Workspace wigeonfork.Workspace `json:"workspace"`
	Values    Values               `json:"values,omitempty"`
}

// VersionShare is the traffic share of one version.
type VersionShare struct {
	Version wigeonfork.Version `json:"version"`
	Share   PerMille           `json:"share"`
}

// MoveState is the state of a version move.
type MoveState string

// The states of a move. The new version takes no traffic in MovePlanned,
// MoveReverting and MoveReverted, at most the canary share in MoveCanary, any
// share in MoveRamp and all traffic in MoveDone. MoveDone and MoveReverted are
// final.
const (
	MovePlanned   MoveState = "planned"
	MoveCanary    MoveState = "canary"
	MoveRamp      MoveState = "ramp"
	MoveDone      MoveState = "done"
	MoveReverting MoveState = "reverting"
	MoveReverted  MoveState = "reverted"
)

// Final reports whether a move in state s has ended.
func (s MoveState) Final() bool { return s == MoveDone || s == MoveReverted }

func (s MoveState) valid() bool {
	switch s {
	case MovePlanned, MoveCanary, MoveRamp, MoveDone, MoveReverting, MoveReverted:
		return true
	default:
		return false
	}
}

// Move shifts a deployment's traffic from one version to another by Deadline.
// Changed is when the move, its shares or its stops last changed. Reason explains
// why the move was reverted. Controller is the control address of the entry that
// drives the move. Evidence about the new version is sent to this address.
type Move struct {
	From     wigeonfork.Version `json:"from"`
	To       wigeonfork.Version `json:"to"`
	Deadline time.Time          `json:"deadline"`
	State    MoveState          `json:"state"`
	Started  time.Time          `json:"started,omitzero"`
	Changed  time.Time          `json:"changed,omitzero"`
	Reason   string             `json:"reason,omitempty"`

	Controller string `json:"controller,omitempty"`
	// Weights is the weight store's description of To when the move was accepted.
	// With it, another entry can resume or revert the move without the store.
	Weights infra.WeightInfo `json:"weights,omitzero"`
}

// Stop records that a version of a deployment must never take traffic again. By
// is the host or operator that stopped it, and Evidence the reason. The field
// Deployment is empty in Deployment.Stops.
type Stop struct {
	Deployment DeploymentName     `json:"deployment,omitempty"`
	Version    wigeonfork.Version `json:"version"`
	At         time.Time          `json:"at"`
	By         wigeonfork.HostID  `json:"by,omitempty"`
	Evidence   string             `json:"evidence,omitempty"`
}

// EffectiveCanaryShare returns the share of a new version until it passes evaluation: CanaryShare,
// or DefaultCanaryShare if that is 0.
func (d *Deployment) EffectiveCanaryShare() PerMille {
	if d.CanaryShare == 0 {
		return DefaultCanaryShare
	}
	return d.CanaryShare
}

// Share returns the traffic share of version, or 0 if d does not list it.
func (d *Deployment) Share(version wigeonfork.Version) PerMille {
	for _, v := range d.Versions {
		if v.Version == version {
			return v.Share
		}
	}
	return 0
}

// Stopped reports whether d records a stop of version.
func (d *Deployment) Stopped(version wigeonfork.Version) bool {
	for i := range d.Stops {
		if d.Stops[i].Version == version {
			return true
		}
	}
	return false
}

// Names returns the parameter names in sorted order.
func (v Values) Names() []ParameterName {
	return slices.Sorted(maps.Keys(v))
}

func (t *Template) parameter(name ParameterName) *Parameter {
	for i := range t.Parameters {
		if t.Parameters[i].Name == name {
			return &t.Parameters[i]
		}
	}
	return nil
}
