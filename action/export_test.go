package action

import (
	"strconv"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
)

// AppendState appends all state that determines what c does next.
func (c *Coordinator) AppendState(buf []byte) []byte {
	num := func(n int64) {
		buf = strconv.AppendInt(buf, n, 36)
		buf = append(buf, ' ')
	}
	flag := func(set bool) {
		if set {
			buf = append(buf, '1')
			return
		}
		buf = append(buf, '0')
	}
	text := func(s string) {
		buf = append(buf, s...)
		buf = append(buf, ' ')
	}
	num(int64(c.phase))
	num(int64(c.attempts))
	flag(c.pending)
	flag(c.dispatched)
	flag(c.answered)
	flag(c.rowKnown)
	flag(c.notRunProven)
	flag(c.wakeAt.IsZero())
	text(string(c.ownClaim.ID))
	num(c.ownClaim.Expires.UnixNano())
	num(int64(c.ownClaim.Revision))
	num(int64(c.claimRevision))
	text(string(c.row.State))
	text(string(c.row.ClaimID))
	num(int64(c.rowRevision))
	text(c.pendingWrite.operationID())
	num(c.claimDeadline.UnixNano())
	if c.refusal != nil {
		text(string(c.refusal.Code))
	}
	return buf
}

// RecordOutcome does the same as Executor.Record on a table that is given by apply.
func RecordOutcome(claim Claim, reply *backend.Reply, apply func(infra.Transaction) infra.Commit) {
	w := outcomeWrite(claim, reply, DefaultLimits().MaxReplyBytes)
	for range maxRecordAttempts {
		tx, err := w.transaction()
		if err != nil {
			panic(err)
		}
		var done bool
		w, done, err = w.afterCommit(apply(tx))
		if done || err != nil {
			return
		}
	}
}
