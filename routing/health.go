package routing

import "time"

// recoveredFactor is how many times the prior inter-token time a suspect
// server may take on a probe and count as recovered.
const recoveredFactor = 2

// ExpectedGap is the inter-token time expected of a server at its present
// load.
func (r *Router) ExpectedGap(now time.Time, id ID) time.Duration {
	s := r.find(id)
	if s == nil {
		return priorGap
	}
	gap := s.longTermGap.read(now, priorGap.Seconds(), r.options.SpeedHalfLife)
	return seconds(gap * s.slowdown(s.outstanding(now, 0)))
}

// MarkUnhealthy records what a Watch found of a stream on a server. The server is
// suspect until a stream on it goes at a normal speed again.
func (r *Router) MarkUnhealthy(now time.Time, id ID, health Health) {
	s := r.find(id)
	if s == nil || health == HealthGood || s.state != StateReady {
		return
	}
	s.state, s.stateSince, s.probedAt = StateSuspect, now, now
	s.suspectedLocally, s.probeStreaming = true, false
	s.gapBeforeSuspicion = s.longTermGap.read(now, priorGap.Seconds(), r.options.SpeedHalfLife)
}

// checkRecovery makes a server that was doubted here ready again when a stream
// that began after the doubt goes at its normal speed.
func (s *server) checkRecovery(gap float64) {
	if s.suspectedLocally && s.probeStreaming && s.state == StateSuspect && gap <= recoveredFactor*s.gapBeforeSuspicion {
		s.state, s.suspectedLocally = StateReady, false
	}
}

// FirstTokenSince tells whether a server has given any stream its first token after
// a time. A stream without a first token that was sent off then is waiting
// behind others; the server is not deaf.
func (r *Router) FirstTokenSince(id ID, sent time.Time) bool {
	s := r.find(id)
	return s != nil && s.lastFirstTokenAt.After(sent)
}

// State returns what is believed of a server's health.
func (r *Router) State(id ID) State {
	if s := r.find(id); s != nil {
		return s.state
	}
	return StateDead
}

// PeerProbed records that another entry has tried a suspect server, so that all
// entries together try it once in a probe interval.
func (r *Router) PeerProbed(now time.Time, id ID) {
	if s := r.find(id); s != nil && s.state == StateSuspect {
		s.probedAt = now
	}
}
