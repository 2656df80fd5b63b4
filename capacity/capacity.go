// Package capacity learns what each backend server takes well from the server's own answers: how much longer work takes
// there at this moment, how long a request usually takes, and how many requests may be in flight before they take much
// longer. Times are arguments; it has no goroutine, clock or I/O. Nothing here is safe for concurrent use.
package capacity

import (
	"math"
	"time"
)

const (
	// leastSlowdown and mostSlowdown bound what a server may say of its slowdown.
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
	// decrease is the factor of the bound when requests take too long, at most once each decreaseInterval.
	decrease         = 0.85
	decreaseInterval = 100 * time.Millisecond
	// leastBound lets each server have a request, by which it is found out.
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
	serviceTime     mean
}

// ReportsSlowdown reports whether a server of the service has reported its slowdown.
func (s *Service) ReportsSlowdown() bool { return s.reportsSlowdown }

// IsLearned reports whether the time of a request is known.
func (s *Service) IsLearned() bool { return s.reportsSlowdown && s.serviceTime.known() }

// Server is what is known of one server. A new one is as fast as the mean of its service, works as usual and takes as
// many requests as it has slots.
type Server struct {
	reading
	serviceTime mean // seconds, without the slowdown
	loadedTime  mean // the same while it is loaded, as a factor of the usual time
	bound       float64
	boundAt     time.Time
	decreasedAt time.Time
	shared      reading // what was last shared, by any entry
	sharedAt    time.Time
}

// reading is what a server said at a time of how long work takes, as a factor of the usual time.
type reading struct {
	slowdown   float64
	slowdownAt time.Time
}

// Slowdown returns the present factor of the usual time. What was read moves to 1 with its age.
func (r *reading) Slowdown(now time.Time) float64 {
	if r.slowdownAt.IsZero() {
		return 1
	}
	age := max(0, now.Sub(r.slowdownAt))
	weight := max(0, 1-float64(age)/float64(slowdownValidity))
	return 1 + weight*(r.slowdown-1)
}

// ReadSlowdown records what the server said at a time of how long work takes there, as a factor of the usual time.
func (s *Server) ReadSlowdown(at time.Time, service *Service, factor float64) {
	service.reportsSlowdown = true
	if !at.Before(s.slowdownAt) {
		s.reading = reading{slowdown: min(max(factor, leastSlowdown), mostSlowdown), slowdownAt: at}
	}
}

// SlowdownAge returns the age of what the server last said of its slowdown, and false if it said nothing.
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

// Finished records that a request took some seconds while inFlight requests, itself included, were at the server. A
// request beyond the slots has waited and says nothing of the server.
func (s *Server) Finished(now time.Time, service *Service, took, inFlight, slots float64) {
	usual := took / s.Slowdown(now)
	if inFlight > slots {
		return
	}
	if inFlight > slots*loadedFraction && s.serviceTime.known() {
		s.learnBound(now, service, usual, inFlight, slots)
		return
	}
	s.serviceTime.observe(now, usual)
	service.serviceTime.observe(now, usual)
}

// learnBound moves the bound: down by a factor while loaded requests take too long, up by a part of a request while the
// bound is used and they don't.
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
