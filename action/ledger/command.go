package ledger

import (
	"container/heap"
	"time"

	"github.com/wigeonfork/wigeonfork/action"
	"github.com/wigeonfork/wigeonfork/backend"
)

// New returns an empty Ledger.
func New(config Config) *Ledger {
	config.RecordDelay = max(config.RecordDelay, minRecordDelay)
	return &Ledger{config: config, entries: make(map[action.ClaimID]*claimEntry)}
}

// Dispatch decides how to handle a dispatched claim. A claim for another incarnation was not run
// there and never will be: the entry that made the claim sends only one copy of its call, and that
// copy has arrived here.
func (l *Ledger) Dispatch(now time.Time, claim action.Claim) Decision {
	l.prune(now)
	if claim.Target.Incarnation != l.config.Incarnation {
		return Decision{Verdict: VerdictNotRun, Reason: ReasonIncarnation}
	}
	if existing, ok := l.entries[claim.ID]; ok {
		return existing.decision()
	}
	reason := l.refusalReason(now, claim)
	if reason == ReasonNone {
		l.add(&claimEntry{state: stateRunning, claim: claim})
		return Decision{Verdict: VerdictRun}
	}
	if !l.bar(now, claim) {
		return Decision{Verdict: VerdictUnknown, Reason: reason}
	}
	return Decision{Verdict: VerdictNotRun, Reason: reason}
}

// refusalReason returns why a claim without a ledger entry is not run, or ReasonNone.
func (l *Ledger) refusalReason(now time.Time, claim action.Claim) Reason {
	switch {
	case !now.Before(claim.Expires):
		return ReasonExpired
	case claim.Expires.Sub(now) > l.config.MaxWindow:
		return ReasonWindow
	case !claim.Expires.After(l.barredUntil):
		return ReasonResolved
	case l.draining:
		return ReasonDraining
	case l.full():
		return ReasonFull
	default:
		return ReasonNone
	}
}

// bar makes sure that a claim without a ledger entry never runs in this incarnation. It returns
// false if that is impossible. Either the claim has expired and may have run before its entry was
// pruned, or it expires later than MaxWindow from now.
func (l *Ledger) bar(now time.Time, claim action.Claim) bool {
	if !now.Before(claim.Expires) || claim.Expires.Sub(now) > l.config.MaxWindow {
		return false
	}
	if !claim.Expires.After(l.barredUntil) {
		return true
	}
	if len(l.entries) >= l.config.MaxClaims {
		l.barredUntil = claim.Expires
		return true
	}
	l.add(&claimEntry{state: stateBarred, claim: claim})
	return true
}

// Finished stores the result of a call that Dispatch accepted. A nil reply means that the
// outcome is unknown.
func (l *Ledger) Finished(now time.Time, id action.ClaimID, reply *backend.Reply) {
	known, ok := l.entries[id]
	if !ok || known.state != stateRunning {
		return
	}
	known.state = stateUnknown
	if reply != nil {
		known.state = stateDone
		known.reply = *reply
		l.replyBytes += len(reply.Body)
	}
	known.nextRecordAt = now.Add(l.config.RecordDelay)
	l.unrecorded = append(l.unrecorded, known)
}

// NotRun notes that a call that Dispatch accepted was not sent to the service. The claim is
// barred.
func (l *Ledger) NotRun(id action.ClaimID) {
	if known, ok := l.entries[id]; ok && known.state == stateRunning {
		known.state = stateBarred
	}
}

// Resolve returns the state of a claim. It bars a claim without a ledger entry, unless the query
// sets Peek.
func (l *Ledger) Resolve(now time.Time, query action.ResolveQuery) action.Resolution {
	l.prune(now)
	if query.Incarnation != l.config.Incarnation {
		return action.Resolution{State: action.ResolvedUnknown}
	}
	if known, ok := l.entries[query.ClaimID]; ok {
		return known.resolution()
	}
	if !now.Before(query.Expires) {
		return action.Resolution{State: action.ResolvedExpired}
	}
	claim := action.Claim{ID: query.ClaimID, Expires: query.Expires}
	if query.Peek || !l.bar(now, claim) {
		return action.Resolution{State: action.ResolvedUnseen}
	}
	return action.Resolution{State: action.ResolvedNotRun}
}

// Recorded notes that the outcomes of claims are in the table. Their ledger entries are removed
// once the claims have expired.
func (l *Ledger) Recorded(now time.Time, ids ...action.ClaimID) {
	for _, id := range ids {
		if known, ok := l.entries[id]; ok && known.ended() {
			known.recorded = true
		}
	}
	l.prune(now)
}

// Unrecorded returns up to limit outcomes that have not been recorded within the record delay.
// Each is returned again after another delay until Recorded is called for it.
func (l *Ledger) Unrecorded(now time.Time, limit int) []Outcome {
	var due []Outcome
	for n := len(l.unrecorded); n > 0 && len(due) < limit; n-- {
		first := l.unrecorded[0]
		if !first.recorded && now.Before(first.nextRecordAt) {
			break
		}
		l.unrecorded = l.unrecorded[1:]
		if first.recorded {
			continue
		}
		due = append(due, first.outcome())
		first.nextRecordAt = now.Add(l.config.RecordDelay)
		l.unrecorded = append(l.unrecorded, first)
	}
	return due
}

// Abandon notes that the agent stops before the running calls have ended: their outcomes stay
// unknown. All unrecorded outcomes are due at once.
func (l *Ledger) Abandon(now time.Time) {
	for id, known := range l.entries {
		if known.state == stateRunning {
			l.Finished(now, id, nil)
		}
	}
	for _, known := range l.unrecorded {
		known.nextRecordAt = now
	}
}

// Drain makes Dispatch refuse all claims without a ledger entry, for the rest of this incarnation.
func (l *Ledger) Drain() { l.draining = true }

// add stores the entry of a new claim until the claim expires.
func (l *Ledger) add(e *claimEntry) {
	e.pruneAt = e.claim.Expires
	l.entries[e.claim.ID] = e
	heap.Push(&l.expiryQueue, e)
}

// prune removes the entries of expired claims. A running or unrecorded claim is kept and
// checked again after the record delay.
func (l *Ledger) prune(now time.Time) {
	for len(l.expiryQueue) > 0 && !now.Before(l.expiryQueue[0].pruneAt) {
		first := l.expiryQueue[0]
		if first.mustKeep() {
			first.pruneAt = now.Add(l.config.RecordDelay)
			heap.Fix(&l.expiryQueue, 0)
			continue
		}
		heap.Pop(&l.expiryQueue)
		l.remove(first)
	}
}

// remove removes an entry that is no longer in the expiry queue.
func (l *Ledger) remove(e *claimEntry) {
	delete(l.entries, e.claim.ID)
	l.replyBytes -= len(e.reply.Body)
}
