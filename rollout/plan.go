package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
)

// Server is a backend server that takes part in a move.
type Server struct {
	ID     wigeonfork.BackendServerID `json:"id"`
	Host   wigeonfork.HostID          `json:"host"`
	Domain wigeonfork.FailureDomain   `json:"failure_domain"`
}

// Plan describes a move as it was accepted.
type Plan struct {
	// ID is the id of the move. It is never reused.
	ID string `json:"id"`
	// Scope is the scope of the lease. Orders carry it.
	Scope    string             `json:"scope"`
	Model    wigeonfork.Model   `json:"model"`
	From     wigeonfork.Version `json:"from"`
	To       wigeonfork.Version `json:"to"`
	Start    time.Time          `json:"start"`
	Deadline time.Time          `json:"deadline"`
	Servers  []Server           `json:"servers"`
	// WeightBytes is the size of To's weights. RateBytesPerSecond is the total rate of the
	// weight store for all readers together.
	WeightBytes        int64 `json:"weight_bytes"`
	RateBytesPerSecond int64 `json:"rate_bytes_per_second"`
	// CanaryShare is the largest share that To gets before it has been judged.
	CanaryShare PerMille `json:"canary_share"`
	// MinStarts is the number of requests that To must have been sent before its share is
	// raised.
	MinStarts uint64 `json:"min_starts"`
	// WatchPeriod is how long after the finish From stays loaded and keeps a little traffic
	// for comparison. It is shortened to end before the deadline.
	WatchPeriod time.Duration `json:"watch"`
}

// Defaults of a Plan.
const (
	DefaultCanaryShare PerMille = 50
	DefaultMinStarts   uint64   = 200
)

const (
	// minServers is the smallest number of backend servers that must have the new version ready
	// before it gets traffic, if the move has that many and they are up.
	minServers = 3
	// watchFraction is the default WatchPeriod as a fraction of the time from the start to
	// the deadline.
	watchFraction = 0.05

	// spareServerFactor is the number of backend servers that load the new version,
	// relative to the number that its share of the traffic needs.
	spareServerFactor = 1.25
	// loadTimeFactor is the planned time of a load relative to the time at the weight
	// store's rate. The excess leaves time for loads that fail.
	loadTimeFactor = 1.25
)

// rampStage is a share of the new version and when it is due, as a fraction of the time from
// the start to the deadline.
type rampStage struct {
	share            PerMille
	deadlineFraction float64
}

// rampStages are the stages after the canary. The canary stage is long, because few backend
// servers hold two versions in it and a version that turns bad harms few requests. The stage
// at a quarter is long too, because there the bad requests of the new version give the most
// evidence for the harm they do. The stage before the last one keeps some of the old
// version's traffic for comparison.
var rampStages = [...]rampStage{{100, 0.42}, {250, 0.48}, {500, 0.72}, {900, 0.80}, {AllTraffic, 0.92}}

// WithDefaults returns p with its unset fields filled in.
func (p Plan) WithDefaults() Plan {
	if p.CanaryShare == 0 {
		p.CanaryShare = DefaultCanaryShare
	}
	if p.MinStarts == 0 {
		p.MinStarts = DefaultMinStarts
	}
	if p.WatchPeriod == 0 {
		p.WatchPeriod = time.Duration(watchFraction * float64(p.Deadline.Sub(p.Start)))
	}
	p.Servers = interleaveDomains(p.Servers)
	return p
}

// Validate returns an error if the move cannot be made. If the weights cannot be loaded by the
// deadline, the error names the earliest deadline.
func (p Plan) Validate() error {
	switch {
	case p.ID == "" || p.Scope == "" || p.Model == "" || p.From == "" || p.To == "":
		return errors.New("move: id, scope, model and versions must be set")
	case p.From == p.To:
		return errors.New("move: the versions are the same")
	case len(p.Servers) == 0:
		return errors.New("move: no backend servers")
	case p.WeightBytes <= 0 || p.RateBytesPerSecond <= 0:
		return errors.New("move: weight size and rate must be positive")
	case p.CanaryShare < 0 || p.CanaryShare >= rampStages[0].share:
		return errors.Newf("move: canary share must be under %d per mille", rampStages[0].share)
	}
	if earliest := p.EarliestDeadline(); p.Deadline.Before(earliest) {
		return errors.Newf("move: weights cannot be loaded in time; earliest deadline is %s", earliest.UTC().Format(time.RFC3339))
	}
	return nil
}

// loadTime returns the planned time of one load at the full rate of the weight store.
func (p Plan) loadTime() time.Duration {
	seconds := float64(p.WeightBytes) / float64(p.RateBytesPerSecond)
	return time.Duration(seconds * loadTimeFactor * float64(time.Second))
}

// EarliestDeadline returns the earliest deadline at which the loads for each stage, one after
// another, finish before the stage is due.
func (p Plan) EarliestDeadline() time.Time {
	var shortest time.Duration
	for _, stage := range rampStages {
		loads := time.Duration(p.serversFor(stage.share)) * p.loadTime()
		shortest = max(shortest, time.Duration(float64(loads)/stage.deadlineFraction))
	}
	return p.Start.Add(shortest)
}

// serversFor returns how many backend servers must have the new version ready before it gets
// share of the traffic.
func (p Plan) serversFor(share PerMille) int {
	total := len(p.Servers)
	if share >= AllTraffic {
		return total
	}
	needed := math.Ceil(float64(total) * float64(share) / float64(AllTraffic) * spareServerFactor)
	return min(total, max(int(needed), minServers))
}

// stageTime returns when rampStages[i] is due.
func (p Plan) stageTime(i int) time.Time {
	window := float64(p.Deadline.Sub(p.Start))
	return p.Start.Add(time.Duration(rampStages[i].deadlineFraction * window))
}

// loadStarts returns when the load on each backend server is due, in the order of Servers. The
// canary's loads are due at the start. The others are due as late as their stage allows,
// because a backend server that holds two versions costs as much as both.
func (p Plan) loadStarts() []time.Time {
	starts := make([]time.Time, len(p.Servers))
	loadTime := p.loadTime()
	next := p.Deadline
	for i := len(starts) - 1; i >= 0; i-- {
		ready := p.readyBy(i)
		if next.Before(ready) {
			ready = next
		}
		next = ready.Add(-loadTime)
		starts[i] = next
	}
	for i := range min(len(starts), p.serversFor(p.CanaryShare)) {
		starts[i] = p.Start
	}
	return starts
}

// readyBy returns when Servers[i] must have the new version ready.
func (p Plan) readyBy(i int) time.Time {
	for s, stage := range rampStages {
		if i < p.serversFor(stage.share) {
			return p.stageTime(s)
		}
	}
	return p.Deadline
}

// interleaveDomains orders servers so that neighbours are in different failure domains, as far
// as the domains' sizes allow.
func interleaveDomains(servers []Server) []Server {
	byDomain := make(map[wigeonfork.FailureDomain][]Server)
	for _, s := range servers {
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	var domains []wigeonfork.FailureDomain
	for domain, group := range byDomain {
		domains = append(domains, domain)
		slices.SortFunc(group, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(domains)
	ordered := make([]Server, 0, len(servers))
	for round := 0; len(ordered) < len(servers); round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) {
				ordered = append(ordered, byDomain[domain][round])
			}
		}
	}
	return ordered
}
