package loadshare

import "time"

const (
	// readSlack is the part of the interval by which a reading may be late before
	// another entry reads in its place.
	readSlack = 0.3
	// readStagger is the time between the turns of two entries, so that only the
	// next one reads where the first has failed.
	readStagger = 120 * time.Millisecond
	// maxStaggeredRank bounds the ranks that are staggered.
	maxStaggeredRank = 5
)

// ReadSchedule decides when an entry reads from the store by itself. The entry with rank 0
// reads at each interval and tells the others; the next in rank reads if nothing
// was told in time. It is a deterministic decision type.
type ReadSchedule struct {
	interval time.Duration
	lastRead time.Time
}

// NewReadSchedule returns a Turn for a reading at each interval.
func NewReadSchedule(interval time.Duration) *ReadSchedule { return &ReadSchedule{interval: interval} }

// RecordRead records a reading, of this entry or of a peer.
func (t *ReadSchedule) RecordRead(now time.Time) { t.lastRead = now }

// Due returns when the entry with a rank reads next.
func (t *ReadSchedule) Due(rank int) time.Time {
	if t.lastRead.IsZero() {
		return t.lastRead
	}
	if rank == 0 {
		return t.lastRead.Add(t.interval)
	}
	late := time.Duration(readSlack*float64(t.interval)) + time.Duration(min(rank, maxStaggeredRank))*readStagger
	return t.lastRead.Add(t.interval + late)
}
