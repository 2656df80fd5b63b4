package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

// maxDeletesPerCommit bounds the number of rows that one transaction deletes.
const maxDeletesPerCommit = 128

// Compact moves all but the last keep log entries to the object store. It does
// nothing if the log has fewer than 2*keep entries. It first writes the history
// and the state to the object store. It then makes the row config/snapshot name
// that state, and deletes the log rows last. No data is lost if it fails at any
// step or if several hosts run it concurrently. It returns the number of deleted
// rows.
func (s *Store) Compact(ctx context.Context, operationID string, keep int) (int, error) {
	keep = max(keep, 1)
	entries, err := s.scanLog(ctx, 0)
	if err != nil || len(entries) < 2*keep {
		return 0, err
	}
	if err := s.fetchItems(ctx, entries); err != nil {
		return 0, err
	}
	old := entries[:len(entries)-keep]
	if err := s.storeState(ctx, operationID, old); err != nil {
		return 0, err
	}
	return s.deleteLogEntries(ctx, operationID, old)
}

// storeState writes the log entries old and the state after them to the object
// store, and updates the row config/snapshot. It does nothing if the stored state
// already covers old.
func (s *Store) storeState(ctx context.Context, operationID string, old []LogEntry) error {
	row, err := s.table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	base, err := s.storedState(ctx, row)
	if err != nil {
		return err
	}
	last := old[len(old)-1].Revision
	if base.revision >= last {
		return nil
	}
	newEntries := old
	for len(newEntries) > 0 && newEntries[0].Revision <= base.revision {
		newEntries = newEntries[1:]
	}
	state, err := base.withEntries(newEntries)
	if err != nil {
		return err
	}
	suffix := "-" + operationID
	if err := s.putJSON(ctx, objectName(historyPrefix, last, suffix), newEntries); err != nil {
		return err
	}
	name := objectName(snapshotPrefix, last, suffix)
	if err := s.putJSON(ctx, name, state.snapshot()); err != nil {
		return err
	}
	return s.updatePointer(ctx, operationID, row.Revision, snapshotRow{Revision: last, Object: name})
}

func (s *Store) storedState(ctx context.Context, row infra.Row) (*view, error) {
	if row.Revision == 0 {
		return emptyView(), nil
	}
	pointer, err := decode[snapshotRow](snapshotKey, row.Value)
	if err != nil {
		return nil, err
	}
	return s.readSnapshot(ctx, pointer.Object)
}

// updatePointer makes the row config/snapshot name the new state. It returns errHeadChanged if
// another host updated the row first.
func (s *Store) updatePointer(ctx context.Context, operationID string, at infra.Revision, pointer snapshotRow) error {
	data, err := json.Marshal(pointer)
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	commit, err := s.commit(ctx, infra.Transaction{
		OperationID: fmt.Sprintf("config/compact/%s/%d", operationID, pointer.Revision),
		Conditions:  []infra.Condition{{Key: snapshotKey, Revision: at}},
		Writes:      []infra.Write{{Key: snapshotKey, Value: data}},
	})
	if err != nil {
		return commitError(operationID, err)
	}
	if !commit.Applied {
		return errHeadChanged
	}
	return nil
}

// deleteLogEntries deletes the log rows of old. The stored state must cover them.
func (s *Store) deleteLogEntries(ctx context.Context, operationID string, old []LogEntry) (int, error) {
	deleted := 0
	for start := 0; start < len(old); start += maxDeletesPerCommit {
		tx := infra.Transaction{OperationID: fmt.Sprintf("config/compact/%s/delete/%d", operationID, old[start].Revision)}
		for _, e := range old[start:min(start+maxDeletesPerCommit, len(old))] {
			tx.Writes = append(tx.Writes, infra.Write{Key: logKey(e.Revision), Delete: true})
		}
		if _, err := s.commit(ctx, tx); err != nil {
			return deleted, commitError(operationID, err)
		}
		deleted += len(tx.Writes)
	}
	return deleted, nil
}

func (s *Store) putJSON(ctx context.Context, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	return s.putOnce(ctx, object{name, data})
}
