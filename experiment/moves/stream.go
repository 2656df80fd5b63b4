package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
)

const (
	moveTime    = 30 * time.Minute
	stepTime    = 500 * time.Millisecond
	serverCount = 25
	domainCount = 3
	routeCount  = 12
	entryCount  = 3

	peakRequestsPerSecond = 60.0
	baseErrorRate         = 0.002
	baseWrongStopRate     = 0.0001
	shiftedErrorRate      = 0.05
	shiftedShare          = 0.4
	slowDomainFactor      = 3.0
	coldFirstTokenFactor  = 1.6
	coldTime              = 60 * time.Second

	meanDeathGap    = 3 * time.Hour
	badHostDeathGap = 90 * time.Second
	restartTime     = 20 * time.Second

	firstTokenMedian = 0.35 // seconds
	interTokenMedian = 0.03 // seconds
	latencySpread    = 0.35
	meanDuration     = 8.0   // seconds
	longShare        = 0.05  // of the requests last longestDuration/3 to longestDuration
	longestDuration  = 180.0 // seconds
	ringSize         = 1 << 10
)

const (
	oldVersion wigeonfork.Version = "v1"
	newVersion wigeonfork.Version = "v2"
)

// routeMix is the distribution of requests over routes.
type routeMix struct {
	names          []rollout.Route
	weights        []float64
	sum            float64
	latencyFactors []float64
}

func newRouteMix(r *rand.Rand) *routeMix {
	m := &routeMix{}
	for i := range routeCount {
		weight := 1 / math.Pow(float64(i+1), 1.1)
		m.names = append(m.names, rollout.Route(fmt.Sprintf("w%d/narrative", i)))
		m.weights = append(m.weights, weight)
		m.latencyFactors = append(m.latencyFactors, uniform(r, 0.6, 1.8))
		m.sum += weight
	}
	return m
}

func (m *routeMix) len() int { return len(m.names) }

func (m *routeMix) pick(r *rand.Rand) int {
	x := r.Float64() * m.sum
	for i, weight := range m.weights {
		if x < weight {
			return i
		}
		x -= weight
	}
	return len(m.weights) - 1
}

// server is the simulated state of one backend server.
type server struct {
	rollout.Server
	domain    int
	speed     float64
	loadBias  float64
	downUntil time.Duration
	down      bool
	// The versions that the server holds. Orders and engine deaths change them.
	holdsOld, holdsNew bool
	newSince           time.Duration
	weightBytesLeft    float64
	nextDeath          time.Duration
}

// request is one request in progress.
type request struct {
	entry      int
	route      int
	server     int
	isNew      bool
	load       rollout.LoadLevel
	firstToken time.Duration
	interToken time.Duration
	end        rollout.Outcome
	isEnd      bool // due at its end, else at its first token
	done       bool
	harmed     bool
}

// stream generates the samples of one move.
type stream struct {
	r         *rand.Rand
	routes    *routeMix
	servers   []server
	fault     fault
	incident  incident
	loadPhase float64
	ring      [ringSize][]request // by the step in which they are due, modulo ringSize
	carry     float64             // fraction of a request left over from the last step
}

func newStream(seed uint64, k kind, index int) *stream {
	r := rand.New(rand.NewPCG(seed, uint64(index)<<8|uint64(kindNumber(k))))
	s := &stream{r: r, routes: newRouteMix(r), loadPhase: r.Float64() * 2 * math.Pi}
	s.fault = drawFault(r, k, s.routes)
	s.incident = drawIncident(r, k, s.routes)
	for i := range serverCount {
		domain := i % domainCount
		s.servers = append(s.servers, server{
			Server: rollout.Server{
				ID:     wigeonfork.BackendServerID(fmt.Sprintf("b%02d", i)),
				Host:   wigeonfork.HostID(fmt.Sprintf("h%02d", i)),
				Domain: wigeonfork.FailureDomain(fmt.Sprintf("d%d", domain)),
			},
			domain: domain, speed: uniform(r, 0.7, 2.8), loadBias: uniform(r, -0.15, 0.15), holdsOld: true,
		})
		s.servers[i].nextDeath = s.timeToDeath(i)
	}
	return s
}

func kindNumber(k kind) int {
	for i, known := range allKinds {
		if known == k {
			return i
		}
	}
	return len(allKinds)
}

func (s *stream) timeToDeath(i int) time.Duration {
	mean := meanDeathGap
	if s.incident.badHosts[i] {
		mean = badHostDeathGap
	}
	return time.Duration(s.r.ExpFloat64() * float64(mean))
}

// load returns the load of the fleet, from 0 to 1. It peaks twice in a move.
func (s *stream) load(now time.Duration) float64 {
	angle := 4 * math.Pi * float64(now) / float64(moveTime)
	load := 0.6 + 0.3*math.Sin(angle+s.loadPhase)
	if s.shifted(now) {
		load += 0.1
	}
	return load
}

func (s *stream) shifted(now time.Duration) bool {
	return s.incident.shiftedRoute >= 0 && now >= s.incident.shiftFrom
}

func (s *stream) serverLoad(now time.Duration, i int) (float64, rollout.LoadLevel) {
	const slots = 1000
	load := min(max(s.load(now)+s.servers[i].loadBias, 0.05), 0.98)
	return load, rollout.LevelOf(int(load*slots), slots)
}

func (s *stream) pickRoute(now time.Duration) int {
	if s.shifted(now) && s.r.Float64() < shiftedShare {
		return s.incident.shiftedRoute
	}
	return s.routes.pick(s.r)
}

// pickServer draws a server that holds the version, weighted by speed. It returns -1
// if there is none.
func (s *stream) pickServer(isNew bool) int {
	sum := 0.0
	for i := range s.servers {
		if s.servers[i].serves(isNew) {
			sum += s.servers[i].speed
		}
	}
	x := s.r.Float64() * sum
	last := -1
	for i := range s.servers {
		if !s.servers[i].serves(isNew) {
			continue
		}
		last = i
		if x < s.servers[i].speed {
			return i
		}
		x -= s.servers[i].speed
	}
	return last
}

func (v *server) serves(isNew bool) bool {
	if v.down {
		return false
	}
	if isNew {
		return v.holdsNew
	}
	return v.holdsOld
}

// arrivals returns how many requests arrive in one step.
func (s *stream) arrivals(now time.Duration) int {
	s.carry += s.load(now) * peakRequestsPerSecond * stepTime.Seconds()
	whole := int(s.carry)
	s.carry -= float64(whole)
	return whole
}

// drawBehavior draws the latencies and the outcome of a request.
func (s *stream) drawBehavior(now time.Duration, q *request) {
	load, level := s.serverLoad(now, q.server)
	v := &s.servers[q.server]
	q.load = level
	factor := 1 / (v.speed * (1.3 - load))
	if v.domain == s.incident.slowDomain && now >= s.incident.from && now < s.incident.until {
		factor *= slowDomainFactor
	}
	bad := q.isNew && s.fault.active(now, q.route, level)
	if bad {
		factor *= s.fault.slowdown
		q.harmed = s.fault.slowdown > 1
	}
	cold := 1.0
	if q.isNew && now-v.newSince < coldTime {
		cold = coldFirstTokenFactor
	}
	q.firstToken = s.latency(firstTokenMedian * factor * cold * s.routes.latencyFactors[q.route])
	q.interToken = s.latency(interTokenMedian * factor)
	q.end = s.outcome(now, q, bad)
}

func (s *stream) latency(median float64) time.Duration {
	return time.Duration(median * math.Exp(latencySpread*s.r.NormFloat64()) * float64(time.Second))
}

func (s *stream) outcome(now time.Duration, q *request, bad bool) rollout.Outcome {
	errorRate := baseErrorRate
	if s.shifted(now) && q.route == s.incident.shiftedRoute {
		errorRate = shiftedErrorRate
	}
	x := s.r.Float64()
	if x < errorRate {
		return rollout.OutcomeError
	}
	if x > 1-baseWrongStopRate {
		return rollout.OutcomeWrongStop
	}
	if !bad {
		return rollout.OutcomeOK
	}
	switch x := s.r.Float64(); {
	case x < s.fault.errorRate:
		q.harmed = true
		return rollout.OutcomeError
	case x < s.fault.errorRate+s.fault.wrongStopRate:
		q.harmed = true
		return rollout.OutcomeWrongStop
	case x < s.fault.errorRate+s.fault.wrongStopRate+s.fault.deathRate:
		q.harmed = true
		return rollout.OutcomeEngineDeath
	default:
		return rollout.OutcomeOK
	}
}

// duration draws how long a request runs.
func (s *stream) duration(q *request) time.Duration {
	if q.end == rollout.OutcomeError {
		return time.Duration(uniform(s.r, 0.2, 2) * float64(time.Second))
	}
	seconds := min(s.r.ExpFloat64()*meanDuration, longestDuration)
	if s.r.Float64() < longShare {
		seconds = uniform(s.r, longestDuration/3, longestDuration)
	}
	return time.Duration(seconds*float64(time.Second)) + q.firstToken
}

// schedule adds q to the step in which it is due.
func (s *stream) schedule(step int, after time.Duration, q request) {
	ahead := min(max(int(after/stepTime), 1), ringSize-1)
	slot := (step + ahead) % ringSize
	s.ring[slot] = append(s.ring[slot], q)
}
