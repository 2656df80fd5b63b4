package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// unsettledRun is a lost run without an outcome.
type unsettledRun struct {
	Crash
	domain wigeonfork.FailureDomain
	// silent is set if only the server's silence ended the run.
	silent bool
	// returned is set if the server proved to be the same start afterwards.
	returned bool
	// responds is set if the server took a connection after the run was lost.
	responds bool
	// taken is set once TakeLosses has returned the run.
	taken bool
}

// settlesAt returns when a run's outcome is known. Only a server that is lost may return.
func (l *Limiter) settlesAt(r *unsettledRun) time.Time {
	_, lost := l.losses.lostAt(r.Server)
	switch {
	case r.returned:
		return r.At
	case r.silent && lost:
		return r.At.Add(silentSettleTime)
	}
	return r.At.Add(crashSettleTime)
}

// ServerReturned records that a server that was lost is the same start as before, so that it has not
// crashed.
func (l *Limiter) ServerReturned(now time.Time, server ServerStart) {
	l.losses.forget(server)
	for _, run := range l.unsettled {
		if run.Server.maySame(server) && !run.At.After(now) {
			run.returned = true
		}
	}
}

// ServerResponds records that a server took a connection that was opened at a time. Its earlier runs were lost for
// another reason than its crash, unless it is found lost after all.
func (l *Limiter) ServerResponds(openedAt time.Time, server ServerStart) {
	for _, run := range l.unsettled {
		if run.Server.maySame(server) && !run.At.After(openedAt) {
			run.responds = true
		}
	}
}

// isUnknown reports whether it is not known yet whether a run's server was lost. That is found out within probeTime.
func (l *Limiter) isUnknown(now time.Time, run *unsettledRun) bool {
	_, lost := l.losses.lostAt(run.Server)
	return !lost && !run.responds && !run.returned && now.Before(run.At.Add(probeTime))
}

// TakeLosses returns the runs that were lost with their servers before they had begun to answer, and not together with
// others of the failure domain as far as known now. Each is returned once. The peers must be told.
func (l *Limiter) TakeLosses() []Loss {
	var list []Loss
	for _, run := range l.unsettled {
		if run.taken || run.Begun || run.silent {
			continue
		}
		if l.outcome(l.histories[run.Content], run) == CrashCounted {
			run.taken = true
			list = append(list, Loss{Crash: run.Crash, Confirmed: true})
		}
	}
	return list
}

// Awaits reports whether a run at a server has no outcome yet.
func (l *Limiter) Awaits(server ServerStart) bool {
	return slices.ContainsFunc(l.unsettled, func(run *unsettledRun) bool { return run.Server.maySame(server) })
}
