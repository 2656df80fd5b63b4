package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// Counts are what was seen of one version in one stratum.
type Counts struct {
	Starts      uint32 `json:"starts,omitempty"`
	Errors      uint32 `json:"errors,omitempty"`
	WrongStops  uint32 `json:"wrong_stops,omitempty"`
	FirstTokens uint32 `json:"first_tokens,omitempty"`
	SlowFirst   uint32 `json:"slow_first,omitempty"`
	InterTokens uint32 `json:"inter_tokens,omitempty"`
	SlowInter   uint32 `json:"slow_inter,omitempty"`
}

func (c *Counts) add(o Counts) {
	c.Starts += o.Starts
	c.Errors += o.Errors
	c.WrongStops += o.WrongStops
	c.FirstTokens += o.FirstTokens
	c.SlowFirst += o.SlowFirst
	c.InterTokens += o.InterTokens
	c.SlowInter += o.SlowInter
}

// Cell holds the counts of both versions in one stratum.
type Cell struct {
	Stratum Stratum                  `json:"stratum"`
	Host    wigeonfork.HostID        `json:"host"`
	Domain  wigeonfork.FailureDomain `json:"failure_domain"`
	Old     Counts                   `json:"old"`
	New     Counts                   `json:"new"`
}

// Death says that the engine on a host died.
type Death struct {
	Server wigeonfork.BackendServerID `json:"server"`
	Host   wigeonfork.HostID          `json:"host"`
	Domain wigeonfork.FailureDomain   `json:"failure_domain"`
}

// Evidence is what one process saw since its last report. Sequence grows by
// one with each report of a Source, which is unique to a process start.
type Evidence struct {
	Source   string `json:"source"`
	Sequence uint64 `json:"sequence"`
	Cells    []Cell `json:"cells,omitempty"`
	// Deaths are engine deaths that ended requests.
	Deaths []Death `json:"deaths,omitempty"`
	// Stopped says that the source has stopped sending to the new version.
	Stopped bool `json:"stopped,omitempty"`
}

// Criterion is what two versions are compared by.
type Criterion uint8

// The criteria.
const (
	CriterionErrors Criterion = iota
	CriterionWrongStops
	CriterionFirstToken
	CriterionInterToken
	CriterionDeaths
	numMatched = int(CriterionDeaths)
)

// String returns the name of c.
func (c Criterion) String() string {
	switch c {
	case CriterionErrors:
		return "errors"
	case CriterionWrongStops:
		return "wrong stops"
	case CriterionFirstToken:
		return "slow first tokens"
	case CriterionInterToken:
		return "slow tokens"
	default:
		return "engine deaths"
	}
}

// of returns how many of how many were bad by the criterion.
func (c Criterion) of(n Counts) (bad, total uint32) {
	switch c {
	case CriterionErrors:
		return n.Errors, n.Starts
	case CriterionWrongStops:
		return n.WrongStops, n.Starts
	case CriterionFirstToken:
		return n.SlowFirst, n.FirstTokens
	default:
		return n.SlowInter, n.InterTokens
	}
}
