package membership

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// PauseLimit is the time without a Tick after which an agent considers itself
// paused. It is below UnresponsiveAfter, so that a paused agent never continues
// an incarnation that entries have declared unresponsive.
const PauseLimit = 2 * time.Second

// Identity holds the incarnation and the leaving flag of one agent. It is not
// safe for concurrent use.
type Identity struct {
	server      wigeonfork.BackendServerID
	incarnation Incarnation
	sequence    uint64
	lastTick    time.Time
	leaving     bool
}

// NewIdentity returns the identity of an agent that starts at now. The
// incarnation is derived from now. It is above known, the highest incarnation
// that others have recorded for this backend server, or 0 if there is none.
func NewIdentity(server wigeonfork.BackendServerID, now time.Time, known Incarnation) *Identity {
	return &Identity{
		server:      server,
		incarnation: max(Incarnation(now.UnixNano()), known+1),
		lastTick:    now,
	}
}

// Tick advances the time. It returns true if the agent was paused. The agent
// then has a new incarnation and must abandon the work of the old one. The time
// must come from a clock that advances while the process is paused.
func (i *Identity) Tick(now time.Time) bool {
	paused := now.Sub(i.lastTick) >= PauseLimit
	i.lastTick = now
	if paused {
		i.startIncarnation(now)
	}
	return paused
}

// HandleRefute handles an entry's message that an incarnation has ended. It
// returns true if that was the current incarnation. The agent then has a new
// one and must abandon the work of the old one, as after a pause.
func (i *Identity) HandleRefute(now time.Time, r Refute) bool {
	if r.Incarnation != i.incarnation {
		return false
	}
	i.incarnation = max(i.incarnation, r.Known)
	i.startIncarnation(now)
	return true
}

func (i *Identity) startIncarnation(now time.Time) {
	i.incarnation = max(i.incarnation+1, Incarnation(now.UnixNano()))
	i.sequence = 0
}

// Leave marks all further heartbeats as leaving, also those of later
// incarnations of this process.
func (i *Identity) Leave() { i.leaving = true }

// Incarnation returns the current incarnation.
func (i *Identity) Incarnation() Incarnation { return i.incarnation }

// NextHeartbeat increments the sequence number and returns the heartbeat.
func (i *Identity) NextHeartbeat() Heartbeat {
	i.sequence++
	return Heartbeat{BackendServer: i.server, Incarnation: i.incarnation, Sequence: i.sequence, Leaving: i.leaving}
}
