package loadshare

import "time"

const (
	// readSlack is the fraction of the interval by which a read may be late before another entry
	// reads instead.
	readSlack = 0.3
	// readStagger is the delay between the slots of two successive ranks, so that only the next
	// entry reads if the first has failed.
	readStagger = 120 * time.Millisecond
	// maxStaggeredRank is the last rank with a slot of its own. Higher ranks share its slot.
	maxStaggeredRank = 5
)

// minInterval is the least interval that IntervalWithin returns.
const minInterval = 100 * time.Millisecond

// IntervalWithin returns the longest interval at which each entry learns of a change within limit, also if only
// the entry of the last rank can read. reserve is the part of limit that the read itself and the reports to the
// others may take.
func IntervalWithin(limit, reserve time.Duration) time.Duration {
	left := limit - reserve - maxStaggeredRank*readStagger
	return max(minInterval, time.Duration(float64(left)/(1+readSlack)))
}

// ReadSchedule decides when an entry reads from the store. The entry with rank 0 reads at each
// interval and sends the result to the others. The next in rank reads if no result arrived in
// time. It is a deterministic decision type: times are arguments, and it does no I/O.
type ReadSchedule struct {
	interval time.Duration
	lastRead time.Time
}

// NewReadSchedule returns a ReadSchedule with one read per interval.
func NewReadSchedule(interval time.Duration) *ReadSchedule { return &ReadSchedule{interval: interval} }

// SetInterval replaces the interval.
func (s *ReadSchedule) SetInterval(interval time.Duration) { s.interval = interval }

// RecordRead records a read by this entry or a peer, of what the store held at the given time. It has no
// effect if a later one is recorded.
func (s *ReadSchedule) RecordRead(at time.Time) {
	if at.After(s.lastRead) {
		s.lastRead = at
	}
}

// Due returns when the entry of the given rank reads next. It returns the zero time if no read was
// recorded, so that the entry reads at once.
func (s *ReadSchedule) Due(rank int) time.Time {
	if s.lastRead.IsZero() {
		return s.lastRead
	}
	if rank == 0 {
		return s.lastRead.Add(s.interval)
	}
	late := time.Duration(readSlack*float64(s.interval)) + time.Duration(min(rank, maxStaggeredRank))*readStagger
	return s.lastRead.Add(s.interval + late)
}
