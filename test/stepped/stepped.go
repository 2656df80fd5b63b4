// Package stepped makes times as a process reads them after the host's time of day was set.
package stepped

import (
	"time"
	"unsafe"
)

// hasMonotonic and nsecBits describe the first word of a time.Time that holds a reading of the monotonic clock: that
// bit, then the seconds of the time of day, then nsecBits bits of nanoseconds.
const (
	hasMonotonic = 1 << 63
	nsecBits     = 30
)

// Wall returns t with the time of day changed by whole seconds and the reading of the monotonic clock unchanged. It
// panics if t has no such reading.
func Wall(t time.Time, seconds int64) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	if *wall&hasMonotonic == 0 {
		panic("the time has no reading of the monotonic clock")
	}
	*wall += uint64(seconds) << nsecBits
	return t
}
