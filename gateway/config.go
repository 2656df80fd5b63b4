package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/storeread"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// configState holds the configuration in force and a bound on its age.
type configState struct {
	log     *telemetry.Logger
	current atomic.Pointer[routetable.Table]

	mu       sync.Mutex
	bound    freshness.Bound
	verifier freshness.Verifier
	lag      freshness.Lag
	// kept is the older version that the store last showed, and its era.
	kept keptVersion
	// readingSince is when the read in progress began, or zero.
	readingSince time.Time
	// reported is the newest version that a peer has reported and that was logged.
	reported uint64
}

type keptVersion struct{ era, version uint64 }

func newConfigState(o *Options) *configState { return &configState{log: o.Log} }

func (c *configState) table() *routetable.Table { return c.current.Load() }

// age returns the time since the configuration was last known to be the newest. It
// returns false if it never was.
func (c *configState) age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Age(bootClock())
}

// behind returns for how long a newer configuration than the one in force has been known. It
// returns false if none is.
func (c *configState) behind() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.Behind(bootClock())
}

// ageMs returns the age in milliseconds, or -1 if the configuration was never known to be
// the newest.
func (c *configState) ageMs() int64 {
	age, known := c.age()
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// beginRead and endRead record that a read of the store is in progress.
func (c *configState) beginRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = now
}

func (c *configState) endRead() { c.beginRead(time.Time{}) }

// logReported logs a peer's report of a version above the one in force, once for each version.
func (c *configState) logReported(now time.Time, version uint64) {
	table := c.table()
	c.mu.Lock()
	defer c.mu.Unlock()
	if table == nil || version <= max(table.Version(), c.reported) {
		return
	}
	c.reported = version
	reading := time.Duration(0)
	if !c.readingSince.IsZero() {
		reading = now.Sub(c.readingSince)
	}
	c.log.Info().Uint64("version", version).Uint64("in_force", table.Version()).
		Int64("reading_ms", reading.Milliseconds()).Msg("configuration_reported")
}

// configResult says what an answer of the store changed.
type configResult struct {
	verdict freshness.Verdict
	// installed is set if a new table was installed.
	installed bool
	// newEra is set for the first answer of an era that began while the gateway ran.
	newEra bool
	// kept is set if the store shows an older table than the one in force, for the first
	// time in an era.
	kept bool
}

// observe applies the store's answer to a call that was sent at the given time. A
// version older than the one in force is ignored, so an accepted configuration never
// reverts, also if the store comes back from an older copy.
func (c *configState) observe(change ConfigurationChange, sent freshness.Instant) configResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := freshness.Answer{Era: change.Era, Revision: change.Revision, Sent: sent, StoreNow: change.Now}
	known := c.current.Load()
	inForce, install := uint64(0), false
	if known != nil {
		inForce = known.Version()
	}
	if change.Table != nil {
		answer.Version, answer.WrittenAt = change.Table.Version(), change.TableRevision
		install = known == nil || answer.Version > inForce
	}
	r := configResult{}
	if shown := (keptVersion{change.Era, answer.Version}); change.Table != nil && answer.Version < inForce && shown != c.kept {
		c.kept, r.kept = shown, true
	}
	r.verdict, r.newEra = c.verifier.Observe(answer, max(inForce, answer.Version))
	if r.verdict == freshness.Stale {
		return configResult{verdict: r.verdict}
	}
	if install {
		c.current.Store(change.Table)
		c.lag.Installed(answer.Version)
		r.installed = true
	}
	c.updateBound(r, sent, bootClock(), change.Now)
	return r
}

func (c *configState) updateBound(r configResult, sent, received freshness.Instant, storeNow time.Duration) {
	if r.newEra {
		c.bound.ClockRestarted()
	}
	switch r.verdict {
	case freshness.Proven:
		c.bound.Observe(sent, received, storeNow)
	case freshness.Outdated:
		c.bound.Invalidate()
	default:
		c.bound.ObserveClock(sent, received, storeNow)
	}
}

// peerConfiguration is a peer's report that a configuration was the newest when the
// store's clock showed storeNow in an era. storeNow is 0 if that is not proven.
type peerConfiguration struct {
	version, era uint64
	storeNow     time.Duration
}

// peerVerdict says what a peer's report means for this entry.
type peerVerdict struct {
	// isNew is set if there is something new to read. mayBeTold is set if it is only a newer
	// version of the same era, which the peer that read it sends too.
	isNew     bool
	mayBeTold bool
	// proven is set if the report proves that the configuration in force was the newest, as of
	// age ago.
	proven bool
	age    time.Duration
}

// observePeer applies a peer's report. A report of another era proves nothing, since the
// clock may be another one.
func (c *configState) observePeer(p peerConfiguration) peerVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootClock()
	c.verifier.ObservePeer(now, p.version)
	known := c.current.Load()
	era, _ := c.verifier.Era()
	if known != nil {
		c.lag.Reported(now, p.version, known.Version())
	}
	if known == nil || p.version > known.Version() || p.era > era {
		return peerVerdict{isNew: true, mayBeTold: known != nil && p.era == era}
	}
	if p.version < known.Version() || p.era != era || p.storeNow <= 0 {
		return peerVerdict{}
	}
	asOf, ok := c.bound.ObservePeer(p.storeNow)
	return peerVerdict{proven: ok, age: max(0, time.Duration(now-asOf))}
}

// installFromPeer installs a newer table that a peer read in this entry's era of the store. An
// entry that has read nothing itself takes none, since it does not know the store's clock. A
// peer's table proves nothing of its age; see observePeer.
func (c *configState) installFromPeer(table *routetable.Table, era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.current.Load()
	own, read := c.verifier.Era()
	if known == nil || !read || era != own || table.Version() <= known.Version() {
		return false
	}
	c.verifier.ObservePeer(bootClock(), table.Version())
	c.current.Store(table)
	c.lag.Installed(table.Version())
	return true
}

// era returns the newest known era of the store.
func (c *configState) era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	era, _ := c.verifier.Era()
	return era
}

// bootClock reads a monotonic clock that includes the time the host is suspended.
func bootClock() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic(errors.Wrap(err, "read the boot clock"))
	}
	return freshness.Instant(ts.Nano())
}

const (
	// longPollMargin is the time that a long poll of the store may take beyond its
	// wait.
	longPollMargin = 1200 * time.Millisecond
	// storeReadTimeout bounds a call to the store or the registry that does not wait
	// for a change.
	storeReadTimeout = 2 * time.Second
	// storeRetryMin and storeRetryMax bound the delay after a failed call.
	storeRetryMin = 150 * time.Millisecond
	storeRetryMax = 300 * time.Millisecond
	// revokeMargin is the part of the revoke limit reserved for a request in transit,
	// for a watch of the store that misses a change, and for clock errors.
	revokeMargin = 1200 * time.Millisecond
)

// readReserve is the part of a limit that is reserved for a read of the store which is repeated once, for the
// reports to the peers, and for a configuration that is not told.
const readReserve = storeread.FirstDelay + 300*time.Millisecond + toldGrace

// configurationWait is the wait of one long poll for a new configuration. Each
// completed poll renews the configuration's freshness.
func configurationWait(b *Bounds) time.Duration {
	return min(b.RevokeLimit/5, loadshare.IntervalWithin(b.ApplyLimit, readReserve))
}

// serversInterval is the time between two reads of the registered servers.
func serversInterval(b *Bounds) time.Duration {
	return min(b.DrainLimit/2, loadshare.IntervalWithin(b.DrainLimit, readReserve))
}

// dependency logs when calls to the store begin to fail and when they succeed again.
// It also delays the calls that follow a failure.
type dependency struct {
	log          *telemetry.Logger
	name         string
	backoff      *retry.Backoff
	failures     int
	failingSince time.Time
}

func (g *Gateway) newDependency(name string) *dependency {
	return &dependency{
		log: g.options.Log, name: name,
		backoff: retry.NewBackoff(seedOf(g.options.Host), storeRetryMin, storeRetryMax),
	}
}

func (d *dependency) recordSuccess(now time.Time) {
	if d.failures > 0 {
		d.log.Info().Str("dependency", d.name).Int("failures", d.failures).Int64("after_ms", now.Sub(d.failingSince).Milliseconds()).Msg("dependency_regained")
	}
	d.failures = 0
}

// recordFailure records a failed call and returns the delay before the next.
func (d *dependency) recordFailure(now time.Time, err error) time.Duration {
	d.failures++
	if d.failures == 1 {
		d.failingSince = now
		d.log.Warn().Str("dependency", d.name).Err(err).Msg("dependency_lost")
	}
	return d.backoff.After(d.failures)
}

// pause waits for d. It returns false if the gateway is stopped meanwhile.
func (g *Gateway) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.background.Done():
		return false
	}
}
