// Package rollout moves a model's traffic from one version to another by a deadline, or
// reverts to the old version.
//
// Collector turns what one process observes into small reports of evidence. Judge merges the
// evidence of many processes and compares the new version with the old one. TrafficSplitter
// chooses a version for each request and never sends to a stopped one. Move is the life cycle of
// one move. It plans the loads of weights, raises the share, and watches the new version for some
// time before it unloads the old one. It reverts if the new version is stopped. All of them are
// deterministic: time and events are arguments.
package rollout

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Route labels requests that are served alike, such as those of one adapter, workspace and
// class.
type Route string

// LoadLevel is a coarse measure of how busy a backend server is.
type LoadLevel uint8

// The load levels.
const (
	LoadLow LoadLevel = iota
	LoadMedium
	LoadHigh
	anyLoad
)

// The load levels start at these fractions of the slots in use.
const (
	minMediumLoad = 0.5
	minHighLoad   = 0.8
)

// LevelOf returns the load level of a backend server with the given numbers of running requests
// and slots.
func LevelOf(running, slots int) LoadLevel {
	load := float64(running) / float64(max(slots, 1))
	switch {
	case load >= minHighLoad:
		return LoadHigh
	case load >= minMediumLoad:
		return LoadMedium
	default:
		return LoadLow
	}
}

// String returns the name of l.
func (l LoadLevel) String() string {
	switch l {
	case LoadLow:
		return "low"
	case LoadMedium:
		return "medium"
	case LoadHigh:
		return "high"
	default:
		return "any"
	}
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes. OutcomeWrongStop is for an answer that ended as complete but wrongly, such as one
// without tokens. OutcomeEngineDeath is for a request that ended because the engine died.
const (
	OutcomeOK Outcome = iota
	OutcomeError
	OutcomeWrongStop
	OutcomeEngineDeath
)

// Stratum identifies a group of requests that are compared with one another.
type Stratum struct {
	Route  Route                      `json:"route"`
	Load   LoadLevel                  `json:"load"`
	Server wigeonfork.BackendServerID `json:"server"`
}

// Start describes a request that was sent to a version.
type Start struct {
	Version wigeonfork.Version
	Stratum Stratum
	Host    wigeonfork.HostID
	Domain  wigeonfork.FailureDomain
}

// Sample describes how a request went. FirstToken is the latency of the first token, InterToken
// the mean time between tokens. They are 0 if there was no first or no second token.
type Sample struct {
	Start
	Outcome    Outcome
	FirstToken time.Duration
	InterToken time.Duration
}
