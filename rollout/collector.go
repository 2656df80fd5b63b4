package rollout

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// DefaultWarmUp is the time for which first tokens of a version that is
	// new on a backend server are not counted, as its prefix cache is empty.
	DefaultWarmUp = 90 * time.Second
	// DefaultMaxStrata bounds the strata in one report or window.
	DefaultMaxStrata = 16384

	minQuantileValues = 20
	scaleQuantile     = 0.5
	slowQuantile      = 0.8
	numLatencies      = 2
)

// VersionPair names the versions of a move.
type VersionPair struct {
	Old wigeonfork.Version
	New wigeonfork.Version
}

// Collector turns what one process sees of two versions into Evidence.
//
// A latency is divided by the old version's median on the same backend server
// at the same load, and counts as slow if it lies above the old version's
// slowQuantile on its route. It is not safe for concurrent use.
type Collector struct {
	source    string
	versions  VersionPair
	warmUp    time.Duration
	maxStrata int
	matcher   matcher
	sequence  uint64
	stopped   bool
	cells     map[Stratum]*cell
	deaths    map[wigeonfork.BackendServerID]EngineDeath
	newSince  map[wigeonfork.BackendServerID]time.Time
	scales    map[scaleKey]*[numLatencies]quantile
	limits    map[limitKey]*[numLatencies]quantile
	dropped   uint64
}

type scaleKey struct {
	server wigeonfork.BackendServerID
	load   LoadLevel
}

type limitKey struct {
	route Route
	load  LoadLevel
}

// NewCollector returns a Collector. Source must be unique to this process
// start.
func NewCollector(source string, versions VersionPair) *Collector {
	return &Collector{
		source:    source,
		versions:  versions,
		warmUp:    DefaultWarmUp,
		maxStrata: DefaultMaxStrata,
		matcher:   newMatcher(),
		cells:     make(map[Stratum]*cell),
		deaths:    make(map[wigeonfork.BackendServerID]EngineDeath),
		newSince:  make(map[wigeonfork.BackendServerID]time.Time),
		scales:    make(map[scaleKey]*[numLatencies]quantile),
		limits:    make(map[limitKey]*[numLatencies]quantile),
	}
}

// Started counts a request that was sent.
func (c *Collector) Started(now time.Time, s Start) {
	counts := c.counts(s)
	if counts == nil {
		return
	}
	counts.starts++
	if s.Version != c.versions.New {
		return
	}
	if _, known := c.newSince[s.Stratum.Server]; !known {
		c.newSince[s.Stratum.Server] = now
	}
}

// Observed counts how a request went.
func (c *Collector) Observed(now time.Time, s Sample) {
	counts := c.counts(s.Start)
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
		if slow, known := c.slow(s, 0, s.FirstToken); known {
			counts.firstTokens++
			counts.slowFirst += slow
		}
	}
	if s.InterToken > 0 {
		if slow, known := c.slow(s, 1, s.InterToken); known {
			counts.interTokens++
			counts.slowInter += slow
		}
	}
}

// EngineRestarted says that the engine of a backend server has started anew, so that
// its prefix cache is empty.
func (c *Collector) EngineRestarted(server wigeonfork.BackendServerID) {
	delete(c.newSince, server)
}

// MarkStopped says that this process has stopped sending to the new version.
func (c *Collector) MarkStopped() { c.stopped = true }

// Flush returns what was found since the last call. It is to be called about
// once a second.
func (c *Collector) Flush(now time.Time) Evidence {
	c.sequence++
	e := Evidence{Source: c.source, Sequence: c.sequence, Stopped: c.stopped}
	for _, cell := range c.cells {
		if !c.matcher.add(now, cell, c.maxStrata) {
			c.dropped++
		}
	}
	for _, death := range c.deaths {
		e.Deaths = append(e.Deaths, death)
	}
	slices.SortFunc(e.Deaths, compareDeaths)
	clear(c.cells)
	clear(c.deaths)
	c.matcher.flush(now, &e)
	return e
}

// Dropped returns how many observations found no room.
func (c *Collector) Dropped() uint64 { return c.dropped }

func (c *Collector) counts(s Start) *counts {
	if s.Version != c.versions.Old && s.Version != c.versions.New {
		return nil
	}
	found := c.cells[s.Stratum]
	if found == nil {
		if len(c.cells) >= c.maxStrata {
			c.dropped++
			return nil
		}
		found = &cell{stratum: s.Stratum, host: s.Host, domain: s.Domain}
		c.cells[s.Stratum] = found
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
	since, known := c.newSince[s.Stratum.Server]
	return !known || now.Sub(since) < c.warmUp
}

// slow judges one latency by the old version's, and learns from it if it is
// the old version's own.
func (c *Collector) slow(s Sample, kind int, latency time.Duration) (uint32, bool) {
	scale := c.scale(scaleKey{s.Stratum.Server, s.Stratum.Load}, kind)
	limit := c.limit(limitKey{s.Stratum.Route, s.Stratum.Load}, kind)
	known := scale.n >= minQuantileValues
	ratio := latency.Seconds() / scale.value()
	judged := known && limit.n >= minQuantileValues
	isSlow := judged && ratio > limit.value()
	if s.Version == c.versions.Old {
		scale.add(latency.Seconds(), scaleQuantile)
		if known {
			limit.add(ratio, slowQuantile)
		}
	}
	if isSlow {
		return 1, true
	}
	return 0, judged
}

// scale returns the old version's median on a backend server. Beyond the bound
// on strata the rest share one.
func (c *Collector) scale(key scaleKey, kind int) *quantile {
	q := c.scales[key]
	if q == nil && len(c.scales) >= c.maxStrata {
		key.server = ""
		q = c.scales[key]
	}
	if q == nil {
		q = new([numLatencies]quantile)
		c.scales[key] = q
	}
	return &q[kind]
}

// limit returns the old version's slow quantile on a route. Beyond the bound on
// strata the rest share one.
func (c *Collector) limit(key limitKey, kind int) *quantile {
	q := c.limits[key]
	if q == nil && len(c.limits) >= c.maxStrata {
		key.route = otherRoutes
		q = c.limits[key]
	}
	if q == nil {
		q = new([numLatencies]quantile)
		c.limits[key] = q
	}
	return &q[kind]
}
