package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// crashLimit is the number of servers that a request may crash before it is quarantined.
	crashLimit = 3
	// quarantinePeriod is the time for which a request is quarantined. Crashes older than that
	// no longer count.
	quarantinePeriod = 10 * time.Minute
	// crashSettleTime is the time after a lost run until it counts or is dismissed. It covers the
	// probe of the server and the detection of other losses in its failure domain.
	crashSettleTime = 600 * time.Millisecond
	// silentSettleTime is crashSettleTime for a run that only its server's silence ended. A sound
	// server may be silent for a second, and is then asked for its start.
	silentSettleTime = 2 * time.Second
	// probePoll is the time after which a request that is held until its server was probed may be checked again.
	probePoll = 5 * time.Millisecond
	// probeTime is the time after a lost run within which its server is found to respond or to be lost.
	probeTime = 100 * time.Millisecond
	// reportTolerance is the lateness of a peer's report that doesn't change the order of runs.
	reportTolerance = 50 * time.Millisecond
	// peerSettleTime is the time after a loss that a peer reported until the peer has reported
	// whether it counts.
	peerSettleTime = time.Second
	// outageWindow is the time within which all servers of a small service may be lost in one outage.
	outageWindow = time.Second
	// lossLimit is the number of losses, outageWindow apart and whether they count or not, after which a
	// request is quarantined.
	lossLimit = 8
	// maxHistories bounds the tracked requests.
	maxHistories = 4096
)

// Limiter limits how many servers one request may crash, over all entries that exchange their
// crashes. A request is quarantined once it has crashed crashLimit servers one after another, each
// run having begun after the previous crash, without a complete run since. Servers that are lost
// while copies of the request run on each count once, since one outage may have taken all of them.
// If other requests were lost at each of these servers too, or at one of them within outageWindow, one
// more crash is needed.
//
// From the first loss on the request is a suspect: its runs are trials, of which a TrialCoordinator lets
// one go on at a time, so that each further loss is evidence. Apart from the copies that run already when
// the first loss is known, a request thus crashes about crashLimit servers. A complete run ends the
// suspicion.
//
// A lost run counts only after crashSettleTime or silentSettleTime, if its server was lost during the
// run, not together with others of its failure domain, and is not back as the same start. Until then it
// holds the request if it may be the run that reaches the limit, and for up to probeTime while its server is
// probed. A loss that does not count still makes the request a suspect, and lossLimit of them in as many
// outages quarantine it.
//
// Limiter is a deterministic decision type: times are arguments, and it does no I/O. Merging is
// idempotent and does not depend on the order of reports. It is not safe for concurrent use.
type Limiter struct {
	histories map[ContentHash]*history
	// unsettled lists the lost runs without an outcome, oldest first.
	unsettled []*unsettledRun
	losses    *lossLog
	forgotten *forgottenLog
}

// NewLimiter returns a Limiter without crashes.
func NewLimiter() *Limiter {
	return &Limiter{histories: make(map[ContentHash]*history), losses: newLossLog(), forgotten: newForgottenLog()}
}

// ServerLost records that a server does not respond, however that was detected.
func (l *Limiter) ServerLost(now time.Time, server ServerStart, domain wigeonfork.FailureDomain) {
	l.losses.record(now, server, domain)
}

// RunLost records that a run of a request ended at crash.At without a complete answer. silent is set
// if only the server's silence ended it. Of several runs of the same content at one server, the
// first is recorded.
func (l *Limiter) RunLost(crash Crash, domain wigeonfork.FailureDomain, silent bool) {
	h := l.history(crash.At, crash.Content)
	if h.awaitsOutcome(&crash) {
		return
	}
	run := &unsettledRun{Crash: crash, domain: domain, silent: silent}
	h.unsettled = append(h.unsettled, run)
	l.unsettled = append(l.unsettled, run)
}

// Settle returns the outcomes of the lost runs that are known now, except those that
// change nothing: a run of a request that was completed since, or one at a server that was counted
// already. The crashes that count must be reported to the peers.
func (l *Limiter) Settle(now time.Time) []Verdict {
	var verdicts []Verdict
	var waiting []*unsettledRun
	for _, run := range l.unsettled {
		if now.Before(l.settlesAt(run)) {
			waiting = append(waiting, run)
			continue
		}
		if v, ok := l.settle(now, run); ok {
			verdicts = append(verdicts, v)
		}
	}
	l.unsettled = waiting
	return verdicts
}

// settle settles one run. It returns false if that changes nothing.
func (l *Limiter) settle(now time.Time, run *unsettledRun) (Verdict, bool) {
	h := l.histories[run.Content]
	v := Verdict{Crash: run.Crash, Outcome: l.outcome(h, run)}
	h.unsettled = slices.DeleteFunc(h.unsettled, func(other *unsettledRun) bool { return other == run })
	if !run.At.After(h.completedAt) {
		return v, false
	}
	if v.Outcome != CrashCounted && v.Outcome != LostWithOthers {
		return v, true
	}
	before := h.isQuarantined(now)
	loss := Loss{Crash: run.Crash, Confirmed: true, Counted: v.Outcome == CrashCounted}
	isNew := l.add(now, h, keptLoss{Loss: loss})
	v.Quarantined = !before && h.isQuarantined(now)
	v.Servers, v.Evidence = h.countedLosses(), len(consecutive(h.losses, (*keptLoss).isCounted))
	return v, isNew || v.Outcome != CrashCounted
}

// Merge applies a peer's report of a crash and returns whether it is new.
func (l *Limiter) Merge(now time.Time, crash Crash) bool {
	return l.MergeLoss(now, Loss{Crash: crash, Confirmed: true, Counted: true})
}

// MergeLoss applies a peer's report of a lost run, and returns whether it is new.
func (l *Limiter) MergeLoss(now time.Time, loss Loss) bool {
	kept := keptLoss{Loss: loss, fromPeer: true}
	if kept.expired(now) {
		return false
	}
	h := l.history(now, loss.Content)
	if !loss.Counted && h.awaitsOutcome(&loss.Crash) {
		// This entry lost a run there itself, and may have reported that.
		return false
	}
	return l.add(now, h, kept)
}

// add adds a loss to a request and quarantines it at the limit. It returns whether the loss is new. One that was dropped
// is not: reports on it would go round among the entries without end.
func (l *Limiter) add(now time.Time, h *history, loss keptLoss) bool {
	if l.forgotten.hasLoss(&loss.Crash) || !h.add(now, loss) {
		return false
	}
	l.forgotten.recordLosses(now, h.bound())
	if l.reachesLimit(h) && loss.At.After(h.quarantinedAt) {
		h.quarantinedAt = loss.At
	}
	return true
}

// MergeQuarantine applies a quarantine that a peer or the store reported, and returns whether it
// is new.
func (l *Limiter) MergeQuarantine(now time.Time, q Quarantine) bool {
	if now.Sub(q.Since) > quarantinePeriod {
		return false
	}
	h := l.history(now, q.Content)
	if h.isQuarantined(now) || !q.Since.After(h.completedAt) || l.forgotten.hasQuarantine(q.Content) {
		return false
	}
	h.quarantinedAt, h.changedAt = q.Since, now
	return true
}

// reachesLimit reports whether the losses quarantine a request.
func (l *Limiter) reachesLimit(h *history) bool {
	chain := consecutive(h.losses, (*keptLoss).isCounted)
	switch {
	case len(chain) > crashLimit, len(separate(h.losses)) >= lossLimit:
		return true
	case len(chain) < crashLimit:
		return false
	}
	return !l.isContested(h, chain)
}

// isContested reports whether the losses in chain may be put down to something else: other requests were lost at
// each of the servers, or at one of them and the losses came so close together that they may be one outage.
func (l *Limiter) isContested(h *history, chain []int) bool {
	others := 0
	for _, i := range chain {
		if l.hasOtherAt(h, &h.losses[i]) {
			others++
		}
	}
	first, last := h.losses[chain[0]].At, h.losses[chain[len(chain)-1]].At
	return others == len(chain) || others > 0 && last.Sub(first) <= outageWindow
}

// hasOtherAt reports whether another request was lost with the same server.
func (l *Limiter) hasOtherAt(h *history, loss *keptLoss) bool {
	for _, other := range l.histories {
		if other != h && other.mayExplain(loss) {
			return true
		}
	}
	return false
}

// Complete applies a complete run, of this entry or a peer. It returns whether that cleared
// losses, so that the peers must be told.
func (l *Limiter) Complete(c Completion) bool {
	h := l.histories[c.Content]
	if h == nil || !c.At.After(h.completedAt) {
		return false
	}
	h.completedAt, h.changedAt = c.At, c.At
	cleared := l.clear(c.At, h, func(k *keptLoss) bool { return !k.At.After(c.At) })
	if !h.quarantinedAt.IsZero() && !h.quarantinedAt.After(c.At) {
		h.quarantinedAt = time.Time{}
		l.forgotten.recordQuarantine(c.At, c.Content)
		cleared = true
	}
	return cleared
}

// clear drops the losses of a request for which drop returns true, and returns whether there were any.
func (l *Limiter) clear(now time.Time, h *history, drop func(*keptLoss) bool) bool {
	dropped := h.clear(drop)
	l.forgotten.recordLosses(now, dropped)
	return len(dropped) > 0
}

// Begin applies the first event of a run, of this entry or a peer. It shows that the request does not crash
// servers before it begins to answer, so the losses of runs that had not begun no longer count. It returns
// whether that cleared losses, so that the peers must be told. It ends no quarantine.
func (l *Limiter) Begin(c Completion) bool {
	h := l.histories[c.Content]
	if h == nil || h.isQuarantined(c.At) {
		return false
	}
	return l.clear(c.At, h, func(k *keptLoss) bool { return !k.Begun && !k.At.After(c.At) })
}

// Quarantines returns the quarantined requests, newest first.
func (l *Limiter) Quarantines(now time.Time) []Quarantine {
	var list []Quarantine
	for content, h := range l.histories {
		if h.isQuarantined(now) {
			list = append(list, Quarantine{Content: content, Since: h.quarantinedAt})
		}
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return b.Since.Compare(a.Since) })
	return list
}

// Losses returns the confirmed losses under the requests that are not quarantined: first those that count, each
// kind newest first.
func (l *Limiter) Losses(now time.Time) []Loss {
	var list []Loss
	for _, h := range l.histories {
		if h.isQuarantined(now) {
			continue
		}
		for i := range h.losses {
			if h.losses[i].Confirmed && !h.losses[i].expired(now) {
				list = append(list, h.losses[i].Loss)
			}
		}
	}
	slices.SortFunc(list, func(a, b Loss) int {
		if a.Counted != b.Counted {
			if a.Counted {
				return -1
			}
			return 1
		}
		return b.At.Compare(a.At)
	})
	return list
}

// history returns the history of a request, which it creates if necessary.
func (l *Limiter) history(now time.Time, content ContentHash) *history {
	h := l.histories[content]
	if h == nil {
		l.evict(now)
		h = &history{}
		l.histories[content] = h
	}
	h.changedAt = now
	return h
}

// evict makes space for a history. It drops expired ones, and if that is not enough, the quarter
// of the others with the fewest crashes, oldest first.
func (l *Limiter) evict(now time.Time) {
	if len(l.histories) < maxHistories {
		return
	}
	var candidates []ContentHash
	for content, h := range l.histories {
		switch {
		case len(h.unsettled) > 0:
		case now.Sub(h.changedAt) > quarantinePeriod:
			delete(l.histories, content)
		default:
			candidates = append(candidates, content)
		}
	}
	if len(l.histories) < maxHistories {
		return
	}
	slices.SortFunc(candidates, func(a, b ContentHash) int { return l.histories[a].compare(l.histories[b]) })
	for _, content := range candidates[:min(len(candidates), maxHistories/4)] {
		delete(l.histories, content)
	}
}
