package quarantine

import (
	"slices"
	"time"
)

const (
	// maxPartQuarantines bounds the quarantines of parts. Further ones are not applied.
	maxPartQuarantines = 512
	// maxExplained bounds the servers kept whose loss a quarantine explains. Of more, the oldest is
	// dropped.
	maxExplained = 64
	// maxTiedParts bounds the parts of one quarantine.
	maxTiedParts = 8
)

// trialTimes are the times after the start of a quarantine at which one request is let through, over
// all entries. They are few, as each may crash a server, and those of a part that does are never more
// than the users allow.
var trialTimes = [...]time.Duration{45 * time.Second, 135 * time.Second, 315 * time.Second}

// trialsDue returns the number of trials that are due by now.
func (q *PartQuarantine) trialsDue(now time.Time) int {
	due := 0
	for due < len(trialTimes) && now.Sub(q.Since) >= trialTimes[due] {
		due++
	}
	return due
}

func (q *PartQuarantine) expired(now time.Time) bool { return now.Sub(q.Since) > quarantinePeriod }

// keptQuarantine is a quarantine with the servers whose loss it explains.
type keptQuarantine struct {
	PartQuarantine
	servers []ServerStart
}

// explain records that the quarantine explains the loss of a server. It returns whether that is new.
func (q *keptQuarantine) explain(server ServerStart) bool {
	if slices.Contains(q.servers, server) {
		return false
	}
	if len(q.servers) >= maxExplained {
		q.servers = q.servers[1:]
	}
	q.servers = append(q.servers, server)
	return true
}

// partQuarantines holds quarantines of parts, by their first part.
type partQuarantines struct {
	byFirst map[PartID][]*keptQuarantine
	count   int
}

func newPartQuarantines() *partQuarantines {
	return &partQuarantines{byFirst: make(map[PartID][]*keptQuarantine)}
}

// covering returns a quarantine that refuses prompts with the parts, or nil.
func (s *partQuarantines) covering(now time.Time, parts []PartID) *keptQuarantine {
	if s.count == 0 {
		return nil
	}
	for _, id := range parts {
		for _, q := range s.byFirst[id] {
			if !q.expired(now) && q.Holds(parts) {
				return q
			}
		}
	}
	return nil
}

// add adds a quarantine in place of those that it covers. It returns false if there is no space or a
// quarantine covers it.
func (s *partQuarantines) add(now time.Time, q PartQuarantine, servers []ServerStart) bool {
	if s.covering(now, q.Parts) != nil {
		return false
	}
	for _, other := range s.all() {
		if other.expired(now) || q.Holds(other.Parts) {
			s.remove(other)
		}
	}
	if s.count >= maxPartQuarantines {
		return false
	}
	kept := &keptQuarantine{PartQuarantine: q, servers: servers}
	s.byFirst[q.Parts[0]] = append(s.byFirst[q.Parts[0]], kept)
	s.count++
	return true
}

func (s *partQuarantines) remove(q *keptQuarantine) {
	first := q.Parts[0]
	before := len(s.byFirst[first])
	kept := slices.DeleteFunc(s.byFirst[first], func(other *keptQuarantine) bool { return other == q })
	s.count -= before - len(kept)
	s.byFirst[first] = kept
	if len(kept) == 0 {
		delete(s.byFirst, first)
	}
}

// all returns the quarantines in no particular order.
func (s *partQuarantines) all() []*keptQuarantine {
	list := make([]*keptQuarantine, 0, s.count)
	for _, of := range s.byFirst {
		list = append(list, of...)
	}
	return list
}

// explained returns the servers whose loss quarantines without a part explain.
func (s *partQuarantines) explained(now time.Time, id PartID) []ServerStart {
	var list []ServerStart
	for _, q := range s.all() {
		if !q.expired(now) && !slices.Contains(q.Parts, id) {
			list = append(list, q.servers...)
		}
	}
	return list
}

// exonerate removes a part with which a run began from the quarantines since before that. It returns
// those that changed, as they were.
func (s *partQuarantines) exonerate(id PartID, at time.Time) []PartQuarantine {
	if s.count == 0 {
		return nil
	}
	var changed []PartQuarantine
	for _, q := range s.all() {
		if !slices.Contains(q.Parts, id) || q.Since.After(at) {
			continue
		}
		changed = append(changed, q.PartQuarantine)
		s.remove(q)
		rest := slices.DeleteFunc(slices.Clone(q.Parts), func(other PartID) bool { return other == id })
		if len(rest) > 0 {
			s.add(at, PartQuarantine{Parts: rest, Since: q.Since, Trials: q.Trials}, q.servers)
		}
	}
	return changed
}
