package lease

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Config describes one process's interest in one lease.
type Config struct {
	Scope string
	// Owner must be unique to this process start.
	Owner string
	// Duration is the life of the lease after its last renewal.
	Duration time.Duration
	// Margin is taken off the holder's own view of Duration. It covers the
	// difference in the rate of two clocks over Duration.
	Margin time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between reads while another process holds.
	PollInterval time.Duration
	// RetryInterval is the time before a failed read or commit is repeated.
	RetryInterval time.Duration
}

// Default times of a lease.
const (
	DefaultDuration = 6 * time.Second
	marginShare     = 6
	renewShare      = 3
	retryShare      = 12
)

// WithDefaults returns c with its unset times filled in.
func (c Config) WithDefaults() Config {
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.Margin, c.Duration/marginShare)
	setDefault(&c.RenewInterval, c.Duration/renewShare)
	setDefault(&c.PollInterval, c.Duration/renewShare)
	setDefault(&c.RetryInterval, c.Duration/retryShare)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Validate fails if c cannot give a safe lease.
func (c Config) Validate() error {
	if c.Scope == "" || c.Owner == "" {
		return errors.New("lease: scope and owner must be set")
	}
	if c.Duration <= 0 || c.Margin <= 0 || c.RenewInterval <= 0 || c.PollInterval <= 0 || c.RetryInterval <= 0 {
		return errors.New("lease: times must be positive")
	}
	if c.RenewInterval+c.Margin >= c.Duration {
		return errors.New("lease: renew interval and margin must be shorter than the duration together")
	}
	return nil
}

type role uint8

const (
	roleWaiting role = iota
	roleHolding
	roleStopped
)

// pending is a transaction whose outcome is not known yet.
type pending struct {
	operation string
	condition infra.Revision
	record    Record
	firstSent time.Time
}

// Holder is the deterministic core of one process's part in a lease. It is not
// safe for concurrent use. A copy of a Holder is an independent Holder.
type Holder struct {
	config     Config
	role       role
	busy       bool
	nextTry    time.Time
	operations uint64
	pending    pending

	// seen is the last row read, seenAt when its revision was first received.
	seen     Record
	revision infra.Revision
	seenAt   time.Time

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

// Holds returns the fencing number to put on an order that leaves at now. It
// is false from the moment the lease has lapsed by this process's own clock,
// whether or not Step has been called since.
func (h *Holder) Holds(now time.Time) (wigeonfork.FencingNumber, bool) {
	if h.role != roleHolding || !now.Before(h.validUntil) {
		return 0, false
	}
	return h.fencing, true
}

// Step takes one event and returns what has to be done.
func (h *Holder) Step(now time.Time, event Event) []Action {
	actions := h.lapse(now)
	switch e := event.(type) {
	case ReadDone:
		h.busy = false
		h.finishRead(now, e)
	case CommitDone:
		h.busy = false
		actions = append(actions, h.finishCommit(now, e)...)
	case ReleaseRequested:
		actions = append(actions, h.release(now)...)
	}
	return append(actions, h.proceed(now)...)
}

// lapse ends the holding role once its time is over.
func (h *Holder) lapse(now time.Time) []Action {
	if h.role != roleHolding || now.Before(h.validUntil) {
		return nil
	}
	h.pending = pending{}
	return h.lose()
}

func (h *Holder) lose() []Action {
	h.role = roleWaiting
	h.nextTry = time.Time{}
	return []Action{Lost{Fencing: h.fencing}}
}

func (h *Holder) finishRead(now time.Time, e ReadDone) {
	if e.Err != nil {
		h.nextTry = now.Add(h.config.RetryInterval)
		return
	}
	if !h.observe(now, e.Row) {
		h.nextTry = now.Add(h.config.PollInterval)
		return
	}
	if h.role == roleWaiting && h.claimable(now) {
		h.begin(now, Record{Fencing: h.seen.Fencing + 1})
		h.nextTry = now
		return
	}
	h.nextTry = now.Add(h.config.PollInterval)
}

// observe notes the row and when its revision was first received. It is false
// for a row that cannot be read, which is never taken over.
func (h *Holder) observe(now time.Time, row infra.Row) bool {
	record, err := Decode(row)
	if err != nil {
		return false
	}
	if row.Revision != h.revision || h.seenAt.IsZero() {
		h.seenAt = now
	}
	h.seen = record
	h.revision = row.Revision
	return true
}

// claimable says whether the row seen may be replaced. The former holder's own
// view of the lease began before its row was first received here, so it ends
// before Duration has passed here.
func (h *Holder) claimable(now time.Time) bool {
	if h.revision == 0 || h.seen.Released || h.seen.Owner == h.config.Owner {
		return true
	}
	return now.Sub(h.seenAt) >= h.seen.Duration
}

// begin makes record the pending transaction.
func (h *Holder) begin(now time.Time, record Record) {
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
		return h.written(now, e.Commit.Revision)
	}
	return h.conflict(now, e.Commit)
}

// failCommit keeps a transaction whose outcome is not known, to send it again
// under its operation id. One that was not done is made anew.
func (h *Holder) failCommit(now time.Time, outcome infra.Outcome) {
	h.nextTry = now.Add(h.config.RetryInterval)
	if outcome == infra.OutcomeNotDone {
		h.pending = pending{}
	}
}

// conflict clears up a transaction that did not apply. The table may have
// forgotten the operation id of one that did; the row then names it.
func (h *Holder) conflict(now time.Time, commit infra.Commit) []Action {
	operation := h.pending.operation
	for _, row := range commit.Conflicts {
		if row.Key != Key(h.config.Scope) || !h.observe(now, row) {
			continue
		}
		if h.seen.Operation == operation {
			return h.written(now, row.Revision)
		}
	}
	wasRelease := h.pending.record.Released
	h.pending = pending{}
	if h.role == roleHolding {
		return h.lose()
	}
	if wasRelease && h.seen.Owner == h.config.Owner {
		h.begin(now, Record{Fencing: h.seen.Fencing, Released: true})
		h.nextTry = now
		return nil
	}
	h.nextTry = now.Add(h.config.PollInterval)
	return nil
}

// written notes that the pending transaction is in the table.
func (h *Holder) written(now time.Time, revision infra.Revision) []Action {
	done := h.pending
	h.pending = pending{}
	h.seen = done.record
	h.revision = revision
	h.seenAt = now
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

// release gives the lease back. The lease is lost at once; the row follows.
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
	h.begin(now, Record{Fencing: h.fencing, Released: true})
	h.nextTry = now
	return []Action{Lost{Fencing: h.fencing}}
}

// proceed asks for the next read or transaction if it is due.
func (h *Holder) proceed(now time.Time) []Action {
	if h.busy {
		return nil
	}
	h.dropLatePending(now)
	if h.pending.operation == "" && h.role == roleHolding && !now.Before(h.renewAt) && !now.Before(h.nextTry) {
		h.begin(now, Record{Fencing: h.fencing})
		h.nextTry = now
	}
	if now.Before(h.nextTry) {
		return nil
	}
	if h.pending.operation != "" {
		h.busy = true
		return []Action{Commit{Transaction: h.transaction()}}
	}
	if h.role == roleWaiting {
		h.busy = true
		return []Action{Read{Key: Key(h.config.Scope)}}
	}
	return nil
}

// dropLatePending gives up a transaction that could no longer give a valid
// lease; the next read shows whether it was applied.
func (h *Holder) dropLatePending(now time.Time) {
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

// Released says that the holder has stopped and has nothing left to send.
func (h *Holder) Released() bool {
	return h.role == roleStopped && !h.busy && h.pending.operation == ""
}

// NextStep returns when Step is due without an outside event.
func (h *Holder) NextStep(now time.Time) time.Time {
	next := now.Add(h.config.RetryInterval)
	for _, at := range []time.Time{h.nextTry, h.renewAt, h.validUntil} {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}
