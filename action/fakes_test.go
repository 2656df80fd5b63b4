package action

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

// fault is the way in which a fakeTable fails one operation.
type fault int

const (
	faultNone fault = iota
	// faultNotDone: the operation is not done, and the error says so.
	faultNotDone
	// faultRequestLost: the operation is not done, but its outcome is unknown to the client.
	faultRequestLost
	// faultResponseLost: the operation is done, but its response is lost.
	faultResponseLost
)

var errInjected = errors.New("injected")

// fakeTable is an in-memory table that injects the faults that fail returns.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]infra.Row
	outcomes map[string]infra.Commit
	revision infra.Revision
	commits  int
	gets     int
	// fail is called with the mutex held.
	fail func(operation string) fault
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]infra.Row{}, outcomes: map[string]infra.Commit{}}
}

func (t *fakeTable) fault(operation string) fault {
	if t.fail == nil {
		return faultNone
	}
	return t.fail(operation)
}

func injectedError(f fault, operation string) error {
	outcome := infra.OutcomeUnknown
	if f == faultNotDone {
		outcome = infra.OutcomeNotDone
	}
	return infra.NewError(outcome, operation, "table", errInjected)
}

func (t *fakeTable) Get(_ context.Context, key string) (infra.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gets++
	if f := t.fault("get"); f != faultNone {
		return infra.Row{}, injectedError(f, "get")
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, query infra.ScanQuery) (infra.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.fault("scan"); f != faultNone {
		return infra.Page{}, injectedError(f, "scan")
	}
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, query.Prefix) && key >= query.From {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := infra.Page{Revision: t.revision}
	for _, key := range keys {
		if len(page.Rows) == query.Limit {
			page.Next = key
			break
		}
		page.Rows = append(page.Rows, t.rows[key])
	}
	return page, nil
}

func (t *fakeTable) Commit(_ context.Context, tx infra.Transaction) (infra.Commit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := t.fault("commit")
	if f == faultNotDone || f == faultRequestLost {
		return infra.Commit{}, injectedError(f, "commit")
	}
	commit := t.apply(tx)
	if f == faultResponseLost {
		return infra.Commit{}, injectedError(f, "commit")
	}
	return commit, nil
}

func (t *fakeTable) apply(tx infra.Transaction) infra.Commit {
	if past, ok := t.outcomes[tx.OperationID]; ok {
		return past
	}
	var commit infra.Commit
	for _, condition := range tx.Conditions {
		if row := t.rows[condition.Key]; row.Revision != condition.Revision {
			row.Key = condition.Key
			commit.Conflicts = append(commit.Conflicts, row)
		}
	}
	if len(commit.Conflicts) == 0 {
		t.revision++
		commit = infra.Commit{Applied: true, Revision: t.revision}
		for _, write := range tx.Writes {
			if write.Delete {
				delete(t.rows, write.Key)
				continue
			}
			t.rows[write.Key] = infra.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
		}
	}
	t.outcomes[tx.OperationID] = commit
	return commit
}
