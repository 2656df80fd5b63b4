package membership

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Incarnation numbers the incarnations of an agent. It increases with each
// start, after each pause, and when an entry has declared the last one ended.
type Incarnation uint64

// Heartbeat is the report of an agent about itself. Sequence increases with
// each heartbeat of an incarnation.
type Heartbeat struct {
	BackendServer wigeonfork.BackendServerID `json:"backend_server" cbor:"1,keyasint"`
	Incarnation   Incarnation                `json:"incarnation" cbor:"2,keyasint"`
	Sequence      uint64                     `json:"sequence" cbor:"3,keyasint"`
	Leaving       bool                       `json:"leaving,omitempty" cbor:"4,keyasint,omitempty"`
}

// State is the observed state of a member.
type State uint8

// The states. Only members in StateLive and StateSuspect get new work.
const (
	// StateUnknown: no activity yet, or none for UnresponsiveAfter while no poll
	// is unanswered.
	StateUnknown State = iota
	// StateLive: active within SuspectAfter.
	StateLive
	// StateSuspect: no activity for SuspectAfter.
	StateSuspect
	// StateUnresponsive: a poll is unanswered, and there was no activity for
	// UnresponsiveAfter or the poll timed out. After a poll timeout only a new
	// incarnation is accepted.
	StateUnresponsive
	// StateLeaving: leaving according to its heartbeat or the host list.
	StateLeaving
	// StateDamped: excluded for a while because it restarted too often.
	StateDamped
)

var stateNames = [...]string{"unknown", "live", "suspect", "silent", "leaving", "damped"}

// String returns the name of s.
func (s State) String() string { return stateNames[s] }

// member is an entry's view of one backend server.
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

// subsetStatus holds the properties of a member that the subset selection
// depends on.
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

// state returns the state of m without changing m.
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

// recordActivity records a heartbeat or frame, which also answers a poll.
func (m *member) recordActivity(now time.Time) {
	m.lastActivity = now
	m.unansweredSince = time.Time{}
}

// recordPoll records a poll. The timeout runs from the first unanswered one.
func (m *member) recordPoll(now time.Time) {
	m.lastPoll = now
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
}

// pollTimedOut reports whether polls have been unanswered for pollTimeout.
func (m *member) pollTimedOut(now time.Time) bool {
	return !m.failed && !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= pollTimeout
}

// markFailed marks m as failed and ends its incarnation.
func (m *member) markFailed(now time.Time) {
	m.failed = true
	m.failedAt = now
	m.endedIncarnation = m.incarnation
	m.warm = false
	m.penalize(now)
}

// penalize adds 1 to the decayed penalty.
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

// startIncarnation resets m for a new incarnation. A member that restarted
// several times in a short time is damped. The damping time grows exponentially
// with the penalty, up to maxDamping.
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

// enterSubset restarts the timeouts of a member that enters the subset, so that
// it has time to answer.
func (m *member) enterSubset(now time.Time) {
	m.unansweredSince = time.Time{}
	if m.failed {
		m.failedAt = now
		m.lastStatus = m.subsetStatus(now)
	}
}
