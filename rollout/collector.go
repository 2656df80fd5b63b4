package rollout

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// DefaultWarmUp is how long first-token latencies of a new version on a backend server
	// are ignored, because its prefix cache starts empty.
	DefaultWarmUp = 90 * time.Second
	// DefaultMaxStrata bounds the strata counted between two flushes. It also bounds the open
	// windows and the latency estimates of each kind.
	DefaultMaxStrata = 16384

	minQuantileValues = 20
	baselineQuantile  = 0.5
	slowQuantile      = 0.8
	numLatencyKinds   = 2 // index 0 is the first token, 1 the later ones
)

// VersionPair names the versions of a move.
type VersionPair struct {
	Old wigeonfork.Version
	New wigeonfork.Version
}

// Collector turns what one process observes of two versions into Evidence.
//
// A latency is divided by the old version's median on the same backend server at the same
// load level. It counts as slow if the ratio exceeds the old version's slowQuantile on the
// same route at the same load level. A Collector is not safe for concurrent use.
type Collector struct {
	source         string
	versions       VersionPair
	warmUp         time.Duration
	maxStrata      int
	matcher        matcher
	sequence       uint64
	stopped        bool
	strata         map[Stratum]*stratumCounts
	deaths         map[wigeonfork.BackendServerID]EngineDeath
	warmUpStart    map[wigeonfork.BackendServerID]time.Time
	baselines      map[serverLoadKey]*[numLatencyKinds]quantile
	slowThresholds map[routeLoadKey]*[numLatencyKinds]quantile
	dropped        uint64
}

type serverLoadKey struct {
	server wigeonfork.BackendServerID
	load   LoadLevel
}

type routeLoadKey struct {
	route Route
	load  LoadLevel
}

// NewCollector returns a Collector. The source must be unique to this process incarnation.
func NewCollector(source string, versions VersionPair) *Collector {
	return &Collector{
		source:         source,
		versions:       versions,
		warmUp:         DefaultWarmUp,
		maxStrata:      DefaultMaxStrata,
		matcher:        newMatcher(),
		strata:         make(map[Stratum]*stratumCounts),
		deaths:         make(map[wigeonfork.BackendServerID]EngineDeath),
		warmUpStart:    make(map[wigeonfork.BackendServerID]time.Time),
		baselines:      make(map[serverLoadKey]*[numLatencyKinds]quantile),
		slowThresholds: make(map[routeLoadKey]*[numLatencyKinds]quantile),
	}
}

// Started counts a request that was sent.
func (c *Collector) Started(now time.Time, s Start) {
	counts := c.countsFor(s)
	if counts == nil {
		return
	}
	counts.starts++
	if s.Version != c.versions.New {
		return
	}
	if _, known := c.warmUpStart[s.Stratum.Server]; !known {
		c.warmUpStart[s.Stratum.Server] = now
	}
}

// Observed counts the outcome and the latencies of a request.
func (c *Collector) Observed(now time.Time, s Sample) {
	counts := c.countsFor(s.Start)
	if counts == nil {
		return
	}
	switch s.Outcome {
	case OutcomeError:
		counts.errors++
	case OutcomeWrongStop:
		counts.wrongStops++
	case OutcomeEngineDeath:
		c.deaths[s.Stratum.Server] = EngineDeath{Server: s.Stratum.Server, Host: s.Host, Domain: s.Domain}
		c.EngineRestarted(s.Stratum.Server)
	}
	if s.FirstToken > 0 && !c.warmingUp(now, s) {
		if slow, known := c.classifyLatency(s, 0, s.FirstToken); known {
			counts.firstTokens++
			counts.slowFirstTokens += slow
		}
	}
	if s.InterToken > 0 {
		if slow, known := c.classifyLatency(s, 1, s.InterToken); known {
			counts.interTokens++
			counts.slowInterTokens += slow
		}
	}
}

// EngineRestarted restarts the warm-up of a backend server at its next request, because the
// prefix cache of a restarted engine is empty.
func (c *Collector) EngineRestarted(server wigeonfork.BackendServerID) {
	delete(c.warmUpStart, server)
}

// MarkStopped sets Evidence.Stopped in all later reports. Call it when this process stops
// sending to the new version on its own evidence.
func (c *Collector) MarkStopped() { c.stopped = true }

// Flush returns the evidence found since the last call. Call it about once a second.
func (c *Collector) Flush(now time.Time) Evidence {
	c.sequence++
	e := Evidence{Source: c.source, Sequence: c.sequence, Stopped: c.stopped}
	for _, stratum := range c.strata {
		if !c.matcher.add(now, stratum, c.maxStrata) {
			c.dropped++
		}
	}
	for _, death := range c.deaths {
		e.Deaths = append(e.Deaths, death)
	}
	slices.SortFunc(e.Deaths, compareDeaths)
	clear(c.strata)
	clear(c.deaths)
	c.matcher.flush(now, &e)
	return e
}

// Dropped returns how many events or per-stratum counts were dropped because strata or windows
// were full.
func (c *Collector) Dropped() uint64 { return c.dropped }

func (c *Collector) countsFor(s Start) *counts {
	if s.Version != c.versions.Old && s.Version != c.versions.New {
		return nil
	}
	found := c.strata[s.Stratum]
	if found == nil {
		if len(c.strata) >= c.maxStrata {
			c.dropped++
			return nil
		}
		found = &stratumCounts{stratum: s.Stratum, host: s.Host, domain: s.Domain}
		c.strata[s.Stratum] = found
	}
	if s.Version == c.versions.New {
		return &found.new
	}
	return &found.old
}

func (c *Collector) warmingUp(now time.Time, s Sample) bool {
	if s.Version != c.versions.New {
		return false
	}
	since, known := c.warmUpStart[s.Stratum.Server]
	return !known || now.Sub(since) < c.warmUp
}

// classifyLatency returns 1 if a latency is slow compared with the old version, and whether
// there are enough samples to compare. Latencies of the old version update the estimates.
func (c *Collector) classifyLatency(s Sample, kind int, latency time.Duration) (uint32, bool) {
	baseline := c.baselineFor(serverLoadKey{s.Stratum.Server, s.Stratum.Load}, kind)
	threshold := c.slowThresholdFor(routeLoadKey{s.Stratum.Route, s.Stratum.Load}, kind)
	hasBaseline := baseline.n >= minQuantileValues
	ratio := latency.Seconds() / baseline.value()
	hasThreshold := hasBaseline && threshold.n >= minQuantileValues
	isSlow := hasThreshold && ratio > threshold.value()
	if s.Version == c.versions.Old {
		baseline.add(latency.Seconds(), baselineQuantile)
		if hasBaseline {
			threshold.add(ratio, slowQuantile)
		}
	}
	if isSlow {
		return 1, true
	}
	return 0, hasThreshold
}

// baselineFor returns the estimate of the old version's median on a backend server. Once
// there are maxStrata estimates, new backend servers share one per load level.
func (c *Collector) baselineFor(key serverLoadKey, kind int) *quantile {
	q := c.baselines[key]
	if q == nil && len(c.baselines) >= c.maxStrata {
		key.server = ""
		q = c.baselines[key]
	}
	if q == nil {
		q = new([numLatencyKinds]quantile)
		c.baselines[key] = q
	}
	return &q[kind]
}

// slowThresholdFor returns the estimate of the old version's slow quantile on a route. Once
// there are maxStrata estimates, new routes share one per load level.
func (c *Collector) slowThresholdFor(key routeLoadKey, kind int) *quantile {
	q := c.slowThresholds[key]
	if q == nil && len(c.slowThresholds) >= c.maxStrata {
		key.route = otherRoutes
		q = c.slowThresholds[key]
	}
	if q == nil {
		q = new([numLatencyKinds]quantile)
		c.slowThresholds[key] = q
	}
	return &q[kind]
}
