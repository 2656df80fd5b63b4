package action

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

// BatchLimits holds the limits of group commit.
type BatchLimits struct {
	// MaxItems is the maximum number of writes in one transaction; 1 disables grouping.
	MaxItems int
	// MaxDelay is how long the first write of a batch waits for others.
	MaxDelay time.Duration
	// MaxInFlight is the maximum number of transactions in flight.
	MaxInFlight int
	// MaxRetries is how often a transaction with an unknown outcome is sent again under the
	// same operation id.
	MaxRetries int
}

// DefaultBatchLimits returns the default limits of an entry.
func DefaultBatchLimits() BatchLimits {
	return BatchLimits{MaxItems: 64, MaxDelay: 5 * time.Millisecond, MaxInFlight: 4, MaxRetries: 2}
}

// BatchItem is one conditional write of one row. ID must be unique within a Batcher; the item's
// BatchResult has the same ID.
type BatchItem struct {
	ID        uint64
	Condition infra.Condition
	Write     infra.Write
}

// BatchResult is the result of one item: Err, or a Commit for this item alone.
type BatchResult struct {
	ID     uint64
	Commit infra.Commit
	Err    error
}

// errNotApplied reports that the table did not apply a transaction although no row conflicted.
var errNotApplied = errors.New("transaction not applied without a conflict")

// queuedItem is an item in the queue. A transaction is due once dueAt of its first item has
// passed.
type queuedItem struct {
	item  BatchItem
	dueAt time.Time
}

// sentBatch is a transaction in flight.
type sentBatch struct {
	items   []queuedItem
	tx      infra.Transaction
	retries int
	// outcomeUnknown: the outcome of at least one copy of the transaction is unknown.
	outcomeUnknown bool
}

// Batcher groups conditional writes of single rows into transactions. If some items conflict,
// only they fail and the others are sent again. It has no goroutine, clock or I/O.
type Batcher struct {
	limits     BatchLimits
	prefix     string
	lastID     uint64
	queue      []queuedItem
	inFlight   map[string]*sentBatch
	retryQueue []*sentBatch
	// rowsInFlight holds the keys of the rows in flight. A second write to a row waits for the
	// first.
	rowsInFlight map[string]struct{}
}

// NewBatcher returns a Batcher whose operation ids start with prefix. The prefix must never be
// reused.
func NewBatcher(limits BatchLimits, prefix string) *Batcher {
	return &Batcher{
		limits:       limits,
		prefix:       prefix,
		inFlight:     make(map[string]*sentBatch),
		rowsInFlight: make(map[string]struct{}),
	}
}

// Add queues an item.
func (b *Batcher) Add(now time.Time, item BatchItem) {
	b.queue = append(b.queue, queuedItem{item: item, dueAt: now.Add(b.limits.MaxDelay)})
}

// Len returns the number of items that are queued or in flight.
func (b *Batcher) Len() int {
	n := len(b.queue)
	for _, sent := range b.inFlight {
		n += len(sent.items)
	}
	return n
}

// Take returns the next transaction that is due. The caller must pass its result to
// HandleResult.
func (b *Batcher) Take(now time.Time) (infra.Transaction, bool) {
	if len(b.retryQueue) > 0 {
		sent := b.retryQueue[0]
		b.retryQueue = b.retryQueue[1:]
		return sent.tx, true
	}
	if len(b.inFlight) >= b.limits.MaxInFlight || !b.isDue(now) {
		return infra.Transaction{}, false
	}
	items := b.takeItems()
	if len(items) == 0 {
		return infra.Transaction{}, false
	}
	return b.startBatch(items), true
}

// WakeAt returns when to call Take next, or the zero time if nothing becomes due before a
// result or a new item arrives.
func (b *Batcher) WakeAt() time.Time {
	if len(b.inFlight) >= b.limits.MaxInFlight {
		return time.Time{}
	}
	first, _ := b.firstReady()
	return first.dueAt
}

func (b *Batcher) isDue(now time.Time) bool {
	first, ok := b.firstReady()
	return ok && (len(b.queue) >= b.limits.MaxItems || !now.Before(first.dueAt))
}

// firstReady returns the first queued item whose row is not in flight.
func (b *Batcher) firstReady() (queuedItem, bool) {
	for _, q := range b.queue {
		if _, taken := b.rowsInFlight[q.item.Write.Key]; !taken {
			return q, true
		}
	}
	return queuedItem{}, false
}

// Cancel removes an item that is still queued. It returns false if the item was sent; the item
// may then be written.
func (b *Batcher) Cancel(id uint64) bool {
	for i, q := range b.queue {
		if q.item.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// takeItems removes the items of the next transaction from the queue.
func (b *Batcher) takeItems() []queuedItem {
	picked := make([]queuedItem, 0, min(len(b.queue), b.limits.MaxItems))
	rest := b.queue[:0]
	for _, q := range b.queue {
		_, taken := b.rowsInFlight[q.item.Write.Key]
		if taken || len(picked) == b.limits.MaxItems {
			rest = append(rest, q)
			continue
		}
		b.rowsInFlight[q.item.Write.Key] = struct{}{}
		picked = append(picked, q)
	}
	clear(b.queue[len(rest):])
	b.queue = rest
	return picked
}

// startBatch returns the transaction of items and registers it as in flight.
func (b *Batcher) startBatch(items []queuedItem) infra.Transaction {
	b.lastID++
	tx := infra.Transaction{
		OperationID: b.prefix + strconv.FormatUint(b.lastID, 10),
		Conditions:  make([]infra.Condition, len(items)),
		Writes:      make([]infra.Write, len(items)),
	}
	for i, q := range items {
		tx.Conditions[i] = q.item.Condition
		tx.Writes[i] = q.item.Write
	}
	b.inFlight[tx.OperationID] = &sentBatch{items: items, tx: tx}
	return tx
}

// HandleResult takes the result of a transaction and returns the results of the items that are
// done.
func (b *Batcher) HandleResult(operationID string, commit infra.Commit, err error) []BatchResult {
	sent, ok := b.inFlight[operationID]
	if !ok {
		return nil
	}
	unknown := err != nil && infra.OutcomeOf(err) != infra.OutcomeNotDone
	sent.outcomeUnknown = sent.outcomeUnknown || unknown
	if err != nil && sent.outcomeUnknown && !unknown {
		// This copy was not applied, but an earlier one may have been.
		err = infra.NewError(infra.OutcomeUnknown, "commit", "table", err)
	}
	if err != nil && sent.outcomeUnknown && sent.retries < b.limits.MaxRetries {
		sent.retries++
		b.retryQueue = append(b.retryQueue, sent)
		return nil
	}
	delete(b.inFlight, operationID)
	for _, q := range sent.items {
		delete(b.rowsInFlight, q.item.Write.Key)
	}
	if err != nil || commit.Applied {
		return sent.resultsForAll(commit, err)
	}
	return b.splitConflicts(sent, commit)
}

// resultsForAll returns the same result for every item of f.
func (sent *sentBatch) resultsForAll(commit infra.Commit, err error) []BatchResult {
	results := make([]BatchResult, len(sent.items))
	for i, q := range sent.items {
		results[i] = BatchResult{ID: q.item.ID, Commit: commit, Err: err}
	}
	return results
}

// splitConflicts returns the items of f that conflicted and puts the others at the front of the
// queue.
func (b *Batcher) splitConflicts(sent *sentBatch, commit infra.Commit) []BatchResult {
	conflicts := make(map[string]infra.Row, len(commit.Conflicts))
	for _, row := range commit.Conflicts {
		conflicts[row.Key] = row
	}
	var results []BatchResult
	var rest []queuedItem
	for _, q := range sent.items {
		row, conflicted := conflicts[q.item.Write.Key]
		if !conflicted {
			rest = append(rest, q)
			continue
		}
		results = append(results, BatchResult{ID: q.item.ID, Commit: infra.Commit{Conflicts: []infra.Row{row}}})
	}
	if len(results) == 0 {
		return sent.resultsForAll(infra.Commit{}, infra.NewError(infra.OutcomeNotDone, "commit", "table", errNotApplied))
	}
	b.queue = append(rest, b.queue...)
	return results
}
