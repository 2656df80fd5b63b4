package action

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
)

// committer sends the transactions of a Batcher to a table. mu guards the fields below it and
// is not held during I/O.
type committer struct {
	table   infra.Table
	timeout time.Duration
	now     func() time.Time

	mu      sync.Mutex
	batcher *Batcher
	waiters map[uint64]chan BatchResult
	lastID  uint64
	timer   *time.Timer
}

func newCommitter(table infra.Table, limits BatchLimits, timeout time.Duration, now func() time.Time) *committer {
	return &committer{
		table:   table,
		timeout: timeout,
		now:     now,
		batcher: NewBatcher(limits, string(NewClaimID())+"/"),
		waiters: make(map[uint64]chan BatchResult),
	}
}

// commit writes the single row of tx, possibly in a transaction with other rows, and returns
// the result of this write. If ctx ends first, the outcome may be unknown.
func (c *committer) commit(ctx context.Context, tx infra.Transaction) (infra.Commit, error) {
	id, done := c.add(tx)
	select {
	case result := <-done:
		return result.Commit, result.Err
	case <-ctx.Done():
		return infra.Commit{}, infra.NewError(c.abandon(id), "commit", "table", ctx.Err())
	}
}

// abandon stops waiting for a write and returns its outcome as far as it is known.
func (c *committer) abandon(id uint64) infra.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
	if c.batcher.Cancel(id) {
		return infra.OutcomeNotDone
	}
	return infra.OutcomeUnknown
}

func (c *committer) add(tx infra.Transaction) (uint64, <-chan BatchResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	done := make(chan BatchResult, 1)
	c.waiters[c.lastID] = done
	c.batcher.Add(c.now(), BatchItem{ID: c.lastID, Condition: tx.Conditions[0], Write: tx.Writes[0]})
	c.sendDue()
	return c.lastID, done
}

// sendDue sends the transactions that are due and sets the timer for the next one. The caller
// holds c.mu.
func (c *committer) sendDue() {
	for {
		tx, ok := c.batcher.Take(c.now())
		if !ok {
			break
		}
		go c.send(tx)
	}
	at := c.batcher.WakeAt()
	if at.IsZero() || c.timer != nil {
		return
	}
	c.timer = time.AfterFunc(max(at.Sub(c.now()), 0), c.onTimer)
}

func (c *committer) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = nil
	c.sendDue()
}

// send commits one transaction and delivers the results to the waiters.
func (c *committer) send(tx infra.Transaction) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	commit, err := c.table.Commit(ctx, tx)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.batcher.HandleResult(tx.OperationID, commit, err) {
		if done, ok := c.waiters[result.ID]; ok {
			delete(c.waiters, result.ID)
			done <- result
		}
	}
	c.sendDue()
}
