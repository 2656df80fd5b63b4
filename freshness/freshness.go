// Package freshness bounds the age of the configuration that a process uses, so that it stops
// accepting a revoked key even if it does not receive the revocation.
package freshness

import "time"

// Instant is a reading of a monotonic clock that advances while the host is suspended.
type Instant time.Duration

// Bound holds the latest time at which the configuration in force is known to have been the
// newest. The zero Bound has no such time. It is not safe for concurrent use.
//
// Invariant: at asOf, by the local clock, the store held no newer configuration than the process.
type Bound struct {
	asOf        Instant
	clockOffset time.Duration // lower bound of the local time minus the store's time
	offsetKnown bool
	valid       bool
}

// Observe records a response of the store that shows no newer configuration. sent and received
// are the local times of the call, and storeNow is the store's monotonic clock when it responded.
// A call may wait at the store, so its response can be valid for a later time than sent.
func (b *Bound) Observe(sent, received Instant, storeNow time.Duration) {
	b.ObserveClock(sent, received, storeNow)
	asOf := max(sent, Instant(storeNow+b.clockOffset))
	if !b.valid || asOf > b.asOf {
		b.asOf = asOf
	}
	b.valid = true
}

// ObserveClock records a response of the store that does not show whether there is a newer
// configuration. It is used only for the offset between the clocks.
func (b *Bound) ObserveClock(sent, received Instant, storeNow time.Duration) {
	minOffset := time.Duration(sent) - storeNow
	maxOffset := time.Duration(received) - storeNow
	if !b.offsetKnown || minOffset > b.clockOffset || b.clockOffset > maxOffset {
		b.clockOffset, b.offsetKnown = minOffset, true
	}
}

// ClockRestarted records that the store's clock may differ from the one observed before.
func (b *Bound) ClockRestarted() { b.offsetKnown = false }

// Invalidate records that the configuration in force is known to be outdated.
func (b *Bound) Invalidate() { b.valid = false }

// ObservePeer records a peer's report that the store held no newer configuration at storeNow of
// the store's clock. It returns the local time of that. The report is ignored and the result false
// until this process has read the store itself, since the offset between the clocks is unknown
// before. The delay of the report does not matter, since it counts from storeNow and not from its
// arrival.
func (b *Bound) ObservePeer(storeNow time.Duration) (asOf Instant, ok bool) {
	if !b.valid || !b.offsetKnown {
		return 0, false
	}
	asOf = Instant(storeNow + b.clockOffset)
	b.asOf = max(b.asOf, asOf)
	return asOf, true
}

// Age returns an upper bound of the time for which the configuration may have been outdated. It
// returns false if there was no observation.
func (b *Bound) Age(now Instant) (time.Duration, bool) {
	if !b.valid {
		return 0, false
	}
	return time.Duration(now - b.asOf), true
}
