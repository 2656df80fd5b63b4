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
	id          wigeonfork.BackendServerID
	domain      wigeonfork.FailureDomain
	listed      bool
	listLeaving bool
	leaving     bool
	incarnation Incarnation
	over        Incarnation
	sequence    uint64
	begun       time.Time
	heard       time.Time
	asked       time.Time
	lost        bool
	lostAt      time.Time
	penalty     float64
	penaltyAt   time.Time
	dampedUntil time.Time
	chosen      bool
	counted     standing
	streams     int
	warm        bool
	wanted      bool
	polled      time.Time
}

// standing is what of a member the choice of the subset depends on.
type standing struct {
	leaving bool
	lost    bool
}

func (m *member) standing(now time.Time) standing {
	away := now.Sub(m.lostAt)
	return standing{
		leaving: m.leaves(),
		lost:    m.lost && away >= replaceAfter && (m.chosen || away < reconsiderAfter),
	}
}

func (m *member) leaves() bool { return m.leaving || m.listLeaving }

// state returns the state of m. It changes nothing.
func (m *member) state(now time.Time) State {
	silence := now.Sub(m.heard)
	switch {
	case m.leaves():
		return StateLeaving
	case m.lost:
		return StateUnresponsive
	case m.heard.IsZero():
		return StateUnknown
	case silence >= UnresponsiveAfter && !m.asked.IsZero():
		return StateUnresponsive
	case silence >= UnresponsiveAfter:
		return StateUnknown
	case now.Before(m.dampedUntil):
		return StateDamped
	case silence >= SuspectAfter:
		return StateSuspect
	default:
		return StateLive
	}
}

// hear notes a sign of life.
func (m *member) hear(now time.Time) {
	m.heard = now
	m.asked = time.Time{}
}

// ask notes a poll, from the first of which on an answer is due.
func (m *member) ask(now time.Time) {
	m.polled = now
	if m.asked.IsZero() {
		m.asked = now
	}
}

// overdue tells whether polls have gone unanswered for too long.
func (m *member) overdue(now time.Time) bool {
	return !m.lost && !m.asked.IsZero() && now.Sub(m.asked) >= giveUpAfter
}

// lose gives m up. Its incarnation is over.
func (m *member) lose(now time.Time) {
	m.lost = true
	m.lostAt = now
	m.over = m.incarnation
	m.warm = false
	m.penalize(now)
}

func (m *member) penalize(now time.Time) {
	m.penalty = m.decayed(now) + 1
	m.penaltyAt = now
}

func (m *member) decayed(now time.Time) float64 {
	if m.penaltyAt.IsZero() {
		return 0
	}
	halves := now.Sub(m.penaltyAt).Seconds() / penaltyHalfLife.Seconds()
	return m.penalty * math.Exp2(-halves)
}

// begin starts a new incarnation. A member that came back several times in a
// short while has to stay for longer before it is used again.
func (m *member) begin(now time.Time, incarnation Incarnation) {
	if !m.lost && m.incarnation != 0 {
		m.penalize(now)
	}
	m.incarnation = incarnation
	m.sequence = 0
	m.begun = now
	m.leaving = false
	m.listLeaving = false
	m.lost = false
	m.streams = 0
	if penalty := m.decayed(now); penalty > toleratedPenalty {
		hold := time.Duration(float64(dampingUnit) * math.Exp2(penalty-toleratedPenalty))
		m.dampedUntil = now.Add(min(hold, maxDamping))
	}
}

// join gives a member that is chosen again the time to answer.
func (m *member) join(now time.Time) {
	m.asked = time.Time{}
	if m.lost {
		m.lostAt = now
		m.counted = m.standing(now)
	}
}
