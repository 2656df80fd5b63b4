package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// configState is the configuration in force with the proof of its age.
type configState struct {
	log     *telemetry.Logger
	current atomic.Pointer[routetable.Table]

	mu    sync.Mutex
	bound freshness.Bound
}

func newConfigState(o *Options) *configState { return &configState{log: o.Log} }

func (c *configState) table() *routetable.Table { return c.current.Load() }

// age returns how old the proof of the configuration is.
func (c *configState) age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Age(bootClock())
}

// observe takes in an answer of the store. A version below the one in force is
// left aside: what was accepted never reverts.
func (c *configState) observe(change ConfigurationChange, sent freshness.Clock) bool {
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

// bootClock is a steady clock that goes on while the host is suspended.
func bootClock() freshness.Clock {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic(errors.Wrap(err, "read the boot clock"))
	}
	return freshness.Clock(ts.Nano())
}

const (
	// callMargin is the time beyond its own wait that a call to the store may take.
	callMargin = 1200 * time.Millisecond
	// firstReadTimeout bounds the reading of everything.
	firstReadTimeout = 2 * time.Second
	// storeRetryLeast and storeRetryMost bound the time between failed calls.
	storeRetryLeast = 150 * time.Millisecond
	storeRetryMost  = 300 * time.Millisecond
	// serversRetryMost bounds the wait for the store's return where the other
	// follower has not noticed it.
	serversRetryMost = 3 * time.Second
	// revokeMargin is the part of the revoke limit left for a request on its way,
	// for a wait of the store that hears nothing of a change, and for errors of
	// clocks.
	revokeMargin = 1200 * time.Millisecond
)

// configurationWait is how long a call waits for a new configuration. Each end
// of it renews the proof of the configuration's age.
func configurationWait(b *Bounds) time.Duration { return b.RevokeLimit / 5 }

// serversInterval is the time between two readings of the registered servers.
func serversInterval(b *Bounds) time.Duration { return b.DrainLimit / 2 }

// storeSignal wakes the follower of the servers once the store answers the
// follower of the configuration again, so that only one of them asks meanwhile.
type storeSignal struct {
	mu     sync.Mutex
	lost   bool
	regain chan struct{}
}

func newStoreSignal() *storeSignal { return &storeSignal{regain: make(chan struct{})} }

func (s *storeSignal) set(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost && !lost {
		close(s.regain)
		s.regain = make(chan struct{})
	}
	s.lost = lost
}

// wait returns a channel that is closed when the store answers again, or nil if
// it is not known to be lost.
func (s *storeSignal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		return nil
	}
	return s.regain
}

// dependency logs when the store is lost and regained.
type dependency struct {
	log     *telemetry.Logger
	name    string
	backoff *retry.Backoff
	failed  int
	since   time.Time
}

func (g *Gateway) newDependency(name string) *dependency {
	return &dependency{
		log: g.options.Log, name: name,
		backoff: retry.NewBackoff(seedOf(g.options.Host), storeRetryLeast, storeRetryMost),
	}
}

func (d *dependency) answered(now time.Time) {
	if d.failed > 0 {
		d.log.Info().Str("dependency", d.name).Int("failures", d.failed).Dur("after", now.Sub(d.since)).Msg("dependency_regained")
	}
	d.failed = 0
}

// lost records a failed call and returns the time until the next.
func (d *dependency) lost(now time.Time, err error) time.Duration {
	d.failed++
	if d.failed == 1 {
		d.since = now
		d.log.Warn().Str("dependency", d.name).Err(err).Msg("dependency_lost")
	}
	return d.backoff.After(d.failed)
}

// pause waits, and returns false at the end of the gateway.
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

// followConfiguration keeps the newest configuration in force.
func (g *Gateway) followConfiguration() {
	store := g.newDependency("configuration")
	since, known := uint64(0), false
	for {
		revision, err := g.readConfiguration(since, known)
		switch {
		case err == nil:
			store.answered(time.Now())
			g.store.set(false)
			since, known = revision, true
		case errors.Is(err, ErrHistoryLost):
			g.options.Log.Info().Uint64("since", since).Msg("configuration_history_lost")
			known = false
		default:
			g.store.set(true)
			if !g.pause(store.lost(time.Now(), err)) {
				return
			}
		}
		if g.background.Err() != nil {
			return
		}
	}
}

func (g *Gateway) readConfiguration(since uint64, known bool) (uint64, error) {
	wait := configurationWait(g.bounds.Load())
	timeout := firstReadTimeout
	if known {
		timeout = wait + callMargin
	}
	ctx, cancel := context.WithTimeout(g.background, timeout)
	defer cancel()
	sent := bootClock()
	var change ConfigurationChange
	var err error
	if known {
		change, err = g.options.Source.ConfigurationAfter(ctx, since, wait)
	} else {
		change, err = g.options.Source.Configuration(ctx)
	}
	if err != nil {
		return 0, err
	}
	if g.config.observe(change, sent) {
		g.fleet.install(change.Table)
		g.options.Log.Info().Uint64("version", change.Table.Version()).Uint64("revision", change.Revision).
			Int("services", len(change.Table.Services())).Msg("configuration_installed")
	}
	if g.config.table() != nil {
		g.warmed(warmConfiguration)
	}
	return change.Revision, nil
}

// followServers keeps the registered servers.
func (g *Gateway) followServers() {
	store := g.newDependency("servers")
	since, known := uint64(0), false
	for {
		revision, err := g.readServers(since, known)
		wait := serversInterval(g.bounds.Load())
		switch {
		case err == nil:
			store.answered(time.Now())
			since, known = revision, true
		case errors.Is(err, ErrHistoryLost):
			g.options.Log.Info().Uint64("since", since).Msg("servers_history_lost")
			known, wait = false, 0
		default:
			wait = store.lost(time.Now(), err)
			g.fleet.registryLost()
			if !g.awaitStore() {
				return
			}
		}
		if !g.pause(wait) {
			return
		}
	}
}

// awaitStore waits while the store is known to be lost, at most
// serversRetryMost, and returns false at the end of the gateway.
func (g *Gateway) awaitStore() bool {
	regained := g.store.wait()
	if regained == nil {
		return true
	}
	timer := time.NewTimer(serversRetryMost)
	defer timer.Stop()
	select {
	case <-regained:
		return true
	case <-timer.C:
		return true
	case <-g.background.Done():
		return false
	}
}

func (g *Gateway) readServers(since uint64, known bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(g.background, firstReadTimeout)
	defer cancel()
	if known {
		read, err := g.options.Source.ServersAfter(ctx, since)
		if err != nil {
			return 0, err
		}
		g.fleet.change(time.Now(), read.Changes)
		return read.Revision, nil
	}
	read, err := g.options.Source.Servers(ctx)
	if err != nil {
		return 0, err
	}
	entries := make([]directory.Entry, 0, len(read.Changes))
	for _, change := range read.Changes {
		entries = append(entries, change.Entry)
	}
	g.fleet.replace(time.Now(), entries)
	g.warmed(warmServers)
	return read.Revision, nil
}
