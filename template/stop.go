package template

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

const stopPrefix = "stop/"

// Key returns the key of the fact that carries s.
func (s *Stop) Key() string {
	return stopPrefix + string(s.Deployment) + "/" + string(s.Version)
}

// Fact returns s as a fact that spreads without the table.
func (s *Stop) Fact() (revision.Fact, error) {
	value, err := json.Marshal(s.Evidence)
	if err != nil {
		return revision.Fact{}, errors.Wrap(err, "encode evidence")
	}
	return revision.Fact{Key: s.Key(), At: s.At, Origin: s.By, Value: value}, nil
}

// ParseStop reads a fact that Stop.Fact returned.
func ParseStop(fact revision.Fact) (Stop, error) {
	rest, found := strings.CutPrefix(fact.Key, stopPrefix)
	deployment, version, hasVersion := strings.Cut(rest, "/")
	if !found || !hasVersion {
		return Stop{}, errors.Newf("fact %q is not a stop", fact.Key)
	}
	s := Stop{
		Deployment: DeploymentName(deployment),
		Version:    wigeonfork.Version(version),
		At:         fact.At,
		By:         fact.Origin,
	}
	if err := json.Unmarshal(fact.Value, &s.Evidence); err != nil {
		return Stop{}, errors.Wrap(err, "decode evidence")
	}
	return s, nil
}

// RecordsStop tells whether the configuration records the stop s, or has deleted
// its deployment, so that the fact may be retired. A deployment that is not
// known may only be not known yet; its stops are kept.
func (a *Assembler) RecordsStop(s Stop) bool {
	d, found := a.deployments[s.Deployment]
	if !found {
		return false
	}
	return d.core == nil || d.core.Stopped(s.Version)
}
