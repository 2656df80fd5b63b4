package gateway

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	// isolatedReadInterval is the time between two reads of the stored quarantines while no peer
	// is live that could report them.
	isolatedReadInterval = 2 * time.Second
	// storedQuarantinePeriod is the time after which a stored quarantine is removed. It exceeds
	// the time for which one holds by what the clocks of hosts may differ.
	storedQuarantinePeriod = 15 * time.Minute
)

// StoredQuarantine is a quarantined request as the store keeps it. Since is a time of day, as the
// process that reads it may not be the one that wrote it.
type StoredQuarantine struct {
	Content quarantine.ContentHash
	Since   time.Time
	// Revision identifies the stored state for its removal.
	Revision uint64
}

// QuarantineStore keeps quarantined requests beyond the life of the entries.
type QuarantineStore interface {
	PartQuarantineStore
	SaveQuarantine(ctx context.Context, q StoredQuarantine) error
	Quarantines(ctx context.Context) ([]StoredQuarantine, error)
	// RemoveQuarantines removes those that have not changed since they were read.
	RemoveQuarantines(ctx context.Context, list []StoredQuarantine) error
}

// save queues a quarantine to be saved in the store.
func (c *crashGuard) save(q quarantine.Quarantine) {
	if c.g.options.Quarantines != nil {
		c.unsaved.add(q)
	}
}

// saveQuarantines saves queued quarantines until the gateway ends.
func (c *crashGuard) saveQuarantines() {
	saveAll(c.g, "quarantine_writes", c.unsaved, func(ctx context.Context, q quarantine.Quarantine) error {
		return c.g.options.Quarantines.SaveQuarantine(ctx, StoredQuarantine{Content: q.Content, Since: q.Since.Round(0)})
	})
}

// saveMissing queues the known quarantines that the store lacks to be saved.
func (c *crashGuard) saveMissing(ctx context.Context) error {
	stored, err := c.g.options.Quarantines.Quarantines(ctx)
	if err != nil {
		return err
	}
	isStored := make(map[quarantine.ContentHash]bool, len(stored))
	for _, q := range stored {
		isStored[q.Content] = true
	}
	c.mu.Lock()
	known := c.limiter.Quarantines(time.Now())
	c.mu.Unlock()
	for _, q := range known {
		if !isStored[q.Content] {
			c.g.recordRewrite("quarantine")
			c.save(q)
		}
	}
	return nil
}

// restoreQuarantines reads the stored quarantines at the start, and again while no known peer is
// live.
func (c *crashGuard) restoreQuarantines() {
	c.g.restoreWhileIsolated("quarantine_reads", restoredRequests, c.restore)
}

// restore applies the stored quarantines once, and removes those that have expired.
func (c *crashGuard) restore(ctx context.Context) error {
	stored, err := c.g.options.Quarantines.Quarantines(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	var expired []StoredQuarantine
	for _, q := range stored {
		age := now.Round(0).Sub(q.Since)
		if age > storedQuarantinePeriod {
			expired = append(expired, q)
			continue
		}
		c.applyStored(now, quarantine.Quarantine{Content: q.Content, Since: now.Add(-max(age, 0))})
	}
	if len(expired) == 0 {
		return nil
	}
	return c.g.options.Quarantines.RemoveQuarantines(ctx, expired)
}

func (c *crashGuard) applyStored(now time.Time, q quarantine.Quarantine) {
	c.mu.Lock()
	isNew := c.limiter.MergeQuarantine(now, q)
	c.mu.Unlock()
	if isNew {
		c.quarantined(q, "store")
	}
}
