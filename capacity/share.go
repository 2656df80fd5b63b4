package capacity

import (
	"math"
	"time"
)

const (
	// sharedChange is the relative change of the slowdown from which peers are told of it.
	sharedChange = 0.25
	// shareInterval is the least time between two reports of a server.
	shareInterval = 50 * time.Millisecond
)

// Report is what an entry read of a server, for its peers.
type Report struct {
	// Slowdown is what the server said of how long work takes, as a factor of the usual time, Age before the report.
	Slowdown float64       `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint,omitempty"`
}

// Report returns what the peers should hear of a server, and false if what they were last told, by any entry, is about
// the same with its age. Only the server's own words are shared: a time that all entries learn together, and follow at
// the same moment, would lead them all to the same server.
func (s *Server) Report(now time.Time) (Report, bool) {
	if s.slowdownAt.IsZero() || now.Sub(s.sharedAt) < shareInterval {
		return Report{}, false
	}
	known, present := s.shared.Slowdown(now), s.Slowdown(now)
	if math.Abs(known-present) <= sharedChange*max(known, present) {
		return Report{}, false
	}
	s.shared, s.sharedAt = s.reading, now
	return Report{Slowdown: s.slowdown, Age: max(0, now.Sub(s.slowdownAt))}, true
}

// Merge takes over what a peer read. What the server said last counts.
func (s *Server) Merge(now time.Time, service *Service, r Report) {
	if !(r.Slowdown >= leastSlowdown && r.Slowdown <= mostSlowdown) || r.Age < 0 {
		return
	}
	at := now.Add(-r.Age)
	s.shared, s.sharedAt = reading{slowdown: r.Slowdown, slowdownAt: at}, now
	s.ReadSlowdown(at, service, r.Slowdown)
}
