package rollout

import (
	"fmt"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Status is the state of a move as reported to an operator.
type Status struct {
	Move     string                   `json:"move"`
	From     wigeonfork.Version       `json:"from"`
	To       wigeonfork.Version       `json:"to"`
	State    State                    `json:"state"`
	Share    PerMille                 `json:"share"`
	Deadline time.Time                `json:"deadline"`
	Fencing  wigeonfork.FencingNumber `json:"fencing"`
	// Recorded says whether the state is stored in the table.
	Recorded bool `json:"recorded"`
	// Reason says why the version is reverted.
	Reason string `json:"why,omitempty"`
	// WaitingFor says what the next step waits for. It is empty if no step is left.
	WaitingFor string `json:"waiting,omitempty"`
	// Loaded is how many of the Up backend servers have the new version ready.
	Loaded int `json:"loaded"`
	Up     int `json:"up"`
	// Suspicion is the strongest evidence as a fraction of its stop threshold.
	Suspicion float64 `json:"suspicion"`
	// Evidence lists the evidence against the new version, strongest first.
	Evidence []string `json:"evidence,omitempty"`
}

// Status returns the current status of the move.
func (m *Move) Status(now time.Time) Status {
	loaded, up := m.fleet.readyCount()
	s := Status{
		Move: m.plan.ID, From: m.plan.From, To: m.plan.To, State: m.state(), Share: m.record.Share,
		Deadline: m.plan.Deadline, Fencing: m.fencing, Recorded: m.pending == nil, Reason: m.reason,
		WaitingFor: m.waitingFor(now), Loaded: loaded, Up: up, Suspicion: m.verdict.Suspicion,
	}
	if m.stopped() {
		s.Share = 0
	}
	if s.Reason == "" {
		s.Reason = m.record.Reason
	}
	for _, reason := range m.verdict.Reasons {
		s.Evidence = append(s.Evidence, reason.String())
	}
	return s
}

// State returns the current state of the move.
func (m *Move) State() State { return m.state() }

// Deposed reports whether the lease is lost or another holder has taken over the move. A deposed
// Move takes no further steps.
func (m *Move) Deposed() bool { return m.deposed }

// Closed reports whether no orders are left to send and the final record is stored.
func (m *Move) Closed() bool { return m.record.Closed && m.pending == nil }

// waitingFor says what the next step waits for.
func (m *Move) waitingFor(now time.Time) string {
	if m.pending != nil {
		return "the table, to record " + string(m.pending.State)
	}
	switch m.state() {
	case StatePlanned:
		return fmt.Sprintf("%d backend servers to load the version", m.plan.serversFor(m.plan.CanaryShare))
	case StateCanary, StateRamp:
		return m.waitingToRaise(now)
	case StateDone:
		if m.record.Closed {
			return ""
		}
		return "the end of the watch and the old version's unloads"
	case StateReverting:
		return "the new version's unloads"
	default:
		return ""
	}
}

func (m *Move) waitingToRaise(now time.Time) string {
	stage, due, found := m.nextStage()
	switch {
	case !found:
		return ""
	case now.Before(due):
		return "the stage at " + due.UTC().Format(time.RFC3339)
	case m.onHold(now, due):
		return "more evidence, because what there is speaks against the version"
	case m.verdict.NewStarts < m.plan.MinStarts:
		return fmt.Sprintf("requests on the new version: %d of %d", m.verdict.NewStarts, m.plan.MinStarts)
	case !m.fleet.readyFor(m.plan, stage.share):
		return fmt.Sprintf("%d backend servers to load the version", m.plan.serversFor(stage.share))
	default:
		return "the least time at a share"
	}
}
