package quarantine

import (
	"slices"
	"time"
)

// Check decides whether a request may run now. Hold means that the outcome of an earlier run is
// awaited. A suspect may run only as a trial.
func (l *Limiter) Check(now time.Time, content ContentHash) Decision {
	h := l.histories[content]
	switch {
	case h == nil:
		return Decision{Action: Run}
	case h.isQuarantined(now):
		return Decision{Action: Refuse, Deaths: h.countedLosses()}
	}
	d := Decision{Action: Run, Deaths: h.countedLosses()}
	if settlesAt, may := l.mayReachLimit(now, h); may {
		d.Action, d.RetryAfter = Hold, max(settlesAt.Sub(now), time.Millisecond)
		return d
	}
	if l.awaitsProbe(now, h) {
		d.Action, d.RetryAfter = Hold, probePoll
		return d
	}
	d.Suspect = l.isSuspect(now, h)
	d.LostServers = l.confirmedLosses(now, h)
	return d
}

// awaitsProbe reports whether it will be known soon whether a server was lost before a run there had begun to answer.
// A silent server was probed before its runs were given up.
func (l *Limiter) awaitsProbe(now time.Time, h *history) bool {
	return slices.ContainsFunc(h.unsettled, func(run *unsettledRun) bool {
		return !run.Begun && !run.silent && l.isUnknown(now, run)
	})
}

// mayReachLimit reports whether the losses without an outcome may be those that reach the limit, and
// when the first of them has an outcome.
func (l *Limiter) mayReachLimit(now time.Time, h *history) (settlesAt time.Time, may bool) {
	possible := slices.Clone(h.losses)
	await := func(at time.Time) {
		if settlesAt.IsZero() || at.Before(settlesAt) {
			settlesAt = at
		}
	}
	for i := range possible {
		if at := possible[i].At.Add(peerSettleTime); possible[i].awaitsPeer(now) {
			possible[i].Counted = true
			await(at)
		}
	}
	for _, run := range h.unsettled {
		if !l.mayCount(h, run) {
			continue
		}
		await(l.settlesAt(run))
		possible = h.withCounted(possible, run)
	}
	if settlesAt.IsZero() {
		return settlesAt, false
	}
	return settlesAt, len(consecutive(possible, (*keptLoss).isCounted)) >= crashLimit
}

// confirmedLosses returns the number of servers that are known to be lost under a request.
func (l *Limiter) confirmedLosses(now time.Time, h *history) int {
	n := 0
	for i := range h.losses {
		if h.losses[i].Confirmed && !h.losses[i].expired(now) {
			n++
		}
	}
	for _, run := range h.unsettled {
		outcome := l.outcome(h, run)
		if (outcome == CrashCounted || outcome == LostWithOthers) && h.indexOf(&run.Crash) < 0 {
			n++
		}
	}
	return n
}

// isSuspect reports whether a request may run only as a trial. A run that was lost after it had begun to
// answer, as long ones often are in an outage, makes it a suspect only if another loss followed.
func (l *Limiter) isSuspect(now time.Time, h *history) bool {
	losses := slices.DeleteFunc(slices.Clone(h.losses), func(k keptLoss) bool { return k.expired(now) })
	for _, run := range h.unsettled {
		if outcome := l.outcome(h, run); outcome == CrashCounted || outcome == LostWithOthers {
			losses = h.withCounted(losses, run)
		}
	}
	if slices.ContainsFunc(losses, func(k keptLoss) bool { return !k.Begun }) {
		return true
	}
	return len(consecutive(losses, anyLoss)) > 1
}

// mayCount reports whether a lost run counts or may still count.
func (l *Limiter) mayCount(h *history, run *unsettledRun) bool {
	if run.returned {
		return false
	}
	outcome := l.outcome(h, run)
	return outcome == CrashCounted || outcome == ServerResponds
}

// outcome returns the outcome of a lost run as far as known. ServerResponds may still change until
// the run settles.
func (l *Limiter) outcome(h *history, run *unsettledRun) Outcome {
	lostAt, lost := l.losses.lostAt(run.Server)
	switch {
	case !lost || run.returned:
		return ServerResponds
	case lostAt.Before(run.Began):
		return LostBefore
	case l.losses.othersLost(lostAt, run.domain, h.lostServers()) >= massLoss:
		return LostWithOthers
	}
	return CrashCounted
}
