package rollout

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/infra"
)

// setPending sets the record to write next. It replaces a pending record.
func (m *Move) setPending(next Record) {
	m.recordCount++
	next.Fencing = m.fencing
	next.Sequence = m.record.Sequence + 1
	next.Operation = operationID(m.plan.ID, m.fencing, m.recordCount)
	m.pending = &next
	m.nextWrite = time.Time{}
}

// sendPending returns the pending record's transaction if it is due.
func (m *Move) sendPending(now time.Time) []Action {
	if m.pending == nil || m.operationInFlight != "" || now.Before(m.nextWrite) {
		return nil
	}
	tx, err := m.pending.transaction(m.plan.ID, m.revision)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "move %s", m.plan.ID))
	}
	m.operationInFlight = tx.OperationID
	return []Action{WriteRecord{Transaction: tx}}
}

// recordDone handles the result of the write in flight. It ignores results of other writes.
func (m *Move) recordDone(now time.Time, e RecordDone) []Action {
	if e.OperationID != m.operationInFlight {
		return nil
	}
	m.operationInFlight = ""
	switch {
	case e.Err != nil:
		m.nextWrite = now.Add(recordRetryInterval)
	case e.Commit.Applied:
		return m.applyRecord(now, e.OperationID, e.Commit.Revision)
	default:
		return m.resolveConflict(now, e)
	}
	return nil
}

// applyRecord adopts the record that is now in the table. If it was replaced while its write
// was in flight, only the revision changes.
func (m *Move) applyRecord(now time.Time, operation string, revision infra.Revision) []Action {
	m.revision = revision
	if m.pending == nil || m.pending.Operation != operation {
		return nil
	}
	before := m.state()
	m.record = *m.pending
	m.pending = nil
	if m.record.State != before {
		m.transition(eventTo[m.record.State])
	}
	return []Action{m.nextShares(now)}
}

// resolveConflict handles the row that conflicts with a write. The row is either this holder's
// own write, whose reply was lost, or that of another holder.
func (m *Move) resolveConflict(now time.Time, e RecordDone) []Action {
	for _, row := range e.Commit.Conflicts {
		if row.Key != RecordKey(m.plan.ID) {
			continue
		}
		found, err := DecodeRecord(row)
		if err != nil || found.Fencing > m.fencing {
			m.deposed = true
			return nil
		}
		if found.Operation == e.OperationID {
			return m.applyRecord(now, e.OperationID, row.Revision)
		}
		m.adopt(found, row.Revision)
	}
	return nil
}

// adopt continues from a record found in the table. A stop on either side is kept.
func (m *Move) adopt(found Record, revision infra.Revision) {
	stopped := m.stopped()
	m.record = found
	m.revision = revision
	if stopped && !found.Stopped() {
		m.setPending(m.revertingRecord())
		return
	}
	m.machine.SetState(string(found.State))
	m.setPending(found)
}
