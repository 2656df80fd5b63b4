package template

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Name names a template.
type Name string

// DeploymentName names a deployment.
type DeploymentName string

// ParameterName names a parameter of a template.
type ParameterName string

// PerMille is a share of traffic in thousandths.
type PerMille uint16

// FullShare is the sum of the shares of a deployment's versions.
const FullShare PerMille = 1000

// DefaultCanaryShare is the share of a new version until it has been judged.
const DefaultCanaryShare PerMille = 50

// Template declares the parameters that its deployments set.
type Template struct {
	Name        Name        `json:"name"`
	Description string      `json:"description,omitempty"`
	Parameters  []Parameter `json:"parameters,omitempty"`
}

// Parameter declares one typed parameter. Minimum and Maximum bound a number,
// the seconds of a duration or the length of a string in bytes. Allowed, if
// not empty, lists the only values.
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

// Values holds the values of parameters by name.
type Values map[ParameterName]Value

// Deployment says which backend servers serve which workspaces with a model,
// and which of its versions take traffic.
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

// Binding gives a workspace to a deployment. Its values go before those of
// the deployment.
type Binding struct {
	Workspace wigeonfork.Workspace `json:"workspace"`
	Values    Values               `json:"values,omitempty"`
}

// VersionShare is the share of traffic that a version takes.
type VersionShare struct {
	Version wigeonfork.Version `json:"version"`
	Share   PerMille           `json:"share"`
}

// MoveState is the state of a version move.
type MoveState string

// The states of a move. MoveDone and MoveReverted are final.
const (
	MovePlanned   MoveState = "planned"
	MoveCanary    MoveState = "canary"
	MoveRamp      MoveState = "ramp"
	MoveDone      MoveState = "done"
	MoveReverting MoveState = "reverting"
	MoveReverted  MoveState = "reverted"
)

// Final tells whether a move in state s has ended.
func (s MoveState) Final() bool { return s == MoveDone || s == MoveReverted }

func (s MoveState) valid() bool {
	switch s {
	case MovePlanned, MoveCanary, MoveRamp, MoveDone, MoveReverting, MoveReverted:
		return true
	default:
		return false
	}
}

// Move takes a deployment's traffic from one version to another by Deadline.
// Reason explains why it was reverted. Controller is the control address of
// the entry that drives the move, to which evidence is sent.
type Move struct {
	From     wigeonfork.Version `json:"from"`
	To       wigeonfork.Version `json:"to"`
	Deadline time.Time          `json:"deadline"`
	State    MoveState          `json:"state"`
	Started  time.Time          `json:"started,omitzero"`
	Changed  time.Time          `json:"changed,omitzero"`
	Reason   string             `json:"reason,omitempty"`

	Controller string `json:"controller,omitempty"`
	// Weights is what the weight store said of To when the move was accepted,
	// so that the move can be taken up and taken back without the store.
	Weights infra.WeightInfo `json:"weights,omitzero"`
}

// Stop records that a version of a deployment must take no traffic again.
// Deployment is empty inside a Deployment.
type Stop struct {
	Deployment DeploymentName     `json:"deployment,omitempty"`
	Version    wigeonfork.Version `json:"version"`
	At         time.Time          `json:"at"`
	By         wigeonfork.HostID  `json:"by,omitempty"`
	Evidence   string             `json:"evidence,omitempty"`
}

// EffectiveCanaryShare returns the share of a new version until it has been judged.
func (d *Deployment) EffectiveCanaryShare() PerMille {
	if d.CanaryShare == 0 {
		return DefaultCanaryShare
	}
	return d.CanaryShare
}

// Share returns the share that version takes of the traffic of d.
func (d *Deployment) Share(version wigeonfork.Version) PerMille {
	for _, v := range d.Versions {
		if v.Version == version {
			return v.Share
		}
	}
	return 0
}

// Stopped tells whether d records a stop of version.
func (d *Deployment) Stopped(version wigeonfork.Version) bool {
	for i := range d.Stops {
		if d.Stops[i].Version == version {
			return true
		}
	}
	return false
}

// Names returns the names of v in order.
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
