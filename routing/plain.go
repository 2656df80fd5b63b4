package routing

import (
	"math"
	"time"
)

const (
	// slowdownValidity is the age at which a reported slowdown no longer counts.
	slowdownValidity = time.Second
	// plainLearning is the time constant of the service times of plain requests.
	plainLearning = 4 * time.Second
	// plainSampleWeight is the least weight of a sample of the service time.
	plainSampleWeight = 0.1
	// plainHalfLife is the time without samples after which the difference of a server's service time from the mean
	// of its service has halved, so that a server that was slow is tried again.
	plainHalfLife = 2 * time.Second
)

// slowdownReport is what a server last reported of how long work takes there, as a factor of the usual time.
type slowdownReport struct {
	factor float64
	readAt time.Time
}

// read returns the present factor. What was read moves towards 1 with its age.
func (r *slowdownReport) read(now time.Time) float64 {
	if r.readAt.IsZero() {
		return 1
	}
	age := max(0, now.Sub(r.readAt))
	weight := max(0, 1-float64(age)/float64(slowdownValidity))
	return 1 + weight*(r.factor-1)
}

// reportsSlowdown reports whether servers of this service report their slowdown.
func (s *server) reportsSlowdown() bool { return s.prior.reportsSlowdown }

// isPlain reports whether requests are placed by the expected time of plain requests: servers of the service report
// their slowdown, and a request without a prompt has ended.
func (s *server) isPlain() bool {
	return s.reportsSlowdown() && !s.prior.plainService.sampledAt.IsZero()
}

// learnPlain adds a sample of the time that a plain request took, in seconds. It counts as what it would have taken
// without the server's slowdown.
func (s *server) learnPlain(now time.Time, took float64) {
	usual := took / s.slowdownReport.read(now)
	s.plainService.observe(now, usual, plainLearning, plainSampleWeight)
	s.prior.plainService.observe(now, usual, plainLearning, plainSampleWeight)
}

// plainServiceTime returns the usual time of a plain request in seconds. A server without samples counts as the mean
// of its service.
func (s *server) plainServiceTime(now time.Time) float64 {
	return s.plainService.read(now, s.prior.plainService.value, plainHalfLife)
}

// outstandingPlain estimates the requests at a server of plain requests.
func (s *server) outstandingPlain(now time.Time) float64 {
	service := s.plainServiceTime(now) * s.slowdownReport.read(now)
	return float64(s.ownRequests) + s.runningPeerRequests(now, service)
}

// predictPlain fills in the predicted times of a plain request: the learned service time, times the server's present
// slowdown, times the growth by the requests that are there.
func (r *Router) predictPlain(now time.Time, s *server, c *candidate) {
	service := s.plainServiceTime(now) * s.slowdownReport.read(now)
	slots := s.slots()
	queued := math.Max(0, c.outstanding+1-slots)
	c.queue, c.delays = 0, 0
	c.wait = s.networkDelay(&r.options) + service*(1+(c.outstanding+queued)/slots)
	c.total = c.wait
}
