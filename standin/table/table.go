// Package table is a small stand-in for the platform's transactional table
// service, in memory. It serves platform.Table in the same process and over
// HTTP:
//
//	GET  /v1/rows?key=K                             a platform.Row
//	GET  /v1/scan?prefix=P&since=R&from=K&limit=N   a platform.Page
//	POST /v1/commit                                 a platform.Transaction to a platform.Commit
//
// Status 400, 429 and 503 say that a commit was not done. A lost answer closes
// the connection after the commit.
package table

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/platform"
	"golang.org/x/time/rate"
)

const (
	peer = "table"
	// maxOperations bounds the outcomes that are kept for repeated commits.
	maxOperations = 1 << 18
	defaultLimit  = 1000
)

// The causes of refusals.
var (
	ErrDown       = errors.New("table is down")
	ErrRate       = errors.New("over the rate limit")
	ErrBadRequest = errors.New("bad request")
	errAnswerLost = errors.New("answer lost")
)

// Counters counts the calls that a Table served.
type Counters struct {
	Reads     int
	Writes    int
	Refused   int
	Lost      int
	Repeated  int
	Conflicts int
}

// Table is the table service. Its zero value is not usable; see New.
type Table struct {
	mu         sync.Mutex
	rows       map[string]platform.Row
	keys       []string
	revision   platform.Revision
	operations map[string]platform.Commit
	history    []string
	counters   Counters

	down       bool
	delay      time.Duration
	loseNext   int
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
}

var _ platform.Table = (*Table)(nil)

// New returns an empty Table without faults and limits.
func New() *Table {
	return &Table{rows: make(map[string]platform.Row), operations: make(map[string]platform.Commit)}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.begin(ctx, "get", false); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.present(key), nil
}

// Scan implements platform.Table. A limit of 0 means 1000 rows.
func (t *Table) Scan(ctx context.Context, query platform.ScanQuery) (platform.Page, error) {
	if err := t.begin(ctx, "scan", false); err != nil {
		return platform.Page{}, err
	}
	if query.Limit <= 0 {
		query.Limit = defaultLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scan(query), nil
}

func (t *Table) scan(query platform.ScanQuery) platform.Page {
	page := platform.Page{Rows: []platform.Row{}, Revision: t.revision}
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

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) (platform.Commit, error) {
	if err := t.begin(ctx, "commit", true); err != nil {
		return platform.Commit{}, err
	}
	if tx.OperationID == "" {
		return platform.Commit{}, refuse("commit", errors.Wrap(ErrBadRequest, "no operation id"))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	commit := t.commitOnce(tx)
	if t.loseNext > 0 {
		t.loseNext--
		t.counters.Lost++
		return platform.Commit{}, platform.NewError(platform.OutcomeUnknown, "commit", peer, errAnswerLost)
	}
	return commit, nil
}

func (t *Table) commitOnce(tx platform.Transaction) platform.Commit {
	if first, repeated := t.operations[tx.OperationID]; repeated {
		t.counters.Repeated++
		return first
	}
	commit := t.commit(tx)
	t.operations[tx.OperationID] = commit
	t.history = append(t.history, tx.OperationID)
	if len(t.history) > maxOperations {
		delete(t.operations, t.history[0])
		t.history = t.history[1:]
	}
	return commit
}

func (t *Table) commit(tx platform.Transaction) platform.Commit {
	var conflicts []platform.Row
	for _, condition := range tx.Conditions {
		if row := t.present(condition.Key); row.Revision != condition.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		t.counters.Conflicts++
		return platform.Commit{Revision: t.revision, Conflicts: conflicts}
	}
	t.revision++
	for _, write := range tx.Writes {
		t.write(write)
	}
	return platform.Commit{Applied: true, Revision: t.revision}
}

func (t *Table) write(write platform.Write) {
	_, known := t.rows[write.Key]
	if !known {
		i := sort.SearchStrings(t.keys, write.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = write.Key
	}
	row := platform.Row{Key: write.Key, Revision: t.revision, Deleted: write.Delete}
	if !write.Delete {
		row.Value = append([]byte(nil), write.Value...)
	}
	t.rows[write.Key] = row
}

// present returns the row at key as a reader sees it.
func (t *Table) present(key string) platform.Row {
	row, known := t.rows[key]
	if !known || row.Deleted {
		return platform.Row{Key: key}
	}
	return copyRow(row)
}

func copyRow(row platform.Row) platform.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

func refuse(operation string, cause error) error {
	return platform.NewError(platform.OutcomeNotDone, operation, peer, cause)
}
