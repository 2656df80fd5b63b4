package gateway

import (
	"fmt"
	"strings"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// versionsLocked returns what is known of the versions of a service. The lock must be held.
func (v *versionMoves) versionsLocked(service wigeonfork.Model) *rollout.ServiceVersions {
	versions := v.versions[service]
	if versions == nil {
		versions = &rollout.ServiceVersions{}
		v.versions[service] = versions
	}
	return versions
}

// trustedLocked returns the version for the requests that the move of an order doesn't send to its new version, or an
// empty one if none is known. The lock must be held.
func (v *versionMoves) trustedLocked(order rollout.MoveOrder, known []rollout.VersionServers) wigeonfork.Version {
	versions := v.versionsLocked(order.Service)
	trial := order.To
	if versions.InService().Version == trial {
		trial = ""
	}
	return versions.Trusted(known, trial)
}

// learnLocked records the version in service that the store or a peer names. The lock must be held.
func (v *versionMoves) learnLocked(service wigeonfork.Model, fact rollout.InService, source string) {
	before := v.versionsLocked(service).InService()
	if !v.versionsLocked(service).Learn(fact) {
		return
	}
	v.g.options.Log.Info().Str("service", string(service)).Str("version", fact.String()).Str("before", before.String()).
		Str("source", source).Msg("version_in_service")
}

// recordEndLocked records how the move of an order ended, if it did. The lock must be held.
func (v *versionMoves) recordEndLocked(order rollout.MoveOrder, stage rollout.Stage, source string) {
	switch stage {
	case rollout.StageCompleted:
		v.learnLocked(order.Service, rollout.InService{Version: order.To, Since: order.Position}, source)
	case rollout.StageStopped:
		v.versionsLocked(order.Service).Stop(order.To, order.Position)
	}
}

// followVersionsLocked corrects the trusted version of a move by what is known now, and completes a move to the version
// in service. It returns whether the move is completed by that. The lock must be held.
func (v *versionMoves) followVersionsLocked(move *rollout.ServiceMove, known []rollout.VersionServers) bool {
	if v.isInServiceLocked(move) && move.Advance(rollout.StageCompleted, "in service") {
		return true
	}
	trusted := v.trustedLocked(move.Order, known)
	if trusted == "" {
		return false
	}
	former, changed := move.SetTrusted(trusted)
	if !changed {
		return false
	}
	telemetry.Counter(v.g.options.Metrics, "moves.trusted_version_changed").Inc(1)
	inService := v.versionsLocked(move.Order.Service).InService().String()
	v.g.options.Log.Info().Str("service", string(move.Order.Service)).Str("former", string(former)).Str("trusted", string(trusted)).
		Str("in_service", inService).Str("servers", describeServers(known)).Msg("move_trusted_version")
	return false
}

// isInServiceLocked reports whether the move of an order needs no trial, as its version was put in service by the move
// itself or by an earlier one. The lock must be held.
func (v *versionMoves) isInServiceLocked(move *rollout.ServiceMove) bool {
	inService := v.versionsLocked(move.Order.Service).InService()
	stage, _ := move.Stage()
	return inService.Version == move.Order.To && (stage == rollout.StageTrial || inService.Since == move.Order.Position)
}

// usableOf returns the number of usable servers of a version.
func usableOf(known []rollout.VersionServers, version wigeonfork.Version) int {
	for _, servers := range known {
		if servers.Version == version {
			return servers.Usable
		}
	}
	return 0
}

// describeServers describes the servers of a service by version, each with the number of known and of usable ones, for
// example "v1:3/0 v2:3/3".
func describeServers(known []rollout.VersionServers) string {
	descriptions := make([]string, 0, len(known))
	for _, servers := range known {
		descriptions = append(descriptions, fmt.Sprintf("%s:%d/%d", servers.Version, servers.Known, servers.Usable))
	}
	return strings.Join(descriptions, " ")
}
