// Package capacity learns the capacity of each backend server from its answers: how much longer work takes there at this
// moment, how long a request usually takes, and how many requests may be in flight before they take much longer. Times are
// arguments; the package has no goroutine, clock or I/O. Nothing here is safe for concurrent use.
package capacity

import (
	"math"
	"time"
)

const (
	// leastSlowdown and mostSlowdown bound the slowdown that a server reports, as a factor of the usual time.
	leastSlowdown = 0.25
	mostSlowdown  = 20.0
	// slowdownValidity is the age at which a reported slowdown no longer counts.
	slowdownValidity = time.Second
	// learning is the time constant of means.
	learning = 4 * time.Second
	// leastWeight and mostWeight bound the weight of a sample.
	leastWeight = 0.1
	mostWeight  = 0.5
	// halfLife is the time without samples after which the difference of a server from the mean of its service has
	// halved, so that a server that was slow is tried again.
	halfLife = 2 * time.Second
	// tolerated is the factor of the usual time up to which a loaded server takes its requests well.
	tolerated = 2.0
	// loadedFraction is the part of the bound from which a server counts as loaded.
	loadedFraction = 0.5
	// decrease is the factor by which the bound changes when requests take too long, at most once each decreaseInterval.
	decrease         = 0.85
	decreaseInterval = 100 * time.Millisecond
	// leastBound is the least bound, in requests, so that each server gets requests to learn from.
	leastBound = 1.0
)

// mean is an exponentially weighted mean.
type mean struct {
	value     float64
	sampledAt time.Time
}

func (m *mean) known() bool { return !m.sampledAt.IsZero() }

// observe adds a sample, whose weight grows with the time since the last one.
func (m *mean) observe(now time.Time, sample float64) {
	if !m.known() {
		m.value, m.sampledAt = sample, now
		return
	}
	weight := -math.Expm1(-float64(max(0, now.Sub(m.sampledAt))) / float64(learning))
	m.value += min(max(weight, leastWeight), mostWeight) * (sample - m.value)
	m.sampledAt = now
}

// read returns the mean, which moves to a prior while there are no samples.
func (m *mean) read(now time.Time, prior float64) float64 {
	if !m.known() {
		return prior
	}
	return prior + math.Exp2(-float64(max(0, now.Sub(m.sampledAt)))/float64(halfLife))*(m.value-prior)
}

// Service is what is known of all servers of one service.
type Service struct {
	reportsSlowdown bool
	serviceTime     mean // seconds, without the slowdown
}

// ReportsSlowdown reports whether a server of the service has reported its slowdown.
func (s *Service) ReportsSlowdown() bool { return s.reportsSlowdown }

// IsLearned reports whether the time of a request is known.
func (s *Service) IsLearned() bool { return s.reportsSlowdown && s.serviceTime.known() }

// Server is what is known of one server. A new one is as fast as the mean of its service, works as usual and takes as
// many requests as it has slots.
type Server struct {
	reading
	serviceTime mean    // seconds, without the slowdown
	loadedTime  mean    // the same while it is loaded, as a factor of the usual time
	bound       float64 // requests in flight, as of boundAt
	boundAt     time.Time
	decreasedAt time.Time
	shared      reading // what was last shared, by any entry
	sharedAt    time.Time
}

// reading is a slowdown that a server reported at a time, as a factor of the usual time.
type reading struct {
	slowdown   float64
	slowdownAt time.Time
}

// Slowdown returns the present factor of the usual time. The reported factor moves linearly to 1 within slowdownValidity.
func (r *reading) Slowdown(now time.Time) float64 {
	if r.slowdownAt.IsZero() {
		return 1
	}
	age := max(0, now.Sub(r.slowdownAt))
	weight := max(0, 1-float64(age)/float64(slowdownValidity))
	return 1 + weight*(r.slowdown-1)
}

// ReadSlowdown records the slowdown that the server reported at a time, as a factor of the usual time. An older one than the
// last is ignored.
func (s *Server) ReadSlowdown(at time.Time, service *Service, factor float64) {
	service.reportsSlowdown = true
	if !at.Before(s.slowdownAt) {
		s.reading = reading{slowdown: min(max(factor, leastSlowdown), mostSlowdown), slowdownAt: at}
	}
}

// SlowdownAge returns the age of the last reported slowdown, and false if the server has reported none.
func (s *Server) SlowdownAge(now time.Time) (time.Duration, bool) {
	return now.Sub(s.slowdownAt), !s.slowdownAt.IsZero()
}

// ServiceTime returns the usual time of a request at the server in seconds.
func (s *Server) ServiceTime(now time.Time, service *Service) float64 {
	return s.serviceTime.read(now, service.serviceTime.value)
}

// Takes returns the requests in flight that the server takes well, at most slots. A bound that was learned moves back to
// slots while nothing is learned.
func (s *Server) Takes(now time.Time, slots float64) float64 {
	if s.boundAt.IsZero() {
		return slots
	}
	weight := math.Exp2(-float64(max(0, now.Sub(s.boundAt))) / float64(halfLife))
	return min(slots, slots+weight*(s.bound-slots))
}

// Finished records that a request took some seconds while inFlight requests, itself included, were at the server. If
// inFlight exceeds the slots, the time includes a wait and is not learned from.
func (s *Server) Finished(now time.Time, service *Service, took, inFlight, slots float64) {
	if inFlight > slots {
		return
	}
	usual := took / s.Slowdown(now)
	if inFlight > slots*loadedFraction && s.serviceTime.known() {
		s.learnBound(now, service, usual, inFlight, slots)
		return
	}
	s.serviceTime.observe(now, usual)
	service.serviceTime.observe(now, usual)
}

// learnBound moves the bound: down by the factor decrease while requests on the loaded server take too long, up by 1/bound while
// they do not and the bound is nearly reached.
func (s *Server) learnBound(now time.Time, service *Service, usual, inFlight, slots float64) {
	bound := s.Takes(now, slots)
	s.loadedTime.observe(now, usual/s.ServiceTime(now, service))
	isSlow := s.loadedTime.value > tolerated
	switch {
	case isSlow && now.Sub(s.decreasedAt) >= decreaseInterval:
		s.bound, s.decreasedAt = max(leastBound, min(bound, inFlight)*decrease), now
	case !isSlow && inFlight >= bound-1:
		s.bound = min(slots, bound+1/bound)
	default:
		s.bound = bound
	}
	s.boundAt = now
}
