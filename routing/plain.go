package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/capacity"
)

// isPlain reports whether requests are placed by the expected time of plain requests: servers of the service report
// their slowdown, and a request without a prompt has ended.
func (s *server) isPlain() bool { return s.prior.capacity.IsLearned() }

// plainTime returns the time in seconds that a plain request takes at the server at this moment, if it is alone there.
func (s *server) plainTime(now time.Time) float64 {
	return s.capacity.ServiceTime(now, &s.prior.capacity) * s.capacity.Slowdown(now)
}

// outstandingPlain estimates the requests at a server of plain requests.
func (s *server) outstandingPlain(now time.Time) float64 {
	return float64(s.ownRequests) + s.runningPlain(now)
}

// runningPlain estimates how many of the requests that peers reported still run. A server ends as many at a time as it
// has slots.
func (s *server) runningPlain(now time.Time) float64 {
	passed := now.Sub(s.peerRequestsAt).Seconds() / s.plainTime(now)
	queued := max(0, s.peerRequests-s.slots())
	if queued > passed*s.slots() {
		return s.peerRequests - passed*s.slots()
	}
	return (s.peerRequests - queued) * math.Exp(queued/s.slots()-passed)
}

// learnPlain records that a plain request that still counts took some seconds.
func (s *server) learnPlain(now time.Time, took float64) {
	s.capacity.Finished(now, &s.prior.capacity, took, s.outstanding(now, 0), s.slots())
}

// predictPlain fills in the predicted times of a plain request: the time that it takes there at this moment, times the
// growth by the requests that are there, relative to what the server takes well.
func (r *Router) predictPlain(now time.Time, s *server, c *candidate) {
	takes := s.capacity.Takes(now, s.slots())
	queued := math.Max(0, c.outstanding+1-takes)
	c.queue, c.delays = 0, 0
	c.wait = s.networkDelay(&r.options) + s.plainTime(now)*(1+(c.outstanding+queued)/takes)
	c.total = c.wait
}

// Capacity is what is known of what a server takes well.
type Capacity struct {
	// Slowdown is the present factor of the usual time, from what the server said Age before.
	Slowdown float64
	Age      time.Duration
	// ServiceTime is the usual time of a plain request; 0 if it is not known.
	ServiceTime time.Duration
	// Takes is the number of requests in flight that the server takes well.
	Takes float64
}

// Capacity returns what is known of what a server takes well, and false if the server never reported its slowdown.
func (r *Router) Capacity(now time.Time, id ID) (Capacity, bool) {
	s := r.find(id)
	if s == nil {
		return Capacity{}, false
	}
	age, ok := s.capacity.SlowdownAge(now)
	if !ok {
		return Capacity{}, false
	}
	return Capacity{
		Slowdown: s.capacity.Slowdown(now), Age: age,
		ServiceTime: seconds(s.capacity.ServiceTime(now, &s.prior.capacity)), Takes: s.capacity.Takes(now, s.slots()),
	}, true
}

// CapacityReport returns what the peers should hear of a server, and false if that is nothing new.
func (r *Router) CapacityReport(now time.Time, id ID) (capacity.Report, bool) {
	s := r.find(id)
	if s == nil || !s.prior.capacity.ReportsSlowdown() {
		return capacity.Report{}, false
	}
	return s.capacity.Report(now)
}

// PeerCapacity takes over what a peer found out of a server.
func (r *Router) PeerCapacity(now time.Time, id ID, report capacity.Report) {
	if s := r.find(id); s != nil {
		s.capacity.Merge(now, &s.prior.capacity, report)
	}
}
