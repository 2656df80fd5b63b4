package directory

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/freshness"
)

// reuseMargin is left of the time before an address is given to another service, for the measurement.
const reuseMargin = 100 * time.Millisecond

// SignsOfLife keeps when each server certainly still ran. Until the reuse limit after that, its address can't belong to a
// server of another service, so one that answers there is of the same service.
//
// Its invariant is that a kept time is never later than the end of the server. So it is not when something was read, which
// the network or a pause of this process may have held up, but when the request was sent that the server then answered.
// Times are of a clock that counts the time for which the host is suspended. It is not safe for concurrent use.
type SignsOfLife struct {
	last map[wigeonfork.BackendServerID]freshness.Instant
}

// NewSignsOfLife returns a SignsOfLife without any.
func NewSignsOfLife() *SignsOfLife {
	return &SignsOfLife{last: make(map[wigeonfork.BackendServerID]freshness.Instant)}
}

// Answered records that a server answered a request that was sent at the given time.
func (s *SignsOfLife) Answered(id wigeonfork.BackendServerID, sentAt freshness.Instant) {
	s.last[id] = max(s.last[id], sentAt)
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
