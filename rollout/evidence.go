package rollout

import (
	"github.com/wigeonfork/wigeonfork"
)

// counts holds what was observed of one version in one window.
type counts struct {
	starts          uint32
	errors          uint32
	wrongStops      uint32
	firstTokens     uint32
	slowFirstTokens uint32
	interTokens     uint32
	slowInterTokens uint32
}

func (c *counts) add(o counts) {
	c.starts += o.starts
	c.errors += o.errors
	c.wrongStops += o.wrongStops
	c.firstTokens += o.firstTokens
	c.slowFirstTokens += o.slowFirstTokens
	c.interTokens += o.interTokens
	c.slowInterTokens += o.slowInterTokens
}

// Totals holds the number of compared requests of each version, and how many were bad.
type Totals struct {
	NewBad   uint32 `json:"new_bad,omitempty" cbor:"1,keyasint,omitempty"`
	NewTotal uint32 `json:"new_total,omitempty" cbor:"2,keyasint,omitempty"`
	OldBad   uint32 `json:"old_bad,omitempty" cbor:"3,keyasint,omitempty"`
	OldTotal uint32 `json:"old_total,omitempty" cbor:"4,keyasint,omitempty"`
}

func (t *Totals) add(o Totals) {
	t.NewBad += o.NewBad
	t.NewTotal += o.NewTotal
	t.OldBad += o.OldBad
	t.OldTotal += o.OldTotal
}

// Increment is what one process adds to one test: sums over the comparison windows that it closed
// since its last report. Windows without a bad request add only totals.
type Increment struct {
	Criterion Criterion `json:"criterion"`
	Route     Route     `json:"route"`
	Load      LoadLevel `json:"load"`
	// Pooled says that failure domains were compared instead of single backend servers.
	// Logs then covers the old version only; the new version's bad requests are in
	// ServerIncrements.
	Pooled bool     `json:"pooled,omitempty"`
	Logs   LogRatio `json:"logs"`
	Totals Totals   `json:"totals"`
}

// ServerIncrement is what the new version's bad requests on one backend server add to a
// pooled test.
type ServerIncrement struct {
	Criterion Criterion                  `json:"criterion"`
	Route     Route                      `json:"route"`
	Server    wigeonfork.BackendServerID `json:"server"`
	Logs      LogRatio                   `json:"logs"`
}

// ServerUse says which versions a backend server was sent requests for.
type ServerUse struct {
	Server wigeonfork.BackendServerID `json:"server"`
	Host   wigeonfork.HostID          `json:"host"`
	Domain wigeonfork.FailureDomain   `json:"failure_domain"`
	Old    bool                       `json:"old,omitempty"`
	New    bool                       `json:"new,omitempty"`
}

// EngineDeath says that the engine of a backend server died.
type EngineDeath struct {
	Server wigeonfork.BackendServerID `json:"server"`
	Host   wigeonfork.HostID          `json:"host"`
	Domain wigeonfork.FailureDomain   `json:"failure_domain"`
}

// Evidence is what one process found since its last report. Its size grows with the number
// of bad requests, not of all requests. Sequence increases with each report of a Source,
// which is unique to a process incarnation. An empty report need not be sent.
type Evidence struct {
	Source   string `json:"source"`
	Sequence uint64 `json:"sequence"`
	// NewStarts is the number of requests sent to the new version.
	NewStarts        uint64            `json:"new_starts,omitempty"`
	Increments       []Increment       `json:"increments,omitempty"`
	ServerIncrements []ServerIncrement `json:"charges,omitempty"`
	Uses             []ServerUse       `json:"uses,omitempty"`
	// Deaths are engine deaths that ended requests.
	Deaths []EngineDeath `json:"deaths,omitempty"`
	// Stopped says that the source has stopped sending to the new version on its own
	// evidence. It stays set in all later reports.
	Stopped bool `json:"stopped,omitempty"`
}

// Empty reports whether there is nothing to send.
func (e *Evidence) Empty() bool {
	return !e.Stopped && e.NewStarts == 0 && len(e.Increments)+len(e.ServerIncrements)+len(e.Uses)+len(e.Deaths) == 0
}

// Criterion is a kind of bad request, or engine death, by which two versions are compared.
type Criterion uint8

// The criteria. All but CriterionEngineDeaths are compared within windows.
const (
	CriterionErrors Criterion = iota
	CriterionWrongStops
	CriterionFirstToken
	CriterionInterToken
	CriterionEngineDeaths
	numMatchedCriteria = int(CriterionEngineDeaths)
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

// badAndTotal returns how many requests were bad by the criterion, and of how many.
func (c Criterion) badAndTotal(n counts) (bad, total uint32) {
	switch c {
	case CriterionErrors:
		return n.errors, n.starts
	case CriterionWrongStops:
		return n.wrongStops, n.starts
	case CriterionFirstToken:
		return n.slowFirstTokens, n.firstTokens
	default:
		return n.slowInterTokens, n.interTokens
	}
}

// totals returns the bad and all requests of both versions by the criterion.
func (c Criterion) totals(newCounts, oldCounts counts) Totals {
	var t Totals
	t.NewBad, t.NewTotal = c.badAndTotal(newCounts)
	t.OldBad, t.OldTotal = c.badAndTotal(oldCounts)
	return t
}

// toleratedOdds returns the odds ratio up to which a new version counts as good.
func (c Criterion) toleratedOdds() float64 {
	if c == CriterionFirstToken || c == CriterionInterToken {
		return toleratedLatencyOdds
	}
	return toleratedErrorOdds
}
