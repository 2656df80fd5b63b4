// Package freshness bounds the age of the configuration that a process acts on,
// so that a revoked key stops being honoured even where nothing is heard of the
// revocation.
package freshness

import "time"

// Instant is a time on a clock that goes on while the host is suspended.
type Instant time.Duration

// Bound knows up to which time the configuration in force is proved to have been
// the newest one. The zero Bound has no proof. It is not safe for concurrent use.
//
// Invariant: at asOf, by the local clock, the store held no newer configuration
// than the one that the process knows.
type Bound struct {
	asOf        Instant
	clockOffset time.Duration // least possible local time of the store's zero
	valid       bool
}

// Observe takes in an answer of the store that shows nothing newer than what is
// known. sent and received are the local times of the call; storeNow is the
// store's steady clock when it answered. A call may wait at the store, so that
// the answer proves more than the time at which the call was sent.
func (b *Bound) Observe(sent, received Instant, storeNow time.Duration) {
	minOffset := time.Duration(sent) - storeNow
	maxOffset := time.Duration(received) - storeNow
	if !b.valid || minOffset > b.clockOffset || b.clockOffset > maxOffset {
		b.clockOffset = minOffset
	}
	asOf := max(sent, Instant(storeNow+b.clockOffset))
	if !b.valid || asOf > b.asOf {
		b.asOf = asOf
	}
	b.valid = true
}

// ObservePeer takes in another process's word that nothing newer was there when
// the store's clock showed storeNow. It counts only once this process has read the
// store itself, since it needs the relation of the clocks; however late the word
// comes, it proves no more than it says.
func (b *Bound) ObservePeer(storeNow time.Duration) {
	if asOf := Instant(storeNow + b.clockOffset); b.valid && asOf > b.asOf {
		b.asOf = asOf
	}
}

// Age returns how old the proof is, and false if there is none.
func (b *Bound) Age(now Instant) (time.Duration, bool) {
	if !b.valid {
		return 0, false
	}
	return time.Duration(now - b.asOf), true
}
