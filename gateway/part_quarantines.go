package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

// StoredPartQuarantine is a quarantine of parts as the store keeps it. Since is a time of day, and zero
// if the quarantine has ended.
type StoredPartQuarantine struct {
	Parts []quarantine.PartID
	Since time.Time
	// Revision identifies the stored state for its removal.
	Revision uint64
}

// PartQuarantineStore keeps quarantines of parts beyond the life of the entries.
type PartQuarantineStore interface {
	// SavePartQuarantine stores a quarantine, or its end.
	SavePartQuarantine(ctx context.Context, q StoredPartQuarantine) error
	PartQuarantines(ctx context.Context) ([]StoredPartQuarantine, error)
	// RemovePartQuarantines removes those that have not changed since they were read.
	RemovePartQuarantines(ctx context.Context, list []StoredPartQuarantine) error
}

// partSavers is the number of entries that save what all of them know, first in rank.
const partSavers = 3

// saves reports whether this entry saves quarantines in the store.
func (p *partGuard) saves(now time.Time) bool {
	return p.g.gossip.watchAssignment(now).Rank < partSavers
}

// save queues a quarantine to be saved in the store.
func (p *partGuard) save(q quarantine.PartQuarantine) {
	p.enqueue(StoredPartQuarantine{Parts: q.Parts, Since: q.Since.Round(0)})
}

// withdraw queues the end of a quarantine to be saved in the store. The rest of one that shrinks is
// saved instead.
func (p *partGuard) withdraw(ended quarantine.PartQuarantine) {
	p.enqueue(StoredPartQuarantine{Parts: ended.Parts})
	p.mu.Lock()
	rest, _ := p.limiter.Check(time.Now(), ended.Parts, false)
	var kept quarantine.PartQuarantine
	if rest != nil {
		kept = *rest
	}
	p.mu.Unlock()
	if rest != nil {
		p.save(kept)
	}
}

// enqueue queues a quarantine, or its end, to be saved in the store.
func (p *partGuard) enqueue(s StoredPartQuarantine) {
	if p.g.options.Quarantines != nil {
		p.unsaved.add(s)
	}
}

// saveQuarantines saves queued quarantines until the gateway ends.
func (p *partGuard) saveQuarantines() {
	saveAll(p.g, "part_quarantine_writes", p.unsaved, func(ctx context.Context, s StoredPartQuarantine) error {
		return p.g.options.Quarantines.SavePartQuarantine(ctx, s)
	})
}

// saveMissing queues the known quarantines that the store lacks to be saved.
func (p *partGuard) saveMissing(ctx context.Context) error {
	stored, err := p.g.options.Quarantines.PartQuarantines(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	known := p.limiter.Quarantines(time.Now())
	p.mu.Unlock()
	for _, q := range known {
		if !isStored(q, stored) {
			p.g.recordRewrite("part_quarantine")
			p.save(q)
		}
	}
	return nil
}

// isStored reports whether the store holds a quarantine that has not ended.
func isStored(q quarantine.PartQuarantine, stored []StoredPartQuarantine) bool {
	return slices.ContainsFunc(stored, func(s StoredPartQuarantine) bool {
		return slices.Equal(s.Parts, q.Parts) && s.Since.UnixMilli() > 0
	})
}

// restoreQuarantines reads the stored quarantines at the start, and again while no known peer is live.
func (p *partGuard) restoreQuarantines() {
	p.g.restoreWhileIsolated("part_quarantine_reads", restoredParts, p.restore)
}

// restore applies the stored quarantines once, and removes those that have ended or expired.
func (p *partGuard) restore(ctx context.Context) error {
	stored, err := p.g.options.Quarantines.PartQuarantines(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	var ended []StoredPartQuarantine
	for _, s := range stored {
		age := now.Round(0).Sub(s.Since)
		if age > storedQuarantinePeriod {
			ended = append(ended, s)
			continue
		}
		p.applyQuarantine(now, quarantine.PartQuarantine{Parts: s.Parts, Since: now.Add(-max(age, 0))}, "store")
	}
	if len(ended) == 0 {
		return nil
	}
	return p.g.options.Quarantines.RemovePartQuarantines(ctx, ended)
}
