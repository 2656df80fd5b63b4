// Package table is an in-memory stand-in for the platform's transactional table service. It serves
// infra.Table in process and over HTTP:
//
//	GET  /v1/rows?key=K                             returns infra.Row
//	GET  /v1/scan?prefix=P&since=R&from=K&limit=N   returns infra.Page
//	POST /v1/commit                                 takes infra.Transaction, returns infra.Commit
//
// Status 400, 429 and 503 mean that a commit was not done. If the response is dropped, the
// connection is closed after the commit.
package table

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
	"golang.org/x/time/rate"
)

const (
	serviceName = "table"
	// maxOperations is the number of commit results that are kept to answer repeated commits.
	maxOperations = 1 << 18
	defaultLimit  = 1000
)

// Causes of failed calls.
var (
	ErrDown            = errors.New("table is down")
	ErrRateLimited     = errors.New("over the rate limit")
	ErrBadRequest      = errors.New("bad request")
	errResponseDropped = errors.New("answer lost")
)

// Counters counts the calls of a Table. Refused calls are in neither Reads nor Writes. Duplicates
// are commits with a known operation id, Conflicts those with a failed condition.
type Counters struct {
	Reads            int
	Writes           int
	Refused          int
	DroppedResponses int
	Duplicates       int
	Conflicts        int
}

// Table is the table service. Its zero value is not usable; see New.
type Table struct {
	mu             sync.Mutex
	rows           map[string]infra.Row
	keys           []string
	revision       infra.Revision
	operations     map[string]infra.Commit
	operationOrder []string
	counters       Counters

	down              bool
	delay             time.Duration
	dropNextResponses int
	writeLimit        *rate.Limiter
	readLimit         *rate.Limiter
}

var _ infra.Table = (*Table)(nil)

// New returns an empty Table without faults or limits.
func New() *Table {
	return &Table{rows: make(map[string]infra.Row), operations: make(map[string]infra.Commit)}
}

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := t.begin(ctx, "get", false); err != nil {
		return infra.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.visibleRow(key), nil
}

// Scan implements infra.Table. A limit of 0 means 1000 rows.
func (t *Table) Scan(ctx context.Context, query infra.ScanQuery) (infra.Page, error) {
	if err := t.begin(ctx, "scan", false); err != nil {
		return infra.Page{}, err
	}
	if query.Limit <= 0 {
		query.Limit = defaultLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scan(query), nil
}

func (t *Table) scan(query infra.ScanQuery) infra.Page {
	page := infra.Page{Rows: []infra.Row{}, Revision: t.revision}
	for i := sort.SearchStrings(t.keys, max(query.Prefix, query.From)); i < len(t.keys); i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, query.Prefix) {
			break
		}
		row := t.rows[key]
		if row.Revision <= query.Since || row.Deleted && query.Since == 0 {
			continue
		}
		if len(page.Rows) == query.Limit {
			page.Next = key
			break
		}
		page.Rows = append(page.Rows, copyRow(row))
	}
	return page
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, tx infra.Transaction) (infra.Commit, error) {
	if err := t.begin(ctx, "commit", true); err != nil {
		return infra.Commit{}, err
	}
	if tx.OperationID == "" {
		return infra.Commit{}, refuse("commit", errors.Wrap(ErrBadRequest, "no operation id"))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	commit := t.commitOnce(tx)
	if t.dropNextResponses > 0 {
		t.dropNextResponses--
		t.counters.DroppedResponses++
		return infra.Commit{}, infra.NewError(infra.OutcomeUnknown, "commit", serviceName, errResponseDropped)
	}
	return commit, nil
}

func (t *Table) commitOnce(tx infra.Transaction) infra.Commit {
	if stored, repeated := t.operations[tx.OperationID]; repeated {
		t.counters.Duplicates++
		return stored
	}
	commit := t.commit(tx)
	t.operations[tx.OperationID] = commit
	t.operationOrder = append(t.operationOrder, tx.OperationID)
	if len(t.operationOrder) > maxOperations {
		delete(t.operations, t.operationOrder[0])
		t.operationOrder = t.operationOrder[1:]
	}
	return commit
}

func (t *Table) commit(tx infra.Transaction) infra.Commit {
	var conflicts []infra.Row
	for _, condition := range tx.Conditions {
		if row := t.visibleRow(condition.Key); row.Revision != condition.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		t.counters.Conflicts++
		return infra.Commit{Revision: t.revision, Conflicts: conflicts}
	}
	t.revision++
	for _, write := range tx.Writes {
		t.write(write)
	}
	return infra.Commit{Applied: true, Revision: t.revision}
}

func (t *Table) write(write infra.Write) {
	_, known := t.rows[write.Key]
	if !known {
		i := sort.SearchStrings(t.keys, write.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = write.Key
	}
	row := infra.Row{Key: write.Key, Revision: t.revision, Deleted: write.Delete}
	if !write.Delete {
		row.Value = append([]byte(nil), write.Value...)
	}
	t.rows[write.Key] = row
}

// visibleRow returns the row at key, or an empty row if it is absent or deleted.
func (t *Table) visibleRow(key string) infra.Row {
	row, known := t.rows[key]
	if !known || row.Deleted {
		return infra.Row{Key: key}
	}
	return copyRow(row)
}

func copyRow(row infra.Row) infra.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

func refuse(operation string, cause error) error {
	return infra.NewError(infra.OutcomeNotDone, operation, serviceName, cause)
}
