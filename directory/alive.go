package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/freshness"
)

const (
	// maxTickGap is the time between two ticks above which the process did not run steadily. What it then reads may have
	// waited for it, until settleTime later.
	maxTickGap = 500 * time.Millisecond
	settleTime = time.Second
	// reuseMargin is left of the time before an address is given to another service, for the measurement.
	reuseMargin = 100 * time.Millisecond
)

// SignsOfLife keeps when each server was last known to run. Until the reuse limit after that, its address can't belong to
// a server of another service, so one that answers there is of the same service.
//
// Its invariant is that a kept time is never later than the server's last sign of life. Times are of a clock that counts
// the time for which the host is suspended. It is not safe for concurrent use.
type SignsOfLife struct {
	last map[wigeonfork.BackendServerID]freshness.Instant
	// ticked is the last tick, before the one before it, and steadySince the tick since which none came late.
	ticked, before, steadySince freshness.Instant
}

// NewSignsOfLife returns a SignsOfLife without any.
func NewSignsOfLife() *SignsOfLife {
	return &SignsOfLife{last: make(map[wigeonfork.BackendServerID]freshness.Instant)}
}

// Tick tells the time. It is called several times in maxTickGap.
func (s *SignsOfLife) Tick(now freshness.Instant) {
	if time.Duration(now-s.ticked) > maxTickGap {
		s.steadySince = now
	}
	s.before, s.ticked = s.ticked, now
}

// Saw records that something was just read that a server sent on a connection of its own. It was sent after the tick before
// the last one, or else it may have waited while the process did not run steadily and does not count.
func (s *SignsOfLife) Saw(id wigeonfork.BackendServerID) {
	if time.Duration(s.ticked-s.steadySince) >= settleTime {
		s.last[id] = s.before
	}
}

// Since returns the time since the last sign of life of a server, and false if there was none.
func (s *SignsOfLife) Since(now freshness.Instant, id wigeonfork.BackendServerID) (time.Duration, bool) {
	last, known := s.last[id]
	return time.Duration(now - last), known
}

// Forget drops a server.
func (s *SignsOfLife) Forget(id wigeonfork.BackendServerID) { delete(s.last, id) }

// ProvesService reports whether a server that answered at an address is of the same service as the one that was there
// before, which showed its last sign of life the given time earlier. reuseAfter is the time after the end of a server for
// which no other service gets its address.
func ProvesService(since, reuseAfter time.Duration) bool {
	return since > 0 && since < reuseAfter-reuseMargin
}
