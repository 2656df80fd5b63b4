// Package storeread sends a read of the store again while it is not answered. A kept connection may
// have gone silent, or the store may have dropped a call, and only the missing answer shows it. A read
// that waits for its timeout then uses up the time within which its result must take effect.
package storeread

import "time"

const (
	// FirstDelay is the time without an answer after which a read is sent a second time. Each further
	// delay is longer by delayStep.
	FirstDelay = 300 * time.Millisecond
	delayStep  = 200 * time.Millisecond
	// transferTime is the time that an answer may take after its first byte, before the read is sent
	// again. A large answer on a slow link would otherwise compete with its own repetition.
	transferTime = time.Second
	// maxAttempts bounds the attempts of one read.
	maxAttempts = 4
)

// Attempts decides when one read is sent again. It is a deterministic decision type: times are
// arguments, and it does no I/O. It is not safe for concurrent use.
//
// Invariant: while no attempt is being answered and fewer than maxAttempts were sent, the next one is
// due at most FirstDelay plus delayStep for each earlier repetition after the last, or after the
// store's wait if that was the first.
type Attempts struct {
	wait time.Duration
	sent int
	next time.Time
}

// NewAttempts returns the Attempts of a read whose first attempt the store may hold for wait, until
// there is something to answer.
func NewAttempts(wait time.Duration) *Attempts { return &Attempts{wait: wait} }

// Sent records that an attempt was sent.
func (a *Attempts) Sent(now time.Time) {
	delay := FirstDelay + time.Duration(a.sent)*delayStep
	if a.sent == 0 {
		delay += a.wait
	}
	a.sent++
	a.next = now.Add(delay)
}

// AnswerBegan records that an answer has begun to arrive.
func (a *Attempts) AnswerBegan(now time.Time) {
	if end := now.Add(transferTime); end.After(a.next) {
		a.next = end
	}
}

// Due returns when the next attempt is sent if no answer is complete before. It returns false if no
// more are.
func (a *Attempts) Due() (time.Time, bool) { return a.next, a.sent < maxAttempts }
