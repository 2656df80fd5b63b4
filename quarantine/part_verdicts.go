package quarantine

import (
	"slices"
	"time"
)

// Verdicts returns the quarantines that follow from evidence that is new since the last call.
func (l *PartLimiter) Verdicts(now time.Time) []PartVerdict {
	if !l.changed {
		return nil
	}
	l.changed = false
	var list []PartVerdict
	for id, h := range l.histories {
		if v, ok := l.judge(now, id, h); ok && l.quarantines.add(now, v.PartQuarantine, h.servers()) {
			list = append(list, v)
		}
	}
	return list
}

// judge returns the quarantine of a part if its evidence suffices and no other part explains it.
func (l *PartLimiter) judge(now time.Time, id PartID, h *partHistory) (PartVerdict, bool) {
	h.expire(now)
	if !h.qualifies() || l.quarantines.covering(now, []PartID{id}) != nil {
		return PartVerdict{}, false
	}
	if !h.without(l.quarantines.explained(now, id)).qualifies() {
		return PartVerdict{}, false
	}
	tied := []PartID{id}
	for other, of := range l.histories {
		switch {
		case other == id:
		case h.explainedBy(of):
			return PartVerdict{}, false
		case h.sameRuns(of):
			tied = append(tied, other)
		}
	}
	slices.Sort(tied)
	tied = tied[:min(len(tied), maxTiedParts)]
	return PartVerdict{
		PartQuarantine: PartQuarantine{Parts: tied, Since: h.lastAt()},
		Crashes:        len(h.crashes), Servers: len(h.servers()), Requests: h.requests(),
	}, true
}

// Crashes returns the evidence that counts, for a peer that has none: one crash for each run, newest
// first.
func (l *PartLimiter) Crashes(now time.Time) []PartCrash {
	type runID struct {
		content ContentHash
		server  ServerStart
	}
	byRun := make(map[runID]*PartCrash)
	for id, h := range l.histories {
		for i := range h.crashes {
			c := &h.crashes[i]
			if now.Sub(c.at) > quarantinePeriod {
				continue
			}
			run := byRun[runID{c.content, c.server}]
			if run == nil {
				run = &PartCrash{Content: c.content, Server: c.server, At: c.at, WithOthers: c.withOthers}
				byRun[runID{c.content, c.server}] = run
			}
			run.Parts = append(run.Parts, id)
		}
	}
	list := make([]PartCrash, 0, len(byRun))
	for _, run := range byRun {
		list = append(list, *run)
	}
	slices.SortFunc(list, func(a, b PartCrash) int { return b.At.Compare(a.At) })
	return list
}

// history returns the evidence against a part, which it creates if necessary.
func (l *PartLimiter) history(now time.Time, id PartID) *partHistory {
	h := l.histories[id]
	if h == nil {
		l.evict(now)
		h = &partHistory{changedAt: now}
		l.histories[id] = h
	}
	return h
}

// evict makes space for evidence. It drops the expired, and if that is not enough, the quarter with the
// fewest crashes, oldest first. Quarantines are kept elsewhere.
func (l *PartLimiter) evict(now time.Time) {
	if len(l.histories) < maxPartHistories {
		return
	}
	ids := make([]PartID, 0, len(l.histories))
	for id, h := range l.histories {
		if now.Sub(h.changedAt) > quarantinePeriod {
			delete(l.histories, id)
			continue
		}
		ids = append(ids, id)
	}
	if len(l.histories) < maxPartHistories {
		return
	}
	slices.SortFunc(ids, func(a, b PartID) int {
		one, other := l.histories[a], l.histories[b]
		if n := len(one.crashes) - len(other.crashes); n != 0 {
			return n
		}
		return one.changedAt.Compare(other.changedAt)
	})
	for _, id := range ids[:maxPartHistories/4] {
		delete(l.histories, id)
	}
}
