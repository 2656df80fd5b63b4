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

// Report is the slowdown of a server, as one entry tells it to its peers.
type Report struct {
	// Slowdown is the factor of the usual time that the server reported, Age before this report was made.
	Slowdown float64       `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint,omitempty"`
}

// Report returns the report to send to the peers, and false if the last one, from any entry, still gives about the same
// slowdown. Only what the server itself reported is shared. If the entries shared learned times too, they would all
// choose the same server at the same moment.
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

// Merge applies a peer's report. The slowdown that the server reported last is kept. A report out of bounds is ignored.
func (s *Server) Merge(now time.Time, service *Service, r Report) {
	if !(r.Slowdown >= leastSlowdown && r.Slowdown <= mostSlowdown) || r.Age < 0 {
		return
	}
	at := now.Add(-r.Age)
	s.shared, s.sharedAt = reading{slowdown: r.Slowdown, slowdownAt: at}, now
	s.ReadSlowdown(at, service, r.Slowdown)
}
