package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// maxPartHistories bounds the parts with evidence.
	maxPartHistories = 4096
	// MaxParts bounds the parts of one prompt that are tracked.
	MaxParts = 64
	// maxUnsettledParts bounds the lost runs without an outcome.
	maxUnsettledParts = 1024
)

// PartLimiter limits how many servers the requests with one part of a prompt may crash, over all
// entries that exchange their crashes.
//
// A run that is lost before its first event makes its parts suspects, if its server was lost during
// the run. Any run that begins clears its parts. A part is quarantined once partCrashLimit servers were
// lost with it at two moments or more, by different requests, and no other part explains these crashes
// better. Parts that were in just the same runs are quarantined together: only prompts that hold all of
// them are refused, until a begin or another crash separates them. So parts that sound requests share
// are cleared all the time, and no caller, route or server is blamed.
//
// PartLimiter is a deterministic decision type: times are arguments, and it does no I/O. Merging is
// idempotent. It is not safe for concurrent use.
type PartLimiter struct {
	histories   map[PartID]*partHistory
	quarantines *partQuarantines
	begins      *beginLog
	// told are the begins of which all entries were told.
	told      *beginLog
	unsettled []unsettledPartRun
	losses    *lossLog
	// changed is set while the evidence has changed since the last verdicts.
	changed bool
}

// unsettledPartRun is a lost run without an outcome.
type unsettledPartRun struct {
	PartRun
	domain   wigeonfork.FailureDomain
	settleAt time.Time
}

// NewPartLimiter returns a PartLimiter without evidence.
func NewPartLimiter() *PartLimiter {
	return &PartLimiter{
		histories: make(map[PartID]*partHistory), quarantines: newPartQuarantines(), begins: newBeginLog(), told: newBeginLog(),
		losses: newLossLog(),
	}
}

// ServerLost records that a server does not respond, however that was detected.
func (l *PartLimiter) ServerLost(now time.Time, server ServerStart, domain wigeonfork.FailureDomain) {
	l.losses.record(now, server, domain)
}

// ServerReturned records that a server that was lost by silence responds again. Its loss was no crash.
func (l *PartLimiter) ServerReturned(_ time.Time, server ServerStart) {
	l.losses.forget(server)
	l.unsettled = slices.DeleteFunc(l.unsettled, func(r unsettledPartRun) bool { return r.Server.maySame(server) })
}

// Awaits reports whether a run at a server has no outcome yet.
func (l *PartLimiter) Awaits(server ServerStart) bool {
	return slices.ContainsFunc(l.unsettled, func(r unsettledPartRun) bool { return r.Server.maySame(server) })
}

// RunLost records that a run ended at run.At before its first event. silent is set if only its server's
// silence ended it.
func (l *PartLimiter) RunLost(run PartRun, domain wigeonfork.FailureDomain, silent bool) {
	if len(run.Parts) == 0 || len(l.unsettled) >= maxUnsettledParts {
		return
	}
	run.Parts = run.Parts[:min(len(run.Parts), MaxParts)]
	settle := crashSettleTime
	if silent {
		settle = silentSettleTime
	}
	l.unsettled = append(l.unsettled, unsettledPartRun{PartRun: run, domain: domain, settleAt: run.At.Add(settle)})
}

// Settle returns the outcomes of the lost runs that are due, without those whose parts have all been
// cleared. The crashes that count must be reported to the peers.
func (l *PartLimiter) Settle(now time.Time) []PartSuspicion {
	var list []PartSuspicion
	kept := l.unsettled[:0]
	for i := range l.unsettled {
		run := &l.unsettled[i]
		if now.Before(run.settleAt) {
			kept = append(kept, *run)
			continue
		}
		if s, ok := l.settle(now, run); ok {
			list = append(list, s)
		}
	}
	clear(l.unsettled[len(kept):])
	l.unsettled = kept
	return list
}

// settle settles one run. It returns false if no part of it is suspected.
func (l *PartLimiter) settle(now time.Time, run *unsettledPartRun) (PartSuspicion, bool) {
	s := PartSuspicion{Outcome: l.outcome(run)}
	s.PartCrash = PartCrash{Content: run.Content, Server: run.Server, At: run.At, WithOthers: s.Outcome == LostWithOthers}
	if s.Outcome != CrashCounted && s.Outcome != LostWithOthers {
		return s, false
	}
	s.Parts = slices.DeleteFunc(slices.Clone(run.Parts), func(id PartID) bool { return l.begins.after(id, run.At) })
	l.add(now, &s.PartCrash)
	for _, id := range s.Parts {
		if h := l.histories[id]; h != nil {
			s.Crashes = max(s.Crashes, len(h.crashes))
		}
	}
	return s, len(s.Parts) > 0
}

// outcome returns the outcome of a lost run.
func (l *PartLimiter) outcome(run *unsettledPartRun) Outcome {
	lostAt, lost := l.losses.lostAt(run.Server)
	switch {
	case !lost:
		return ServerResponds
	case lostAt.Before(run.Began):
		return LostBefore
	case l.losses.othersLost(lostAt, run.domain, []ServerStart{run.Server}) >= massLoss:
		return LostWithOthers
	}
	return CrashCounted
}

// add adds a crash to the evidence and returns whether it is new for a part.
func (l *PartLimiter) add(now time.Time, crash *PartCrash) bool {
	isNew := false
	if q := l.quarantines.covering(now, crash.Parts); q != nil {
		isNew = q.explain(crash.Server)
	}
	for _, id := range crash.Parts {
		kept := partCrash{content: crash.Content, server: crash.Server, at: crash.At, withOthers: crash.WithOthers}
		if l.history(now, id).add(now, kept) {
			isNew = true
		}
	}
	l.changed = l.changed || isNew
	return isNew
}

// Merge applies a peer's report of a crash. It returns whether the report is new, and the parts that
// are known to be sound because a run began with them later, with a time by which all of them had begun
// again. A part may crash servers since. Each begin is returned once, and not if a peer tells of it: many
// copies of a report come.
func (l *PartLimiter) Merge(now time.Time, crash PartCrash) (isNew bool, sound PartBegin) {
	if now.Sub(crash.At) > quarantinePeriod || len(crash.Parts) > MaxParts {
		return false, sound
	}
	var suspects []PartID
	for _, id := range crash.Parts {
		if l.begins.after(id, crash.At) {
			l.refute(id, crash.At, &sound)
		} else {
			suspects = append(suspects, id)
		}
	}
	crash.Parts = suspects
	return l.add(now, &crash), sound
}

// refute adds a part to the begins to tell, unless all entries were told that it began after the crash.
func (l *PartLimiter) refute(id PartID, crashAt time.Time, sound *PartBegin) {
	if l.told.after(id, crashAt) {
		return
	}
	began := l.begins.last(id)
	l.told.record(id, began)
	sound.add(id, began)
}

// Begin applies the first event of a run, of this entry or a peer. It returns the parts that were
// suspected, so that the peers must be told, and the quarantines that end or shrink.
func (l *PartLimiter) Begin(b PartBegin) (cleared []PartID, ended []PartQuarantine) {
	for _, id := range b.Parts[:min(len(b.Parts), MaxParts)] {
		l.begins.record(id, b.At)
		h := l.histories[id]
		was := h != nil && h.clear(b.At)
		if h != nil && len(h.crashes) == 0 {
			delete(l.histories, id)
		}
		changed := l.quarantines.exonerate(id, b.At)
		ended = append(ended, changed...)
		if was || len(changed) > 0 {
			cleared = append(cleared, id)
			l.changed = true
		}
		if b.Told || was || len(changed) > 0 {
			l.told.record(id, b.At)
		}
	}
	return cleared, ended
}

// Check returns the quarantine that refuses a prompt with the parts, or nil if it may run. mayTry is
// set at the one entry that lets requests through to test a verdict; a trial that is due is counted,
// and trial is set.
func (l *PartLimiter) Check(now time.Time, parts []PartID, mayTry bool) (refusedBy *PartQuarantine, trial bool) {
	q := l.quarantines.covering(now, parts)
	if q == nil {
		return nil, false
	}
	if due := q.trialsDue(now); mayTry && q.Trials < due {
		q.Trials = due
		return &q.PartQuarantine, true
	}
	return &q.PartQuarantine, false
}

// MergeQuarantine applies a quarantine that a peer or the store reported, and returns whether it is
// new. Parts with which a run began later are left out. Trials of a new one that are due count as made,
// as another entry may have made them.
func (l *PartLimiter) MergeQuarantine(now time.Time, q PartQuarantine) bool {
	if q.expired(now) || len(q.Parts) > maxTiedParts {
		return false
	}
	q.Parts = slices.DeleteFunc(slices.Clone(q.Parts), func(id PartID) bool { return l.begins.after(id, q.Since) })
	if len(q.Parts) == 0 {
		return false
	}
	slices.Sort(q.Parts)
	if known := l.quarantines.covering(now, q.Parts); known != nil {
		known.Trials = max(known.Trials, q.Trials)
		return false
	}
	q.Trials = max(q.Trials, q.trialsDue(now))
	return l.quarantines.add(now, q, nil)
}

// Quarantines returns the quarantines in force, newest first.
func (l *PartLimiter) Quarantines(now time.Time) []PartQuarantine {
	var list []PartQuarantine
	for _, q := range l.quarantines.all() {
		if !q.expired(now) {
			list = append(list, q.PartQuarantine)
		}
	}
	slices.SortFunc(list, func(a, b PartQuarantine) int { return b.Since.Compare(a.Since) })
	return list
}
