package routing

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork/capacity"
)

// isPlain reports whether the server takes plain requests, which have no prompt tokens, and their time is known: servers of
// its service report their slowdown, and a plain request has ended.
func (s *server) isPlain() bool { return s.prior.capacity.IsLearned() }

// plainTime returns the time in seconds that a plain request takes at the server at this moment, if it is alone there.
func (s *server) plainTime(now time.Time) float64 {
	return s.capacity.ServiceTime(now, &s.prior.capacity) * s.capacity.Slowdown(now)
}

// outstandingPlain estimates the requests at a server of plain requests.
func (s *server) outstandingPlain(now time.Time) float64 {
	return float64(s.ownRequests) + s.runningPlain(now)
}

// runningPlain estimates how many of the peerRequests still wait or run. While some are queued, a server ends as many as it
// has slots in each plainTime. After that the number decays exponentially with the time constant plainTime.
func (s *server) runningPlain(now time.Time) float64 {
	passed := now.Sub(s.peerRequestsAt).Seconds() / s.plainTime(now)
	queued := max(0, s.peerRequests-s.slots())
	if queued > passed*s.slots() {
		return s.peerRequests - passed*s.slots()
	}
	return (s.peerRequests - queued) * math.Exp(queued/s.slots()-passed)
}

// learnPlain records that a plain request took some seconds. It is called before the request leaves ownRequests.
func (s *server) learnPlain(now time.Time, took float64) {
	s.capacity.Finished(now, &s.prior.capacity, took, s.outstanding(now, 0), s.slots())
}

// predictPlain fills in the predicted times of a plain request: plainTime, times a factor that grows with the requests in
// flight relative to the number that the server takes well. Requests beyond that number count twice.
func (r *Router) predictPlain(now time.Time, s *server, c *candidate) {
	takes := s.capacity.Takes(now, s.slots())
	queued := math.Max(0, c.outstanding+1-takes)
	c.queue, c.delays = 0, 0
	c.wait = s.networkDelay(&r.options) + s.plainTime(now)*(1+(c.outstanding+queued)/takes)
	c.total = c.wait
}

// Capacity is the learned capacity of a server.
type Capacity struct {
	// Slowdown is the present factor of the usual time. It comes from a report of the server that is Age old.
	Slowdown float64
	Age      time.Duration
	// ServiceTime is the usual time of a plain request; 0 if it is not known.
	ServiceTime time.Duration
	// Takes is the number of requests in flight up to which requests do not take much longer.
	Takes float64
}

// Capacity returns the learned capacity of a server, and false if the server never reported its slowdown.
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

// CapacityReport returns the report of a server to send to the peers, and false if there is nothing new.
func (r *Router) CapacityReport(now time.Time, id ID) (capacity.Report, bool) {
	s := r.find(id)
	if s == nil || !s.prior.capacity.ReportsSlowdown() {
		return capacity.Report{}, false
	}
	return s.capacity.Report(now)
}

// PeerCapacity applies a peer's report of a server.
func (r *Router) PeerCapacity(now time.Time, id ID, report capacity.Report) {
	if s := r.find(id); s != nil {
		s.capacity.Merge(now, &s.prior.capacity, report)
	}
}
