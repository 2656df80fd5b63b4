package quarantine

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	rateWindow     = 10 * time.Minute      // for the ordinary death rate
	burstWindow    = 10 * time.Second      // deaths this close to another belong to its burst
	burstDeaths    = 2                     // deaths within burstWindow that are not yet a burst
	serverWindow   = time.Minute           // one server's recent deaths count as if within it
	minPrefillTime = 50 * time.Millisecond // shorter times since the start count as this
	minDecodeTime  = 20 * time.Millisecond // shorter times since the first token count as this
	runPhases      = 2                     // prefill and decoding; both can crash the engine
	minLaterDeaths = 2                     // deaths after the first that are required to quarantine
)

// incident is one engine death in which a suspect was resident.
type incident struct {
	death DeathID
	at    time.Time
	ran   time.Duration // time since the start of the run
	phase time.Duration // time since the start of the current phase: prefill or decoding
}

func newIncident(death *deathRecord, r Resident) incident {
	c := incident{death: death.ID, at: death.At, ran: r.Ran, phase: max(r.Ran, minPrefillTime)}
	if r.Decoded > 0 {
		c.phase = max(r.Decoded, minDecodeTime)
	}
	return c
}

// suspect is a request that was resident in an engine death and has not completed since.
type suspect struct {
	incidents []incident // by time
	// running lists the server of each current run that is known here.
	running []wigeonfork.BackendServerID
	// peerRunAt is when the last run that a peer reported started, by the peer's clock.
	peerRunAt time.Time
	created   uint64 // creation order among suspects
}

// isRunning reports whether the suspect is running, here or at a peer.
func (s *suspect) isRunning(now time.Time) bool {
	return len(s.running) > 0 || now.Sub(s.peerRunAt) < peerRunTTL
}

func (s *suspect) residentIn(id DeathID) bool {
	for i := range s.incidents {
		if s.incidents[i].death == id {
			return true
		}
	}
	return false
}

// add inserts an incident in order of time.
func (s *suspect) add(c incident) {
	i := len(s.incidents)
	s.incidents = append(s.incidents, c)
	for i > 0 && s.incidents[i-1].at.After(c.at) {
		s.incidents[i] = s.incidents[i-1]
		i--
	}
	s.incidents[i] = c
}

func (s *suspect) drop(id DeathID) {
	for i := range s.incidents {
		if s.incidents[i].death == id {
			s.incidents = append(s.incidents[:i], s.incidents[i+1:]...)
			return
		}
	}
}

// sequence appends to dst the incidents that count as evidence. Each is on a server of its own,
// and its run began after the previous death.
func (s *suspect) sequence(dst []incident) []incident {
	for _, c := range s.incidents {
		if len(dst) > 0 && c.at.Add(-c.ran).Before(dst[len(dst)-1].at) {
			continue
		}
		if !onServer(dst, c.death.Server) {
			dst = append(dst, c)
		}
	}
	return dst
}

func onServer(incidents []incident, server wigeonfork.BackendServerID) bool {
	for i := range incidents {
		if incidents[i].death.Server == server {
			return true
		}
	}
	return false
}

// ordinaryDeathProbability returns the probability that ordinary deaths alone would have ended the
// later runs of a sequence as early as observed. The first death is left out, since it is what
// made the request a suspect.
func (d *Detector) ordinaryDeathProbability(sequence []incident) float64 {
	logProduct := 0.0
	for i := range sequence[1:] {
		c := &sequence[i+1]
		// A crash early in either phase counts as evidence, so the probability of an ordinary
		// death is that of both phases.
		exposure := runPhases * c.phase.Seconds()
		logProduct += math.Log(-math.Expm1(-d.hazardRate(sequence, c) * exposure))
	}
	return fisherCombined(logProduct, len(sequence)-1)
}

// fisherCombined combines n p-values by Fisher's method. It returns the probability that the
// product of n uniform variables is at most exp(logProduct).
func fisherCombined(logProduct float64, n int) float64 {
	term, sum := 1.0, 1.0
	for k := 1; k < n; k++ {
		term *= -logProduct / float64(k)
		sum += term
	}
	return math.Exp(logProduct) * sum
}

// hazardRate is the ordinary death rate, per second, of the engine of c. It is the highest of the
// long-term rate of the fleet, the rate of a burst around c and the rate of the same server.
// Deaths of the sequence and attributed deaths are left out.
func (d *Detector) hazardRate(sequence []incident, c *incident) float64 {
	var longTerm, burst, sameServer float64
	for _, death := range d.deaths {
		age := c.at.Sub(death.At)
		if age > rateWindow || age < -burstWindow || death.attributed || inSequence(sequence, death.ID) {
			continue
		}
		longTerm++
		if age < burstWindow {
			burst++
		}
		if death.ID.Server == c.death.Server {
			sameServer++
		}
	}
	servers := float64(max(1, d.servers))
	rate := (longTerm + 1) / (servers * rateWindow.Seconds())
	rate = max(rate, (burst-burstDeaths)/(servers*burstWindow.Seconds()))
	return max(rate, sameServer/serverWindow.Seconds())
}

func inSequence(sequence []incident, id DeathID) bool {
	for i := range sequence {
		if sequence[i].death == id {
			return true
		}
	}
	return false
}
