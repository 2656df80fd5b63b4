// Package moves runs version moves in the entries. It collects evidence about versions and
// stops a bad one at once on strong evidence. In the entry that holds the lease of a
// deployment it also drives the move.
//
// Lock order: EvidenceCollector or Controller, then driver, then configuration.Keeper. No lock is
// held over I/O.
package moves

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/template"
)

// EvidenceCollector collects what one entry observes of the versions of moves under way.
type EvidenceCollector struct {
	source string

	mu    sync.Mutex
	moves map[string]*moveEvidence
}

// moveEvidence is the evidence about one move.
type moveEvidence struct {
	deployment template.DeploymentName
	versions   rollout.VersionPair
	collector  *rollout.Collector
	// localJudge judges by this entry's evidence alone.
	localJudge *rollout.Judge
}

// localFalseStopProbability bounds the probability that one entry stops a good version.
const localFalseStopProbability = rollout.DefaultFalseStopProbability / 100

// NewEvidenceCollector returns an empty EvidenceCollector. The source must be unique to this
// process incarnation.
func NewEvidenceCollector(source string) *EvidenceCollector {
	return &EvidenceCollector{source: source, moves: map[string]*moveEvidence{}}
}

// ID returns the unique id of a move.
func ID(d *template.Deployment) string {
	return string(d.Name) + "/" + string(d.Move.To) + "/" + d.Move.Started.UTC().Format(time.RFC3339Nano)
}

// Track starts collecting for the moves under way in a configuration and drops all others.
func (e *EvidenceCollector) Track(config *template.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := map[string]bool{}
	for i := range config.Deployments {
		d := &config.Deployments[i]
		if d.Move == nil || d.Move.State == template.MoveReverted {
			continue
		}
		id := ID(d)
		present[id] = true
		if e.moves[id] == nil {
			versions := rollout.VersionPair{Old: d.Move.From, New: d.Move.To}
			e.moves[id] = &moveEvidence{
				deployment: d.Name,
				versions:   versions,
				collector:  rollout.NewCollector(e.source, versions),
				localJudge: rollout.NewJudge(rollout.JudgeConfig{FalseStopProbability: localFalseStopProbability}),
			}
		}
	}
	for id := range e.moves {
		if !present[id] {
			delete(e.moves, id)
		}
	}
}

// Started records a request that was sent to a version of a deployment.
func (e *EvidenceCollector) Started(now time.Time, deployment template.DeploymentName, start rollout.Start) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.moves {
		if m.matches(deployment, start) {
			m.collector.Started(now, start)
		}
	}
}

// Observed records the outcome and the latencies of a request.
func (e *EvidenceCollector) Observed(now time.Time, deployment template.DeploymentName, sample rollout.Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.moves {
		if m.matches(deployment, sample.Start) {
			m.collector.Observed(now, sample)
		}
	}
}

// EngineRestarted records that the engine of a backend server restarted, so that its prefix
// cache is empty.
func (e *EvidenceCollector) EngineRestarted(server wigeonfork.BackendServerID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.moves {
		m.collector.EngineRestarted(server)
	}
}

func (m *moveEvidence) matches(deployment template.DeploymentName, start rollout.Start) bool {
	return m.deployment == deployment && (start.Version == m.versions.Old || start.Version == m.versions.New)
}

// Report is the evidence about one move since the last flush.
type Report struct {
	Deployment template.DeploymentName `json:"deployment"`
	Move       string                  `json:"move"`
	Evidence   rollout.Evidence        `json:"evidence"`
}

// LocalStop says that a version must be stopped on this entry's evidence alone.
type LocalStop struct {
	Deployment template.DeploymentName
	Versions   rollout.VersionPair
	Reason     string
}

// Flush returns the evidence found since the last call and the versions to stop at once.
func (e *EvidenceCollector) Flush(now time.Time) ([]Report, []LocalStop) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var reports []Report
	var stops []LocalStop
	for id, m := range e.moves {
		evidence := m.collector.Flush(now)
		if evidence.Empty() {
			continue
		}
		reports = append(reports, Report{Deployment: m.deployment, Move: id, Evidence: evidence})
		m.localJudge.Merge(now, evidence)
		if verdict := m.localJudge.Verdict(); verdict.Stop {
			// All later reports carry the stop, in case this one is lost.
			m.collector.MarkStopped()
			stops = append(stops, LocalStop{Deployment: m.deployment, Versions: m.versions, Reason: stopReason(verdict)})
		}
	}
	return reports, stops
}

func stopReason(verdict rollout.Verdict) string {
	if len(verdict.Reasons) == 0 {
		return "evidence against the version"
	}
	return verdict.Reasons[0].String()
}
