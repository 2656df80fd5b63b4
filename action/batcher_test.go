package action

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"pgregory.net/rapid"
)

// TestBatcherEndsEachWriteOnce gives random writes over few rows to a Batcher, over a
// table that fails at random. Each write ends once, is applied at most once,
// and what it is told agrees with the table.
func TestBatcherEndsEachWriteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFakeTable()
		table.fail = func(string) fault { return fault(rapid.IntRange(0, 3).Draw(t, "fault")) }
		limits := BatchLimits{MaxItems: rapid.IntRange(1, 4).Draw(t, "items"), MaxDelay: time.Millisecond, MaxInFlight: 2, MaxRetries: 2}
		b := NewBatcher(limits, "p/")
		now := time.Unix(0, 0)
		count := rapid.IntRange(1, 12).Draw(t, "count")
		for id := range count {
			row := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "row"))
			b.Add(now, BatchItem{ID: uint64(id), Condition: infra.Condition{Key: row}, Write: infra.Write{Key: row, Value: fmt.Append(nil, id)}})
		}
		results := map[uint64]BatchResult{}
		now = now.Add(limits.MaxDelay)
		for tx, ok := b.Take(now); ok; tx, ok = b.Take(now) {
			commit, err := table.Commit(context.Background(), tx)
			for _, result := range b.HandleResult(tx.OperationID, commit, err) {
				if _, twice := results[result.ID]; twice {
					t.Fatalf("item %d ended twice", result.ID)
				}
				results[result.ID] = result
			}
		}
		if len(results) != count || b.Len() != 0 {
			t.Fatalf("%d of %d items ended, %d left", len(results), count, b.Len())
		}
		for id, result := range results {
			checkResult(t, table, id, result)
		}
	})
}

func checkResult(t *rapid.T, table *fakeTable, id uint64, result BatchResult) {
	written := false
	for _, row := range table.rows {
		written = written || string(row.Value) == fmt.Sprint(id)
	}
	switch {
	case result.Err == nil && result.Commit.Applied != written:
		t.Fatalf("item %d is told applied %v, written %v", id, result.Commit.Applied, written)
	case result.Err == nil && !written && len(result.Commit.Conflicts) != 1:
		t.Fatalf("item %d conflicts with %d rows", id, len(result.Commit.Conflicts))
	case infra.OutcomeOf(result.Err) == infra.OutcomeNotDone && written:
		t.Fatalf("item %d is told not done, and is written", id)
	}
}
