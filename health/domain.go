package health

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// domainLossThreshold is the number of servers of a failure domain whose loss within
	// domainLossWindow makes the others Suspect.
	domainLossThreshold = 2
	domainLossWindow    = 300 * time.Millisecond
)

// domainLosses counts the servers of one failure domain lost within domainLossWindow.
type domainLosses struct {
	count       int
	firstLossAt time.Time
	// services holds the services of these servers.
	services map[wigeonfork.Model]bool
}

// suspectDomain counts a loss in the server's failure domain. At domainLossThreshold it makes
// the other servers there of each service that lost one Suspect, and at the first later loss of
// another service those of that one. It returns them. Services without a loss are spared the
// probes, which take connections of their servers.
func (s *Servers) suspectDomain(now time.Time, lost *server) []ID {
	d := s.domains[lost.domain]
	if d == nil || now.Sub(d.firstLossAt) > domainLossWindow {
		d = &domainLosses{firstLossAt: now, services: make(map[wigeonfork.Model]bool)}
		s.domains[lost.domain] = d
	}
	firstOfService := !d.services[lost.service]
	d.services[lost.service] = true
	d.count++
	switch {
	case d.count == domainLossThreshold:
		return s.suspect(now, lost.domain, func(service wigeonfork.Model) bool { return d.services[service] })
	case d.count > domainLossThreshold && firstOfService:
		return s.suspect(now, lost.domain, func(service wigeonfork.Model) bool { return service == lost.service })
	}
	return nil
}

// suspect makes the servers of a failure domain that are not Down Suspect, if their service is
// included. It returns them.
func (s *Servers) suspect(now time.Time, domain wigeonfork.FailureDomain, included func(wigeonfork.Model) bool) []ID {
	var suspects []ID
	for id, other := range s.servers {
		if other.domain == domain && included(other.service) && other.state != Down {
			s.setState(other, Suspect)
			other.lostAt = now
			suspects = append(suspects, id)
		}
	}
	return suspects
}
