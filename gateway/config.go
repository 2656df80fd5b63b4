package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// configState holds the configuration in force and a bound on its age.
type configState struct {
	log     *telemetry.Logger
	current atomic.Pointer[routetable.Table]

	mu    sync.Mutex
	bound freshness.Bound
}

func newConfigState(o *Options) *configState { return &configState{log: o.Log} }

func (c *configState) table() *routetable.Table { return c.current.Load() }

// age returns the time since the configuration was last known to be the newest. It
// returns false if it never was.
func (c *configState) age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Age(bootClock())
}

// observe applies the store's answer to a call that was sent at the given time. A
// version older than the one in force is ignored, so an accepted configuration never
// reverts. It returns whether a new table was installed.
func (c *configState) observe(change ConfigurationChange, sent freshness.Instant) bool {
	installed := false
	if change.Table != nil {
		known := c.current.Load()
		if known == nil || change.Table.Version() > known.Version() {
			c.current.Store(change.Table)
			installed = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.Observe(sent, bootClock(), change.Now)
	return installed
}

// observePeer applies a peer's report that version was the newest when the store's
// clock showed storeNow. It returns whether there is a newer version to read.
func (c *configState) observePeer(version uint64, storeNow time.Duration) (newer bool) {
	known := c.current.Load()
	if known == nil || version > known.Version() {
		return true
	}
	if version < known.Version() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.ObservePeer(storeNow)
	return false
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

// configurationWait is the wait of one long poll for a new configuration. Each
// completed poll renews the configuration's freshness.
func configurationWait(b *Bounds) time.Duration { return b.RevokeLimit / 5 }

// serversInterval is the time between two reads of the registered servers.
func serversInterval(b *Bounds) time.Duration { return b.DrainLimit / 2 }

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
		d.log.Info().Str("dependency", d.name).Int("failures", d.failures).Dur("after", now.Sub(d.failingSince)).Msg("dependency_regained")
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
