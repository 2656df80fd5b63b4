package routing

import "time"

// recoveredFactor bounds the inter-token time at which a suspect server counts
// as recovered, as a multiple of its inter-token time before the suspicion.
const recoveredFactor = 2

// ExpectedGap returns the gap, that is the inter-token time, expected of a
// server at its current load.
func (r *Router) ExpectedGap(now time.Time, id ID) time.Duration {
	s := r.find(id)
	if s == nil {
		return priorGap
	}
	gap := s.longTermGap.read(now, priorGap.Seconds(), r.options.SpeedHalfLife)
	return seconds(gap * s.slowdown(s.outstanding(now, 0)))
}

// MarkUnhealthy marks a ready server suspect after a Watch found a stream on it
// slow or stalled. The server becomes ready again once a stream that was sent
// after the suspicion has its first token and a stream runs at normal speed.
func (r *Router) MarkUnhealthy(now time.Time, id ID, health Health) {
	s := r.find(id)
	if s == nil || health == HealthGood || s.state != StateReady {
		return
	}
	s.state, s.stateSince, s.probedAt = StateSuspect, now, now
	s.suspectedLocally, s.probeStreaming = true, false
	s.gapBeforeSuspicion = s.longTermGap.read(now, priorGap.Seconds(), r.options.SpeedHalfLife)
}

// checkRecovery makes a server that MarkUnhealthy suspected ready again if gap is
// normal and a stream that was sent after the suspicion got its first token.
func (s *server) checkRecovery(gap float64) {
	if s.suspectedLocally && s.probeStreaming && s.state == StateSuspect && gap <= recoveredFactor*s.gapBeforeSuspicion {
		s.state, s.suspectedLocally = StateReady, false
	}
}

// FirstTokenSince reports whether any stream on a server got its first token
// after sent. If so, the server is responsive, and a stream that was sent at that
// time and has no token yet is queued behind others.
func (r *Router) FirstTokenSince(id ID, sent time.Time) bool {
	s := r.find(id)
	return s != nil && s.lastFirstTokenAt.After(sent)
}

// State returns the observed state of a server, and StateDead if it is unknown.
func (r *Router) State(id ID) State {
	if s := r.find(id); s != nil {
		return s.state
	}
	return StateDead
}

// PeerProbed records that another entry has probed a suspect server, so that
// all entries together probe it once per probe interval.
func (r *Router) PeerProbed(now time.Time, id ID) {
	if s := r.find(id); s != nil && s.state == StateSuspect {
		s.probedAt = now
	}
}
