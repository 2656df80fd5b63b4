package template

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

const stopPrefix = "stop/"

// Key returns the key of the fact that Fact returns.
func (s *Stop) Key() string {
	return stopPrefix + string(s.Deployment) + "/" + string(s.Version)
}

// Fact encodes s as a fact, which is distributed by gossip without the table.
func (s *Stop) Fact() (revision.Fact, error) {
	value, err := json.Marshal(s.Evidence)
	if err != nil {
		return revision.Fact{}, errors.Wrap(err, "encode evidence")
	}
	return revision.Fact{Key: s.Key(), At: s.At, Origin: s.By, Value: value}, nil
}

// ParseStop decodes a fact that Stop.Fact encoded.
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

// RecordsStop reports whether the configuration records s or has deleted its
// deployment. The fact is then no longer needed. It returns false for an unknown
// deployment, since its item may not have arrived yet or may be malformed.
func (a *Assembler) RecordsStop(s Stop) bool {
	d, found := a.deployments[s.Deployment]
	if !found {
		return false
	}
	return d.deleted || d.core != nil && d.core.Stopped(s.Version)
}
