package serverlimit

import "time"

// maxReturn bounds the time after which refused callers may come back, unless no server takes a request before. Most
// callers don't wait longer, so that later slots would stay unused.
const maxReturn = 2 * time.Second

// ReturnSchedule spreads the times at which refused callers may come back over the requests that the servers of a service
// will take, so that they don't all come for the next one.
type ReturnSchedule struct {
	// next is when the next refused caller may come back.
	next time.Time
}

// After returns the time after which a caller that is refused now may come back. free is the time after which the
// servers may take another request, and rate the requests a second that they take from this entry.
func (r *ReturnSchedule) After(now time.Time, free time.Duration, rate float64) time.Duration {
	at := now.Add(free)
	if r.next.After(at) {
		at = r.next
	}
	if latest := now.Add(max(free, maxReturn)); at.After(latest) {
		at = latest
	}
	r.next = at.Add(time.Duration(float64(time.Second) / max(rate, zeroRate)))
	return at.Sub(now)
}
