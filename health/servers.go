// Package health derives the observed state of each backend server from the results of all
// requests: whether it is live, whether it fails more requests than its peers, and whether it
// has become unresponsive.
//
// Servers and Streams are deterministic decision types. Times are arguments, and they hold no
// goroutine, clock or socket. They are not safe for concurrent use.
package health

import (
	"math"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// ID identifies a backend server.
type ID = wigeonfork.BackendServerID

// State is the observed state of a server.
type State uint8

// The states of a server.
const (
	// Up means that the server takes requests.
	Up State = iota
	// Failing means that the server fails more of its requests than its peers. It takes
	// requests only to find out whether it has recovered.
	Failing
	// Suspect means that other servers of the failure domain were just lost. Until it responds,
	// the server takes requests only if no other server is left.
	Suspect
	// Down means that the server does not respond and takes no requests.
	Down
)

var stateNames = [...]string{"up", "failing", "doubtful", "down"}

// String returns the name of s.
func (s State) String() string { return stateNames[s] }

const (
	// initialProbeInterval is the time between two probes of a server that was lost less than
	// initialProbePeriod ago. Most lost servers come back within seconds.
	initialProbeInterval = 400 * time.Millisecond
	initialProbePeriod   = 4 * time.Second
	// laterProbeInterval is the time between two probes after initialProbePeriod.
	laterProbeInterval = 2 * time.Second
	// nonWatcherProbeInterval is the time between two probes of a server that peers have lost
	// too and that other entries watch. These probes find a recovery whose report was lost.
	nonWatcherProbeInterval = 4 * time.Second
	// sharedLossWindow is the time within which a peer's report and this entry's own loss of a
	// server count as the same loss. It covers the probe that follows the report.
	sharedLossWindow = 2 * time.Second
	// failureWeight is the weight of one request in the moving average of the failure rate.
	failureWeight = 0.15
	// failingMargin is the excess over the failure rate of the service above which a server is
	// Failing. It is Up again below half of that.
	failingMargin = 0.3
	// minFailingSamples is the least number of requests after which a server can be Failing.
	minFailingSamples = 4
	// failingHalfLife is the interval at which the failure rate of a server is halved. A full
	// streak of failures restarts it.
	failingHalfLife = 2 * time.Second
	// failingStreak is the number of consecutive failures, over the requests of all entries,
	// that make a server Failing. With as many entries as requests per second, no entry sees
	// enough failures by itself.
	failingStreak = 4
	// maxStreakGap bounds the time between two consecutive failures of a streak.
	maxStreakGap = 5 * time.Second
	// maxFailingFraction bounds the fraction of a service's servers that are Failing. If more
	// of them fail, the cause is elsewhere.
	maxFailingFraction = 0.5
)

// server is the observed state of one server.
type server struct {
	service wigeonfork.Model
	domain  wigeonfork.FailureDomain
	state   State
	lostAt  time.Time
	probeAt time.Time
	// misdirected means that another server responds at the server's address, and replaced that it is known which.
	misdirected bool
	replaced    bool
	// peerLostAt is when a peer last reported the server lost.
	peerLostAt time.Time
	// lostByPeers means that peers lost the server too. recoveredAtPeer means that a peer
	// reported a response of it since.
	lostByPeers     bool
	recoveredAtPeer bool
	failureRate     float64
	samples         int
	sampleAt        time.Time
	// streak counts the failures since the last success that any entry reported.
	streak   int
	streakAt time.Time
}

// service holds the failure rate over all servers of a service.
type service struct {
	failureRate float64
	samples     int
	servers     int
	failing     int
}

// Servers holds the observed state of each server.
type Servers struct {
	servers  map[ID]*server
	services map[wigeonfork.Model]*service
	domains  map[wigeonfork.FailureDomain]*domainLosses
}

// NewServers returns an empty Servers.
func NewServers() *Servers {
	return &Servers{
		servers:  make(map[ID]*server),
		services: make(map[wigeonfork.Model]*service),
		domains:  make(map[wigeonfork.FailureDomain]*domainLosses),
	}
}

// Add adds a server as Up. The state of an earlier incarnation is discarded.
func (s *Servers) Add(id ID, name wigeonfork.Model, domain wigeonfork.FailureDomain) {
	s.Remove(id)
	s.servers[id] = &server{service: name, domain: domain}
	if s.services[name] == nil {
		s.services[name] = &service{}
	}
	s.services[name].servers++
}

// Remove removes a server.
func (s *Servers) Remove(id ID) {
	known := s.servers[id]
	if known == nil {
		return
	}
	group := s.services[known.service]
	group.servers--
	if known.state == Failing {
		group.failing--
	}
	delete(s.servers, id)
}

// State returns the state of a server, and Down for an unknown one.
func (s *Servers) State(id ID) State {
	if known := s.servers[id]; known != nil {
		return known.state
	}
	return Down
}

// Usable reports whether a server is Up or Failing.
func (s *Servers) Usable(id ID) bool {
	state := s.State(id)
	return state == Up || state == Failing
}

// Lost records that a server does not respond. It returns whether that is new, and the servers
// of the same failure domain that this made Suspect. The caller must probe each.
func (s *Servers) Lost(now time.Time, id ID) (bool, []ID) {
	known := s.servers[id]
	if known == nil || known.state == Down {
		return false, nil
	}
	s.setState(known, Down)
	known.lostAt, known.probeAt = now, now.Add(initialProbeInterval)
	known.lostByPeers, known.recoveredAtPeer = known.recentlyLostByPeer(now), false
	return true, s.suspectDomain(now, known)
}

// Misdirected records that another server has refused a request for a server at its address. The
// server is Down, whatever responds there, until Confirmed. It is probed until Replaced.
func (s *Servers) Misdirected(id ID) {
	if known := s.servers[id]; known != nil {
		s.setState(known, Down)
		known.misdirected = true
	}
}

// Confirmed records that it is the server itself that responds at its address.
func (s *Servers) Confirmed(id ID) {
	if known := s.servers[id]; known != nil && !known.replaced {
		known.misdirected = false
	}
}

// Replaced records that it is known which other server responds at the address of a server. The
// replaced one stays Down until it registers again.
func (s *Servers) Replaced(id ID) {
	if known := s.servers[id]; known != nil {
		s.setState(known, Down)
		known.replaced = true
	}
}

// Answered records that a server answered a request or probe that was sent at the given time.
// It returns whether this changed the state from Down or Suspect to Up.
func (s *Servers) Answered(sent time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil || known.replaced || known.misdirected || known.state != Down && known.state != Suspect || sent.Before(known.lostAt) {
		return false
	}
	s.setState(known, Up)
	known.lostByPeers, known.recoveredAtPeer = false, false
	return true
}

// PeerLost records a peer's report that a server is lost. It returns whether the server is not
// Down here yet, so that the caller must probe it.
func (s *Servers) PeerLost(now time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil {
		return false
	}
	known.peerLostAt = now
	known.lostByPeers = known.state == Down
	return known.state != Down
}

// recentlyLostByPeer reports whether a peer reported the loss within sharedLossWindow. An older
// report may be from a peer that was cut off from servers that all others reached.
func (s *server) recentlyLostByPeer(now time.Time) bool {
	return !s.peerLostAt.IsZero() && now.Sub(s.peerLostAt) <= sharedLossWindow
}

// PeerRecovered records a peer's report that a lost server responds again. The next probe is
// due at once.
func (s *Servers) PeerRecovered(now time.Time, id ID) {
	if known := s.servers[id]; known != nil && known.state == Down {
		known.recoveredAtPeer = true
		known.probeAt = now
	}
}

// LossReported reports whether a peer just reported the loss of a server, so that peers need
// no further report of it.
func (s *Servers) LossReported(now time.Time, id ID) bool {
	known := s.servers[id]
	return known != nil && known.recentlyLostByPeer(now)
}

// RecoveryReported reports whether a peer reported that a lost server responds again.
func (s *Servers) RecoveryReported(id ID) bool {
	known := s.servers[id]
	return known != nil && known.recoveredAtPeer
}

// ProbeDue reports whether a server that is Down must be probed now, and records the probe as
// sent. watcher is set if this entry is one of those that probe the server on behalf of all
// entries that lost it.
func (s *Servers) ProbeDue(now time.Time, id ID, watcher bool) bool {
	known := s.servers[id]
	if known == nil || known.replaced || known.state != Down || now.Before(known.probeAt) {
		return false
	}
	if known.lostByPeers && !known.recoveredAtPeer && !watcher {
		due := now.Sub(known.lostAt) >= nonWatcherProbeInterval
		known.probeAt = known.lostAt.Add(nonWatcherProbeInterval)
		if due {
			known.probeAt = now.Add(nonWatcherProbeInterval)
		}
		return due
	}
	wait := initialProbeInterval
	if now.Sub(known.lostAt) > initialProbePeriod {
		wait = laterProbeInterval
	}
	known.probeAt = now.Add(wait)
	return true
}

// Result records whether a request of this entry failed at a server. It ignores a server that is
// Down or Suspect. It returns whether the state changed.
func (s *Servers) Result(now time.Time, id ID, failed bool) bool {
	known := s.servers[id]
	if known == nil || known.state == Down || known.state == Suspect {
		return false
	}
	group := s.services[known.service]
	known.decay(now)
	known.failureRate += failureWeight * (failureValue(failed) - known.failureRate)
	known.samples++
	group.failureRate += failureWeight / float64(max(1, group.servers)) * (failureValue(failed) - group.failureRate)
	group.samples++
	known.updateStreak(now, failed)
	return s.updateFailing(known, group)
}

// PeerResult is Result for a request of another entry. It counts toward the streak of failures,
// and toward the failure rate only while the server is Failing.
func (s *Servers) PeerResult(now time.Time, id ID, failed bool) bool {
	known := s.servers[id]
	if known == nil || known.state == Down || known.state == Suspect {
		return false
	}
	known.updateStreak(now, failed)
	if known.state == Failing {
		known.decay(now)
		known.failureRate += failureWeight * (failureValue(failed) - known.failureRate)
	}
	return s.updateFailing(known, s.services[known.service])
}

// ReportedFailing reports whether no success followed the last failure of the server, or the
// server is Failing. Peers that received the failure need a report of the next success.
func (s *Servers) ReportedFailing(id ID) bool {
	known := s.servers[id]
	return known != nil && (known.streak > 0 || known.state == Failing)
}

func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// updateStreak counts consecutive failures. A full streak, and each failure that extends
// it, sets the failure rate to 1.
func (s *server) updateStreak(now time.Time, failed bool) {
	if !failed || now.Sub(s.streakAt) > maxStreakGap {
		s.streak = 0
	}
	if !failed {
		return
	}
	s.streak++
	s.streakAt = now
	if s.streak >= failingStreak {
		s.failureRate = 1
		s.samples = max(s.samples, minFailingSamples)
		s.sampleAt = now
	}
}

func (s *Servers) updateFailing(known *server, group *service) bool {
	excess := known.failureRate - group.failureRate
	switch {
	case known.state == Up && known.samples >= minFailingSamples && excess > failingMargin &&
		float64(group.failing+1) <= maxFailingFraction*float64(group.servers):
		s.setState(known, Failing)
		return true
	case known.state == Failing && excess < failingMargin/2:
		s.setState(known, Up)
		return true
	}
	return false
}

// DecayFailureRate lets the failure rate of a Failing server decay, since it may get no
// requests. It returns whether the server is Up again.
func (s *Servers) DecayFailureRate(now time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil || known.state != Failing {
		return false
	}
	known.decay(now)
	return s.updateFailing(known, s.services[known.service])
}

// decay halves the failure rate once for each failingHalfLife since the last sample.
func (s *server) decay(now time.Time) {
	if s.sampleAt.IsZero() {
		s.sampleAt = now
		return
	}
	passed := now.Sub(s.sampleAt)
	if passed < failingHalfLife {
		return
	}
	halvings := passed / failingHalfLife
	s.failureRate = math.Ldexp(s.failureRate, -int(halvings))
	s.sampleAt = s.sampleAt.Add(halvings * failingHalfLife)
}

func (s *Servers) setState(known *server, state State) {
	group := s.services[known.service]
	if known.state == Failing {
		group.failing--
	}
	if state == Failing {
		group.failing++
	}
	known.state = state
}
