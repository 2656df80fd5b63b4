package action

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// maxRecordAttempts bounds the attempts of one Record call. The row of a claim changes at most
// from claimed to unknown to done.
const maxRecordAttempts = 4

// Record writes the outcome of a claim to its row. A nil reply means that the outcome is
// unknown. Agents call it for the outcomes that no entry has acknowledged, and call it again
// after an error. It succeeds if the row holds an outcome of the claim, or belongs to another
// claim or to none.
func (e *Executor) Record(ctx context.Context, claim Claim, reply *backend.Reply) error {
	w := outcomeWrite(claim, reply, e.config.Limits.MaxReplyBytes)
	for range maxRecordAttempts {
		tx, err := w.transaction()
		if err != nil {
			return err
		}
		commit, err := e.committer.commit(ctx, tx)
		if err != nil {
			return errors.Wrap(err, "record outcome")
		}
		var done bool
		if w, done, err = w.afterCommit(commit); done || err != nil {
			return err
		}
	}
	return errors.Newf("record outcome of claim %s: the row keeps changing", claim.ID)
}

// outcomeWrite returns the write that records the outcome of claim.
func outcomeWrite(claim Claim, reply *backend.Reply, maxBody int) rowWrite {
	record := newClaimRecord(claim)
	record.State = StateUnknown
	if reply != nil {
		record = record.withReply(*reply, maxBody)
	}
	return rowWrite{rowKey: RowKey(claim.Workspace, claim.Key), record: record, revision: claim.Revision}
}

// afterCommit reports whether the outcome is settled. If it is not, the returned write is the
// next one to send.
func (w rowWrite) afterCommit(commit infra.Commit) (rowWrite, bool, error) {
	if commit.Applied {
		return w, true, nil
	}
	if len(commit.Conflicts) == 0 {
		return w, false, errors.New("record outcome: not applied without a conflict")
	}
	row := commit.Conflicts[0]
	current, err := DecodeRow(row)
	if err != nil {
		return w, false, err
	}
	retry, result := w.afterConflict(current, row.Revision)
	return retry, result != conflictRetry, nil
}
