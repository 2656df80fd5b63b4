package intake

import (
	"time"

	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Refusal is why something of a peer was refused before it was a request.
type Refusal string

// refusalConnection means that a connection was closed on which the process waited for the peer, to make room for others.
const refusalConnection Refusal = "connection"

// refusalLogInterval is the least time between two log lines of a listener for one refusal.
const refusalLogInterval = time.Second

// refusals counts the refusals that were not logged.
type refusals struct {
	loggedAt time.Time
	unlogged int64
}

// add counts a refusal. It returns how many were not logged, or 0 while no line is due.
func (r *refusals) add(now time.Time) int64 {
	r.unlogged++
	if now.Sub(r.loggedAt) < refusalLogInterval {
		return 0
	}
	count := r.unlogged
	r.loggedAt, r.unlogged = now, 0
	return count
}

// RefusedHead counts the refusal of a head and logs it.
func (g *Guard) RefusedHead(reason Refusal, address string) {
	telemetry.Counter(g.metrics, "heads.refused_"+string(reason)).Inc(1)
	g.logRefusal(reason, address)
}

// logRefusal logs a refusal unless another for the same reason was logged within refusalLogInterval. The line tells how many there
// were since the last one.
func (g *Guard) logRefusal(reason Refusal, address string) {
	if count := g.countRefusal(reason); count > 0 {
		g.log.Warn().Str("listener", string(g.kind)).Str("reason", string(reason)).Str("address", address).Int64("count", count).Msg("peer_refused")
	}
}

// countRefusal returns how many refusals the line that is due tells of, or 0 if none is.
func (g *Guard) countRefusal(reason Refusal) int64 {
	g.refusalsMu.Lock()
	defer g.refusalsMu.Unlock()
	r := g.refusals[reason]
	if r == nil {
		r = &refusals{}
		g.refusals[reason] = r
	}
	return r.add(time.Now())
}
