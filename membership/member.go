package membership

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Incarnation numbers the lives of an agent. It grows with each start and
// each time that the agent was paused or given up.
type Incarnation uint64

// Heartbeat is what an agent says of itself. Sequence grows with every
// heartbeat of an incarnation.
type Heartbeat struct {
	BackendServer wigeonfork.BackendServerID `json:"backend_server" cbor:"1,keyasint"`
	Incarnation   Incarnation                `json:"incarnation" cbor:"2,keyasint"`
	Sequence      uint64                     `json:"sequence" cbor:"3,keyasint"`
	Leaving       bool                       `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
}

// State is what a Tracker believes of a member.
type State uint8

// The states. Only StateLive and StateSuspect get new work.
const (
	// StateUnknown is a member that was not heard yet.
	StateUnknown State = iota
	// StateLive is a member that was heard lately.
	StateLive
	// StateSuspect is a member that has been silent for SuspectAfter.
	StateSuspect
	// StateUnresponsive is a member that has been silent for SilentAfter. It needs
	// a new incarnation to come back.
	StateUnresponsive
	// StateLeaving is a member that leaves, by its own word or the list.
	StateLeaving
	// StateDamped is a member that came back too often to be trusted yet.
	StateDamped
)

var stateNames = [...]string{"unknown", "live", "suspect", "silent", "leaving", "damped"}

// String returns the name of s.
func (s State) String() string { return stateNames[s] }

// member is one backend server as an entry sees it.
type member struct {
	id               wigeonfork.BackendServerID
	domain           wigeonfork.FailureDomain
	listed           bool
	listedLeaving    bool
	leaving          bool
	incarnation      Incarnation
	endedIncarnation Incarnation
	sequence         uint64
	startedAt        time.Time
	lastActivity     time.Time
	unansweredSince  time.Time
	failed           bool
	failedAt         time.Time
	penalty          float64
	penaltyAt        time.Time
	dampedUntil      time.Time
	inSubset         bool
	lastStatus       subsetStatus
	streams          int
	warm             bool
	pollRequested    bool
	lastPoll         time.Time
}

// subsetStatus is what of a member the choice of the subset depends on.
type subsetStatus struct {
	leaving bool
	failed  bool
}

func (m *member) subsetStatus(now time.Time) subsetStatus {
	failedFor := now.Sub(m.failedAt)
	return subsetStatus{
		leaving: m.isLeaving(),
		failed:  m.failed && failedFor >= replaceAfter && (m.inSubset || failedFor < reconsiderAfter),
	}
}

func (m *member) isLeaving() bool { return m.leaving || m.listedLeaving }

// state returns the state of m. It changes nothing.
func (m *member) state(now time.Time) State {
	inactive := now.Sub(m.lastActivity)
	switch {
	case m.isLeaving():
		return StateLeaving
	case m.failed:
		return StateUnresponsive
	case m.lastActivity.IsZero():
		return StateUnknown
	case inactive >= UnresponsiveAfter && !m.unansweredSince.IsZero():
		return StateUnresponsive
	case inactive >= UnresponsiveAfter:
		return StateUnknown
	case now.Before(m.dampedUntil):
		return StateDamped
	case inactive >= SuspectAfter:
		return StateSuspect
	default:
		return StateLive
	}
}

// recordActivity notes a sign of life.
func (m *member) recordActivity(now time.Time) {
	m.lastActivity = now
	m.unansweredSince = time.Time{}
}

// recordPoll notes a poll, from the first of which on an answer is due.
func (m *member) recordPoll(now time.Time) {
	m.lastPoll = now
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
}

// pollTimedOut tells whether polls have gone unanswered for too long.
func (m *member) pollTimedOut(now time.Time) bool {
	return !m.failed && !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= pollTimeout
}

// markFailed gives m up. Its incarnation is over.
func (m *member) markFailed(now time.Time) {
	m.failed = true
	m.failedAt = now
	m.endedIncarnation = m.incarnation
	m.warm = false
	m.penalize(now)
}

func (m *member) penalize(now time.Time) {
	m.penalty = m.decayedPenalty(now) + 1
	m.penaltyAt = now
}

func (m *member) decayedPenalty(now time.Time) float64 {
	if m.penaltyAt.IsZero() {
		return 0
	}
	halfLives := now.Sub(m.penaltyAt).Seconds() / penaltyHalfLife.Seconds()
	return m.penalty * math.Exp2(-halfLives)
}

// startIncarnation starts a new incarnation. A member that came back several times in a
// short while has to stay for longer before it is used again.
func (m *member) startIncarnation(now time.Time, incarnation Incarnation) {
	if !m.failed && m.incarnation != 0 {
		m.penalize(now)
	}
	m.incarnation = incarnation
	m.sequence = 0
	m.startedAt = now
	m.leaving = false
	m.listedLeaving = false
	m.failed = false
	m.streams = 0
	if penalty := m.decayedPenalty(now); penalty > toleratedPenalty {
		damping := time.Duration(float64(baseDamping) * math.Exp2(penalty-toleratedPenalty))
		m.dampedUntil = now.Add(min(damping, maxDamping))
	}
}

// enterSubset gives a member that is chosen again the time to answer.
func (m *member) enterSubset(now time.Time) {
	m.unansweredSince = time.Time{}
	if m.failed {
		m.failedAt = now
		m.lastStatus = m.subsetStatus(now)
	}
}
