package action

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// PruneBatch returns a transaction that deletes up to limit rows of page whose keys are older
// than the retention plus its margin. The second result reports whether more such rows may
// exist. The page must come from a scan under WorkspacePrefix: its rows are ordered by issue
// time, so the search ends at the first row that is too recent. The transaction fails as a
// whole if a row has changed since the scan; the caller then has to scan again.
func PruneBatch(now time.Time, limits Limits, page infra.Page, limit int, operationID string) (infra.Transaction, bool) {
	tx := infra.Transaction{OperationID: operationID}
	cutoff := now.Add(-limits.Retention - limits.PruneMargin)
	for _, row := range page.Rows {
		if len(tx.Writes) == limit {
			return tx, true
		}
		key := Key(row.Key[strings.LastIndexByte(row.Key, '/')+1:])
		issued := key.IssuedAt()
		if issued.IsZero() || row.Deleted {
			continue
		}
		if !issued.Before(cutoff) {
			return tx, false
		}
		tx.Conditions = append(tx.Conditions, infra.Condition{Key: row.Key, Revision: row.Revision})
		tx.Writes = append(tx.Writes, infra.Write{Key: row.Key, Delete: true})
	}
	return tx, page.Next != ""
}

// Prune deletes the rows of workspace whose keys have expired and returns the number of deleted
// rows. It reads at most batches pages of at most limit rows each and deletes the rows of each page
// in one transaction. After a conflict it reads the page again. The next call continues. Any process
// may run it at any time.
func (e *Executor) Prune(ctx context.Context, workspace wigeonfork.Workspace, limit, batches int) (int, error) {
	deleted := 0
	query := infra.ScanQuery{Prefix: WorkspacePrefix(workspace), Limit: limit}
	for range batches {
		n, next, err := e.prunePage(ctx, query)
		deleted += n
		if err != nil || next == "" {
			return deleted, err
		}
		query.From = next
	}
	return deleted, nil
}

// prunePage prunes the page that query selects. It returns the number of deleted rows and the key
// to continue from, or "" if no later row has expired.
func (e *Executor) prunePage(ctx context.Context, query infra.ScanQuery) (int, string, error) {
	page, err := e.config.Table.Scan(ctx, query)
	if err != nil {
		return 0, "", errors.Wrap(err, "scan actions")
	}
	operationID := "prune/" + string(NewClaimID())
	tx, more := PruneBatch(e.config.Now(), e.config.Limits, page, query.Limit, operationID)
	next := ""
	if more {
		next = page.Next
	}
	if len(tx.Writes) == 0 {
		return 0, next, nil
	}
	commit, err := e.config.Table.Commit(ctx, tx)
	if err != nil {
		return 0, "", errors.Wrap(err, "prune actions")
	}
	if !commit.Applied {
		return 0, page.Rows[0].Key, nil
	}
	return len(tx.Writes), next, nil
}
