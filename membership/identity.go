package membership

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// PauseLimit is the time without a Tick after which an agent takes itself to
// have been paused. It lies below SilentAfter, so that an agent that entries
// have given up never goes on as if nothing had happened.
const PauseLimit = 2 * time.Second

// Identity is the core of one agent: who it is in this life, and whether it
// leaves. It is not safe for concurrent use.
type Identity struct {
	server      wigeonfork.BackendServerID
	incarnation Incarnation
	sequence    uint64
	lastTick    time.Time
	leaving     bool
}

// NewIdentity returns the identity of an agent that starts at now. The
// incarnation comes from the clock; known is the highest one that others
// remember of this backend server, 0 if none.
func NewIdentity(server wigeonfork.BackendServerID, now time.Time, known Incarnation) *Identity {
	return &Identity{
		server:      server,
		incarnation: max(Incarnation(now.UnixNano()), known+1),
		lastTick:    now,
	}
}

// Tick tells the time. It returns true if the agent was paused: it has a new
// incarnation and must give up what it did for the old one. The time must
// come from a clock that goes on during a pause of the process.
func (i *Identity) Tick(now time.Time) bool {
	paused := now.Sub(i.lastTick) >= PauseLimit
	i.lastTick = now
	if paused {
		i.startIncarnation(now)
	}
	return paused
}

// HandleRefute tells that an entry has given up an incarnation. It returns true if
// that is the present one, which is then over: the agent must give up what it
// did for it, as after a pause.
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

// Leave makes the agent say that it leaves. It holds for all later
// incarnations of this process.
func (i *Identity) Leave() { i.leaving = true }

// Incarnation returns the present incarnation.
func (i *Identity) Incarnation() Incarnation { return i.incarnation }

// NextHeartbeat returns the next heartbeat.
func (i *Identity) NextHeartbeat() Heartbeat {
	i.sequence++
	return Heartbeat{BackendServer: i.server, Incarnation: i.incarnation, Sequence: i.sequence, Leaving: i.leaving}
}
