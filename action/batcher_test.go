package action

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"pgregory.net/rapid"
)

// TestBatcherEndsEachWriteOnce sends random writes to few rows through a Batcher, over a table
// that fails at random. Each write must get exactly one result, be applied at most once, and
// get a result that agrees with the table.
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
					t.Fatalf("item %d has two results", result.ID)
				}
				results[result.ID] = result
			}
		}
		if len(results) != count || b.Len() != 0 {
			t.Fatalf("%d of %d items have a result, %d left", len(results), count, b.Len())
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
		t.Fatalf("item %d: result applied %v, written %v", id, result.Commit.Applied, written)
	case result.Err == nil && !written && len(result.Commit.Conflicts) != 1:
		t.Fatalf("item %d conflicts with %d rows", id, len(result.Commit.Conflicts))
	case infra.OutcomeOf(result.Err) == infra.OutcomeNotDone && written:
		t.Fatalf("item %d: result not done, but it is written", id)
	}
}
