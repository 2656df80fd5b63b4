package lease

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Config describes one process's participation in one lease.
type Config struct {
	// Scope is what the lease covers. The key of the lease row is Key(Scope).
	Scope string
	// Owner must be unique to one process start.
	Owner string
	// Duration is the lifetime of the lease after its last renewal.
	Duration time.Duration
	// Margin is subtracted from Duration in the holder's own view. It covers the difference in
	// rate of two clocks over Duration.
	Margin time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between reads while another process holds the lease.
	PollInterval time.Duration
	// RetryInterval is the time before a failed read or commit is retried.
	RetryInterval time.Duration
}

// The default times of a lease. The divisors apply to Config.Duration.
const (
	DefaultDuration = 6 * time.Second
	marginDivisor   = 6
	renewDivisor    = 3
	retryDivisor    = 12
)

// WithDefaults returns c with defaults for its zero durations.
func (c Config) WithDefaults() Config {
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.Margin, c.Duration/marginDivisor)
	setDefault(&c.RenewInterval, c.Duration/renewDivisor)
	setDefault(&c.PollInterval, c.Duration/renewDivisor)
	setDefault(&c.RetryInterval, c.Duration/retryDivisor)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Validate returns an error if c cannot give a safe lease.
func (c Config) Validate() error {
	if c.Scope == "" || c.Owner == "" {
		return errors.New("lease: scope and owner must be set")
	}
	if c.Duration <= 0 || c.Margin <= 0 || c.RenewInterval <= 0 || c.PollInterval <= 0 || c.RetryInterval <= 0 {
		return errors.New("lease: durations must be positive")
	}
	if c.RenewInterval+c.Margin >= c.Duration {
		return errors.New("lease: renew interval plus margin must be shorter than the duration")
	}
	return nil
}

type role uint8

const (
	roleWaiting role = iota
	roleHolding
	roleStopped
)

// pending is a transaction that is to be sent, or was sent and has no known outcome. Its condition
// is the revision that the row must still have.
type pending struct {
	operation string
	condition infra.Revision
	record    Record
	firstSent time.Time
}

// Holder is the deterministic core of one process's participation in a lease. It is not safe for
// concurrent use. A copy of a Holder is an independent Holder.
type Holder struct {
	config      Config
	role        role
	inFlight    bool
	nextAttempt time.Time
	operations  uint64
	pending     pending

	// lastRecord and revision are those of the last row read or written. The revision was first
	// seen at revisionSeenAt.
	lastRecord     Record
	revision       infra.Revision
	revisionSeenAt time.Time

	fencing    wigeonfork.FencingNumber
	validUntil time.Time
	renewAt    time.Time
}

// NewHolder returns a Holder that waits for the lease.
func NewHolder(config Config) (*Holder, error) {
	config = config.WithDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Holder{config: config}, nil
}

// Holds returns the fencing number for an order that is sent at now, and whether the lease is
// held. The lease ends when it expires by this process's own clock, even if Step has not been
// called since.
func (h *Holder) Holds(now time.Time) (wigeonfork.FencingNumber, bool) {
	if h.role != roleHolding || !now.Before(h.validUntil) {
		return 0, false
	}
	return h.fencing, true
}

// Step processes one event and returns the actions to perform.
func (h *Holder) Step(now time.Time, event Event) []Action {
	actions := h.expire(now)
	switch e := event.(type) {
	case ReadDone:
		h.inFlight = false
		h.finishRead(now, e)
	case CommitDone:
		h.inFlight = false
		actions = append(actions, h.finishCommit(now, e)...)
	case ReleaseRequested:
		actions = append(actions, h.release(now)...)
	}
	return append(actions, h.nextAction(now)...)
}

// expire ends the holding role once the lease has expired.
func (h *Holder) expire(now time.Time) []Action {
	if h.role != roleHolding || now.Before(h.validUntil) {
		return nil
	}
	h.pending = pending{}
	return h.loseLease()
}

func (h *Holder) loseLease() []Action {
	h.role = roleWaiting
	h.nextAttempt = time.Time{}
	return []Action{Lost{Fencing: h.fencing}}
}

func (h *Holder) finishRead(now time.Time, e ReadDone) {
	if e.Err != nil {
		h.nextAttempt = now.Add(h.config.RetryInterval)
		return
	}
	if !h.observe(now, e.Row) {
		h.nextAttempt = now.Add(h.config.PollInterval)
		return
	}
	if h.role == roleWaiting && h.claimable(now) {
		h.prepareCommit(now, Record{Fencing: h.lastRecord.Fencing + 1})
		h.nextAttempt = now
		return
	}
	h.nextAttempt = now.Add(h.config.PollInterval)
}

// observe records the row and when its revision was first seen. It returns false for a row that
// cannot be decoded. Such a row is never taken over.
func (h *Holder) observe(now time.Time, row infra.Row) bool {
	record, err := Decode(row)
	if err != nil {
		return false
	}
	if row.Revision != h.revision || h.revisionSeenAt.IsZero() {
		h.revisionSeenAt = now
	}
	h.lastRecord = record
	h.revision = row.Revision
	return true
}

// claimable reports whether the observed row may be replaced. The previous holder's view of the
// lease started before its row was first seen here, so it ends before Duration has passed here.
func (h *Holder) claimable(now time.Time) bool {
	if h.revision == 0 || h.lastRecord.Released || h.lastRecord.Owner == h.config.Owner {
		return true
	}
	return now.Sub(h.revisionSeenAt) >= h.lastRecord.Duration
}

// prepareCommit makes the write of record the pending transaction.
func (h *Holder) prepareCommit(now time.Time, record Record) {
	h.operations++
	record.Owner = h.config.Owner
	record.Duration = h.config.Duration
	record.Operation = fmt.Sprintf("%s/%s/%d", Key(h.config.Scope), h.config.Owner, h.operations)
	h.pending = pending{
		operation: record.Operation,
		condition: h.revision,
		record:    record,
		firstSent: now,
	}
}

func (h *Holder) finishCommit(now time.Time, e CommitDone) []Action {
	if h.pending.operation == "" || e.OperationID != h.pending.operation {
		return nil
	}
	if e.Err != nil {
		h.failCommit(now, infra.OutcomeOf(e.Err))
		return nil
	}
	if e.Commit.Applied {
		return h.commitApplied(now, e.Commit.Revision)
	}
	return h.resolveConflict(now, e.Commit)
}

// failCommit keeps a transaction whose outcome is unknown, to send it again under its operation
// id. It drops one that was certainly not applied.
func (h *Holder) failCommit(now time.Time, outcome infra.Outcome) {
	h.nextAttempt = now.Add(h.config.RetryInterval)
	if outcome == infra.OutcomeNotDone {
		h.pending = pending{}
	}
}

// resolveConflict handles a transaction that was reported as not applied. The table may have
// applied it earlier and dropped its operation id since. The row then names the operation. A
// release that conflicts with an earlier renewal by this owner is prepared again.
func (h *Holder) resolveConflict(now time.Time, commit infra.Commit) []Action {
	operation := h.pending.operation
	for _, row := range commit.Conflicts {
		if row.Key != Key(h.config.Scope) || !h.observe(now, row) {
			continue
		}
		if h.lastRecord.Operation == operation {
			return h.commitApplied(now, row.Revision)
		}
	}
	wasRelease := h.pending.record.Released
	h.pending = pending{}
	if h.role == roleHolding {
		return h.loseLease()
	}
	if wasRelease && h.lastRecord.Owner == h.config.Owner {
		h.prepareCommit(now, Record{Fencing: h.lastRecord.Fencing, Released: true})
		h.nextAttempt = now
		return nil
	}
	h.nextAttempt = now.Add(h.config.PollInterval)
	return nil
}

// commitApplied records that the pending transaction was applied.
func (h *Holder) commitApplied(now time.Time, revision infra.Revision) []Action {
	done := h.pending
	h.pending = pending{}
	h.lastRecord = done.record
	h.revision = revision
	h.revisionSeenAt = now
	if done.record.Released {
		return nil
	}
	wasHolding := h.role == roleHolding
	h.validUntil = done.firstSent.Add(h.config.Duration - h.config.Margin)
	h.renewAt = done.firstSent.Add(h.config.RenewInterval)
	h.fencing = done.record.Fencing
	if wasHolding || !now.Before(h.validUntil) {
		return nil
	}
	h.role = roleHolding
	return []Action{Acquired{Fencing: h.fencing}}
}

// release ends the lease at once and prepares the transaction that marks the row as released.
func (h *Holder) release(now time.Time) []Action {
	if h.role == roleStopped {
		return nil
	}
	wasHolding := h.role == roleHolding
	h.role = roleStopped
	h.pending = pending{}
	if !wasHolding {
		return nil
	}
	h.prepareCommit(now, Record{Fencing: h.fencing, Released: true})
	h.nextAttempt = now
	return []Action{Lost{Fencing: h.fencing}}
}

// nextAction returns the next read or commit if it is due.
func (h *Holder) nextAction(now time.Time) []Action {
	if h.inFlight {
		return nil
	}
	h.dropExpiredPending(now)
	if h.pending.operation == "" && h.role == roleHolding && !now.Before(h.renewAt) && !now.Before(h.nextAttempt) {
		h.prepareCommit(now, Record{Fencing: h.fencing})
		h.nextAttempt = now
	}
	if now.Before(h.nextAttempt) {
		return nil
	}
	if h.pending.operation != "" {
		h.inFlight = true
		return []Action{Commit{Transaction: h.transaction()}}
	}
	if h.role == roleWaiting {
		h.inFlight = true
		return []Action{Read{Key: Key(h.config.Scope)}}
	}
	return nil
}

// dropExpiredPending drops a transaction that could no longer give a valid lease. The next read
// shows whether it was applied.
func (h *Holder) dropExpiredPending(now time.Time) {
	if h.pending.operation == "" {
		return
	}
	if now.Before(h.pending.firstSent.Add(h.config.Duration - h.config.Margin)) {
		return
	}
	h.pending = pending{}
}

func (h *Holder) transaction() infra.Transaction {
	key := Key(h.config.Scope)
	return infra.Transaction{
		OperationID: h.pending.operation,
		Conditions:  []infra.Condition{{Key: key, Revision: h.pending.condition}},
		Writes:      []infra.Write{{Key: key, Value: h.pending.record.Encode()}},
	}
}

// Released reports whether the holder has stopped and has nothing left to send.
func (h *Holder) Released() bool {
	return h.role == roleStopped && !h.inFlight && h.pending.operation == ""
}

// NextStep returns the time by which Step must be called again if there is no other event.
func (h *Holder) NextStep(now time.Time) time.Time {
	next := now.Add(h.config.RetryInterval)
	for _, at := range []time.Time{h.nextAttempt, h.renewAt, h.validUntil} {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}
