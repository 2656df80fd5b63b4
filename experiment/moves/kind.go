package moves

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork/rollout"
)

// kind is the case that a move tests: a good version, a good version during an
// incident, or a version with one kind of fault.
type kind string

const (
	kindGood         kind = "good"
	kindBadHosts     kind = "good, bad hosts dying"
	kindSlowDomain   kind = "good, slow failure domain"
	kindStoreOutage  kind = "good, store outage"
	kindTrafficShift kind = "good, traffic shift"
	kindFailsAtOnce  kind = "fails at once"
	kindSlowAtOnce   kind = "slow at once"
	kindFailsLate    kind = "fails late"
	kindSlowLate     kind = "slow late"
	kindFailsOnLoad  kind = "fails under load"
	kindSlowOnLoad   kind = "slow under load"
	kindOneRoute     kind = "fails on one route"
	kindWrongStop    kind = "rare wrong stop"
	kindKillsEngines kind = "kills engines"
)

var goodKinds = []kind{kindGood, kindBadHosts, kindSlowDomain, kindStoreOutage, kindTrafficShift}

var badKinds = []kind{
	kindFailsAtOnce, kindSlowAtOnce, kindFailsLate, kindSlowLate, kindFailsOnLoad,
	kindSlowOnLoad, kindOneRoute, kindWrongStop, kindKillsEngines,
}

var allKinds = append(append([]kind(nil), goodKinds...), badKinds...)

// fault describes what is wrong with a new version.
type fault struct {
	// onset is the time from the start of the move at which the fault begins.
	onset time.Duration
	// highLoadOnly limits the fault to backend servers at a high load level.
	highLoadOnly bool
	// route limits the fault to one route; -1 means all routes.
	route int
	// The rates are probabilities for each request. slowdown multiplies its latencies.
	errorRate, wrongStopRate, deathRate float64
	slowdown                            float64
}

// incident is a failure that the version does not cause. A slowDomain or shiftedRoute
// of -1 means none.
type incident struct {
	badHosts     map[int]bool
	slowDomain   int
	outageFrom   time.Duration
	outageUntil  time.Duration
	shiftFrom    time.Duration
	shiftedRoute int
	from, until  time.Duration
}

const (
	// A version is bad if it fails at least this fraction of its requests.
	minErrorRate = 0.05
	// Late faults begin between these fractions of the time to the deadline.
	minLateOnset = 0.05
	maxLateOnset = 0.95
	// engineDeathRate is the probability that a request kills its engine.
	engineDeathRate = 0.005
	minOutage       = 30 * time.Second
	maxOutage       = 4 * time.Minute
	badHostCount    = 2
)

func logUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Exp(r.Float64()*math.Log(high/low))
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

// drawFault draws the fault of a kind of move.
func drawFault(r *rand.Rand, k kind, routes *routeMix) fault {
	f := fault{route: -1, slowdown: 1}
	late := time.Duration(uniform(r, minLateOnset, maxLateOnset) * float64(moveTime))
	switch k {
	case kindFailsAtOnce:
		f.errorRate = logUniform(r, minErrorRate, 1)
	case kindSlowAtOnce:
		f.slowdown = uniform(r, 1.5, 3)
	case kindFailsLate:
		f.onset = late
		f.errorRate = logUniform(r, minErrorRate, 1)
	case kindSlowLate:
		f.onset = late
		f.slowdown = uniform(r, 1.5, 3)
	case kindFailsOnLoad:
		f.highLoadOnly = true
		f.errorRate = logUniform(r, minErrorRate, 0.5)
	case kindSlowOnLoad:
		f.highLoadOnly = true
		f.slowdown = uniform(r, 1.5, 3)
	case kindOneRoute:
		f.route = r.IntN(routes.len())
		f.errorRate = logUniform(r, 0.2, 1)
	case kindWrongStop:
		f.wrongStopRate = logUniform(r, 0.003, 0.01)
	case kindKillsEngines:
		f.deathRate = engineDeathRate
	}
	return f
}

// drawIncident draws the incident of a kind of move. Half of the moves of bad
// versions have an incident too.
func drawIncident(r *rand.Rand, k kind, routes *routeMix) incident {
	d := incident{slowDomain: -1, shiftedRoute: -1}
	chosen := k
	if slices.Contains(badKinds, k) && r.IntN(2) == 0 {
		chosen = goodKinds[1+r.IntN(len(goodKinds)-1)]
	}
	d.from = time.Duration(r.Float64() * float64(moveTime))
	d.until = d.from + moveTime/4
	switch chosen {
	case kindBadHosts:
		d.badHosts = make(map[int]bool)
		for range badHostCount {
			d.badHosts[r.IntN(serverCount)] = true
		}
	case kindSlowDomain:
		d.slowDomain = r.IntN(domainCount)
	case kindStoreOutage:
		d.outageFrom = d.from
		d.outageUntil = d.from + minOutage + time.Duration(r.Float64()*float64(maxOutage-minOutage))
	case kindTrafficShift:
		d.shiftFrom = d.from
		d.shiftedRoute = r.IntN(routes.len())
	}
	return d
}

// active reports whether the fault affects a request.
func (f fault) active(now time.Duration, route int, load rollout.LoadLevel) bool {
	if now < f.onset || (f.route >= 0 && f.route != route) {
		return false
	}
	return !f.highLoadOnly || load == rollout.LoadHigh
}
