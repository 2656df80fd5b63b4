// Package health joins what is seen of all requests into a belief about each
// backend server: whether it lives, whether it fails more of its requests than
// its peers, and whether it has fallen silent.
//
// Servers and Streams are deterministic decision types: times are arguments, and
// they hold no goroutine, clock or socket. They are not safe for concurrent use.
package health

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// ID names a backend server.
type ID = wigeonfork.BackendServerID

// State is the belief about a server.
type State uint8

// The states of a server.
const (
	// Up: the server takes work.
	Up State = iota
	// Failing: the server fails more of its requests than its peers; it takes
	// work only to find out whether that has ended.
	Failing
	// Suspect: other servers of the failure domain were just lost; the server
	// takes work only if no other is left until it gives a sign of life.
	Suspect
	// Down: the server does not answer and takes no work.
	Down
)

var stateNames = [...]string{"up", "failing", "doubtful", "down"}

// String returns the name of s.
func (s State) String() string { return stateNames[s] }

const (
	// initialProbeInterval is the time between two probes of a server that was lost less than
	// probeSoonFor ago: most come back within seconds.
	initialProbeInterval = 400 * time.Millisecond
	initialProbePeriod   = 4 * time.Second
	// laterProbeInterval is the time between two probes from then on.
	laterProbeInterval = 2 * time.Second
	// nonWatcherProbeInterval is the time between two probes of a server that peers lost too
	// and that others watch; it outlasts a lost message.
	nonWatcherProbeInterval = 4 * time.Second
	// sharedLossWindow is the time within which two entries' losses of a server are
	// one: the first one's word, and the other's own probe.
	sharedLossWindow = 2 * time.Second
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 0.15
	// failingMargin is the failure rate beyond that of the peers at which a
	// server is failing, and at half of which it is trusted again.
	failingMargin = 0.3
	// minFailingSamples is the least number of requests that condemn a server.
	minFailingSamples = 4
	// failingHalfLife is the time in which an unconfirmed failure rate halves.
	failingHalfLife = 2 * time.Second
	// failingStreak is the number of failures in a row, over the requests of all
	// entries, that condemn a server: with as many entries as requests in a
	// second, none sees enough of them by itself.
	failingStreak = 4
	// maxStreakGap bounds the time between two failures in a row.
	maxStreakGap = 5 * time.Second
	// maxFailingFraction is the part of a service's servers that may be failing: if more
	// fail, the cause is not theirs.
	maxFailingFraction = 0.5
	// domainLossThreshold is the number of servers of a failure domain whose loss within
	// domainWindow puts the others in doubt.
	domainLossThreshold = 2
	domainLossWindow    = 300 * time.Millisecond
)

// server is what is believed of one server.
type server struct {
	service  wigeonfork.Model
	domain   wigeonfork.FailureDomain
	state    State
	lostAt   time.Time
	probeAt  time.Time
	replaced bool
	// peerLostAt is when a peer last told that it lost the server.
	peerLostAt time.Time
	// lostByPeers: peers lost it too; peerBack: one found it back since.
	lostByPeers     bool
	recoveredAtPeer bool
	failureRate     float64
	samples         int
	sampleAt        time.Time
	// streak counts the failures since the last good answer that any entry told of.
	streak   int
	streakAt time.Time
}

// service is the failure rate over all servers of a service.
type service struct {
	failureRate float64
	samples     int
	servers     int
	failing     int
}

// domainLosses is the loss of servers in one failure domainLosses.
type domainLosses struct {
	count       int
	firstLossAt time.Time
}

// Servers holds the belief about each server.
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

// Add makes a server known, or forgets what was believed of its earlier start.
func (s *Servers) Add(id ID, name wigeonfork.Model, domain wigeonfork.FailureDomain) {
	s.Remove(id)
	s.servers[id] = &server{service: name, domain: domain}
	if s.services[name] == nil {
		s.services[name] = &service{}
	}
	s.services[name].servers++
}

// Remove forgets a server.
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

// State returns the belief about a server; an unknown one is down.
func (s *Servers) State(id ID) State {
	if known := s.servers[id]; known != nil {
		return known.state
	}
	return Down
}

// Usable tells whether a server takes work without reserve.
func (s *Servers) Usable(id ID) bool {
	state := s.State(id)
	return state == Up || state == Failing
}

// Lost records that a server does not answer. It returns whether that is new,
// and the servers of the same failure domain that are in doubt by that: each is
// to be asked for a sign of life.
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

// suspectDomain counts the loss in the server's failure domain.
func (s *Servers) suspectDomain(now time.Time, lost *server) []ID {
	d := s.domains[lost.domain]
	if d == nil || now.Sub(d.firstLossAt) > domainLossWindow {
		d = &domainLosses{firstLossAt: now}
		s.domains[lost.domain] = d
	}
	d.count++
	if d.count != domainLossThreshold {
		return nil
	}
	var suspects []ID
	for id, other := range s.servers {
		if other.domain == lost.domain && other.service == lost.service && other.state != Down {
			s.setState(other, Suspect)
			other.lostAt = now
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// Replaced records that another server answers at a server's address: the one
// that was there does not come back unless it registers anew.
func (s *Servers) Replaced(id ID) {
	if known := s.servers[id]; known != nil {
		s.setState(known, Down)
		known.replaced = true
	}
}

// Answered records that a server has answered a request or probe that was sent
// at the time given. It returns whether the server is up again by that.
func (s *Servers) Answered(sent time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil || known.replaced || known.state != Down && known.state != Suspect || sent.Before(known.lostAt) {
		return false
	}
	s.setState(known, Up)
	known.lostByPeers, known.recoveredAtPeer = false, false
	return true
}

// PeerLost records that another entry finds a server lost. It returns whether
// that is news, so that the server is to be asked for a sign of life.
func (s *Servers) PeerLost(now time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil {
		return false
	}
	known.peerLostAt = now
	known.lostByPeers = known.state == Down
	return known.state != Down
}

// recentlyLostByPeer tells whether a peer's loss is of the present: a peer that was cut off
// once tells of servers that all others reach.
func (k *server) recentlyLostByPeer(now time.Time) bool {
	return !k.peerLostAt.IsZero() && now.Sub(k.peerLostAt) <= sharedLossWindow
}

// PeerRecovered records that another entry finds a server back that was lost.
func (s *Servers) PeerRecovered(now time.Time, id ID) {
	if known := s.servers[id]; known != nil && known.state == Down {
		known.recoveredAtPeer = true
		known.probeAt = now
	}
}

// LossReported tells whether another entry just told of a server's loss, ToldBack of
// its return: then peers need not hear of it once more.
func (s *Servers) LossReported(now time.Time, id ID) bool {
	known := s.servers[id]
	return known != nil && known.recentlyLostByPeer(now)
}

// RecoveryReported is like ToldLost.
func (s *Servers) RecoveryReported(id ID) bool {
	known := s.servers[id]
	return known != nil && known.recoveredAtPeer
}

// ProbeDue tells whether a server that is down is to be probed now, and takes
// the probe as sent. watched tells that this entry is one of those that look
// after a server which several have lost.
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

// Result records how a request of this entry ended at a server that answered it.
// It returns whether the belief changed.
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

// PeerResult records how a request of another entry ended. It returns whether the
// belief changed.
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

// ReportedFailing tells whether a failure of the server stands without a good answer
// since: peers that heard of it are to hear of one.
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

// updateStreak takes a result into the failures in a row. A full row counts as certain.
func (k *server) updateStreak(now time.Time, failed bool) {
	if !failed || now.Sub(k.streakAt) > maxStreakGap {
		k.streak = 0
	}
	if !failed {
		return
	}
	k.streak++
	k.streakAt = now
	if k.streak >= failingStreak {
		k.failureRate = 1
		k.samples = max(k.samples, minFailingSamples)
		k.sampleAt = now
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

// DecayFailureRate lets the failure rates of servers that get no requests fade. It returns
// whether id is trusted again by that.
func (s *Servers) DecayFailureRate(now time.Time, id ID) bool {
	known := s.servers[id]
	if known == nil || known.state != Failing {
		return false
	}
	known.decay(now)
	return s.updateFailing(known, s.services[known.service])
}

func (k *server) decay(now time.Time) {
	if passed := now.Sub(k.sampleAt); passed > failingHalfLife && !k.sampleAt.IsZero() {
		k.failureRate /= 2
	} else if !k.sampleAt.IsZero() && passed < failingHalfLife {
		return
	}
	k.sampleAt = now
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
