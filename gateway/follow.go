package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// fullReadAfter is the age of an entry's own last read of the configuration after
// which it reads everything, since the store may no longer keep the changes.
const fullReadAfter = 8 * time.Second

// follower schedules this entry's reads from the store among those of its peers.
type follower struct {
	mu       sync.Mutex
	schedule *loadshare.ReadSchedule
	wakeup   chan struct{}
	// rescheduled makes await look at the schedule again.
	rescheduled chan struct{}
}

func newFollower(interval time.Duration) *follower {
	return &follower{schedule: loadshare.NewReadSchedule(interval), wakeup: make(chan struct{}, 1), rescheduled: make(chan struct{}, 1)}
}

// setInterval replaces the interval of the reads, also for one that is awaited.
func (f *follower) setInterval(interval time.Duration) {
	f.mu.Lock()
	f.schedule.SetInterval(interval)
	f.mu.Unlock()
	notify(f.rescheduled)
}

// recordRead records a read by this entry or a peer, of what the store held at the given time.
func (f *follower) recordRead(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule.RecordRead(at)
}

// wake triggers a read at once.
func (f *follower) wake() { notify(f.wakeup) }

// notify sends on a channel that holds one notification, unless it holds one already.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (f *follower) nextRead(rank int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.schedule.Due(rank)
}

// readTrigger says why an entry reads from the store.
type readTrigger uint8

// The triggers.
const (
	// readNever: the entry ends.
	readNever readTrigger = iota
	// readDue: it is this entry's turn to read for all, since it has heard of no other read in time.
	readDue
	// readWoken: the entry has missed what others have read, or can read again.
	readWoken
)

// await waits until this entry's next read is due or wake is called. It returns false
// if ctx ends first.
func (f *follower) await(ctx context.Context, rank func() int) bool {
	return f.awaitTrigger(ctx, rank) != readNever
}

// awaitTrigger is await, and returns why to read.
func (f *follower) awaitTrigger(ctx context.Context, rank func() int) readTrigger {
	for {
		left := time.Until(f.nextRead(rank()))
		if left <= 0 {
			if ctx.Err() != nil {
				return readNever
			}
			return readDue
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-f.rescheduled:
			timer.Stop()
		case <-f.wakeup:
			timer.Stop()
			return readWoken
		case <-ctx.Done():
			timer.Stop()
			return readNever
		}
	}
}

// readerRank is this entry's rank among the live entries as a reader of the store.
func (g *Gateway) readerRank() int {
	if g.gossip == nil {
		return 0
	}
	return g.gossip.rank(time.Now())
}

// readPosition is the position of the store up to which something was read.
type readPosition struct {
	storepos.Position
	// known is false if everything must be read.
	known  bool
	readAt time.Time
}

// followConfiguration keeps the newest configuration in force until the gateway ends.
func (g *Gateway) followConfiguration() {
	store := g.newDependency("configuration")
	var at readPosition
	for {
		trigger := readDue
		if g.readerRank() > 0 {
			trigger = g.configFollower.awaitTrigger(g.background, g.readerRank)
		}
		if trigger == readNever {
			return
		}
		err := g.readConfiguration(&at, trigger)
		switch {
		case err == nil:
			store.recordSuccess(time.Now())
			g.serversFollower.wakeIf(g.storeLost.Swap(false))
		case errors.Is(err, ErrHistoryLost):
			g.options.Log.Info().Uint64("era", at.Era).Uint64("since", at.Revision).Msg("configuration_history_lost")
			at.known = false
		default:
			g.storeLost.Store(true)
			if !g.pause(store.recordFailure(time.Now(), err)) {
				return
			}
		}
		if g.background.Err() != nil {
			return
		}
	}
}

func (f *follower) wakeIf(wake bool) {
	if wake {
		f.wake()
	}
}

// readConfiguration reads the configuration once and announces it to the peers. The
// entry with rank 0 waits at the store for a change after its last read. The others
// read the complete configuration.
func (g *Gateway) readConfiguration(at *readPosition, trigger readTrigger) error {
	bounds := g.bounds.Load()
	wait := configurationWait(bounds)
	longPoll := at.known && g.readerRank() == 0 && time.Since(at.readAt) < fullReadAfter
	timeout := storeReadTimeout
	if longPoll {
		timeout = wait + longPollMargin
	}
	ctx, cancel := context.WithTimeout(g.background, timeout)
	defer cancel()
	began := time.Now()
	g.config.beginRead(began)
	defer g.config.endRead()
	sent := bootClock()
	var change ConfigurationChange
	var err error
	if longPoll {
		change, err = g.options.Source.ConfigurationAfter(ctx, at.Position, wait)
	} else {
		change, err = g.options.Source.Configuration(ctx)
	}
	g.recordConfigurationRead(longPoll, time.Since(began), wait, err)
	if err != nil {
		return err
	}
	result := g.config.observe(change, sent)
	if result.verdict == freshness.Stale {
		return errors.Newf("the answer is of era %d, which has ended", change.Era)
	}
	*at = readPosition{Position: change.Position, known: true, readAt: time.Now()}
	g.applyConfiguration(change, result, trigger)
	return nil
}

// slowRead is the time of a read of the store, beyond its wait, above which it is logged.
const slowRead = 500 * time.Millisecond

// recordConfigurationRead records how long a read of the configuration took.
func (g *Gateway) recordConfigurationRead(longPoll bool, took, wait time.Duration, err error) {
	kind := "full"
	if longPoll {
		kind = "wait"
		took = max(0, took-wait)
	}
	telemetry.Histogram(g.options.Metrics, "configuration_read_ms."+kind).Update(took.Milliseconds())
	if took >= slowRead {
		g.options.Log.Warn().Str("kind", kind).Int64("took_ms", took.Milliseconds()).Int64("age_ms", g.config.ageMs()).Err(err).Msg("configuration_read_slow")
	}
}

// applyConfiguration applies the result of a read and announces it to the peers.
func (g *Gateway) applyConfiguration(change ConfigurationChange, result configResult, trigger readTrigger) {
	if result.newEra {
		g.eraBegan(change.Position)
	}
	if result.kept {
		telemetry.Counter(g.options.Metrics, "era.configuration_kept").Inc(1)
		g.options.Log.Info().Uint64("shown", change.Table.Version()).Uint64("kept", g.config.table().Version()).Msg("configuration_kept")
	}
	if g.options.Moves != nil && len(change.Moves) > 0 {
		g.moves.observeOrders(change.Moves)
	}
	if result.installed {
		g.fleet.setEngines(change.Table)
		g.options.Log.Info().Uint64("version", change.Table.Version()).Uint64("revision", change.Revision).
			Int("services", len(change.Table.Services())).Msg("configuration_installed")
	}
	table := g.config.table()
	if table == nil {
		return
	}
	g.warm.mark(warmConfiguration)
	g.configFollower.recordRead(time.Now())
	report := configurationReport(table.Version(), change.Stamp, result.verdict)
	if result.installed && trigger == readDue {
		g.tellConfiguration(&change, report)
	}
	g.reportConfiguration(report, trigger)
	if result.installed || result.newEra {
		// A second datagram is sent in case the first one was lost.
		time.AfterFunc(2*batchInterval, func() { g.reportConfiguration(report, trigger) })
	}
}

// reportConfiguration sends the peers a report on the configuration that was read. All get that of the entry whose turn it
// was. One that was woken by such a report sends its own to its targets, in case they have missed the first.
func (g *Gateway) reportConfiguration(report loadshare.Message, trigger readTrigger) {
	if trigger == readDue {
		g.gossip.sendConfigurationReport(report)
		return
	}
	g.gossip.enqueue(report)
}

// configurationReport returns the message that reports the configuration in force after a
// read.
func configurationReport(version uint64, at Stamp, verdict freshness.Verdict) loadshare.Message {
	report := loadshare.Message{Kind: loadshare.ConfigCurrent, Server: loadshare.ServerHash(version), Tokens: uint32(at.Era)}
	if verdict == freshness.Proven {
		report.Value = uint64(at.Now.Milliseconds())
	}
	return report
}

// handlePeerVersion handles a peer's report of the newest configuration version.
func (g *Gateway) handlePeerVersion(now time.Time, m loadshare.Message) {
	report := peerConfiguration{version: uint64(m.Server), era: uint64(m.Tokens), storeNow: time.Duration(m.Value) * time.Millisecond}
	verdict := g.config.observePeer(report)
	switch {
	case verdict.mayBeTold:
		g.config.logReported(now, report.version)
		time.AfterFunc(toldGrace, func() { g.readUnlessTold(report.version) })
	case verdict.isNew:
		g.config.logReported(now, report.version)
		g.configFollower.wake()
	case verdict.proven:
		g.configFollower.recordRead(now.Add(-verdict.age))
	}
}

// serversState is the position up to which the registered servers are known, from
// reads of this entry or of peers.
type serversState struct {
	mu sync.Mutex
	readPosition
}

// followServers keeps the registered servers up to date until the gateway ends.
func (g *Gateway) followServers() {
	store := g.newDependency("servers")
	for {
		trigger := g.serversFollower.awaitTrigger(g.background, g.readerRank)
		if trigger == readNever {
			return
		}
		err := g.readServers(trigger)
		switch {
		case err == nil:
			store.recordSuccess(time.Now())
		case errors.Is(err, ErrHistoryLost):
			g.options.Log.Info().Msg("servers_history_lost")
			g.servers.invalidate()
			g.serversFollower.wake()
		default:
			g.fleet.registryLost()
			if !g.pauseForStore(store.recordFailure(time.Now(), err)) {
				return
			}
		}
	}
}

// storeProbeInterval is the time between two calls of the servers follower while the
// configuration follower finds the store unavailable and polls for its return.
const storeProbeInterval = 2 * time.Second

// pauseForStore waits after a failed call, longer if the configuration follower polls
// the store. It returns false if the gateway is stopped meanwhile.
func (g *Gateway) pauseForStore(wait time.Duration) bool {
	if !g.storeLost.Load() {
		return g.pause(wait)
	}
	timer := time.NewTimer(storeProbeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.serversFollower.wakeup:
	case <-g.background.Done():
		return false
	}
	return true
}

func (s *serversState) get() readPosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readPosition
}

func (s *serversState) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = false
}

// readServers reads the registered servers once. It sends the changes to the peers if the read was due: an entry that
// reads what it has missed would tell the others what they know, as would all others that have missed it.
func (g *Gateway) readServers(trigger readTrigger) error {
	ctx, cancel := context.WithTimeout(g.background, storeReadTimeout)
	defer cancel()
	at := g.servers.get()
	if !at.known {
		return g.readAllServers(ctx)
	}
	read, err := g.options.Source.ServersAfter(ctx, at.Position)
	if err != nil {
		return err
	}
	g.applyServerChanges(time.Now(), at.Position, read, trigger == readDue)
	return nil
}

func (g *Gateway) readAllServers(ctx context.Context) error {
	read, err := g.options.Source.Servers(ctx)
	if err != nil {
		return err
	}
	entries := make([]directory.Entry, 0, len(read.Changes))
	for _, change := range read.Changes {
		if !change.Removed {
			entries = append(entries, change.Entry)
		}
	}
	now := time.Now()
	if err := g.replaceServers(now, read.Position, entries); err != nil {
		return err
	}
	g.serversFollower.recordRead(now)
	g.moves.beginMoves(now)
	g.warm.mark(warmServers)
	return nil
}

// replaceServers applies a complete read. If it is of a later era than what is known, it
// sends the changes to the peers, so that they need not read too.
func (g *Gateway) replaceServers(now time.Time, at storepos.Position, entries []directory.Entry) error {
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	known := g.servers.Position
	switch {
	case at.Era < known.Era:
		return errors.Newf("the answer is of era %d, which has ended", at.Era)
	case at.Era > known.Era && !g.servers.readAt.IsZero():
		changes := g.fleet.copyChanges(entries)
		g.fleet.applyCopy(now, changes)
		g.gossip.sendRegistryUpdate(loadshare.NewRegistryUpdate(known, at, changes))
	default:
		g.fleet.replaceServers(now, entries)
	}
	g.servers.readPosition = readPosition{Position: at, known: true, readAt: now}
	return nil
}

// applyServerChanges applies this entry's read of the changes after from, and tells the peers of them if so asked. It
// ignores the read if peers have sent later changes meanwhile.
func (g *Gateway) applyServerChanges(now time.Time, from storepos.Position, read ServersChange, tell bool) {
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	if read.Position.Before(g.servers.Position) {
		return
	}
	// Changes that are known here are left out of the message, so it begins at the
	// position that this entry held. A peer that is behind that position reads for
	// itself.
	from = storepos.Later(from, g.servers.Position)
	updates := g.fleet.applyChanges(now, read.Changes)
	g.servers.readPosition = readPosition{Position: read.Position, known: true, readAt: now}
	g.serversFollower.recordRead(now)
	if tell {
		g.gossip.sendRegistryUpdate(loadshare.NewRegistryUpdate(from, read.Position, updates))
	}
}

// applyPeerUpdate applies the changes that a peer read. It triggers a read of this
// entry if changes are missing.
func (g *Gateway) applyPeerUpdate(now time.Time, r *loadshare.RegistryUpdate) {
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	switch from, to := r.Span(); {
	case !g.servers.known || to.Before(g.servers.Position):
	case from.Era < to.Era && g.servers.Era == to.Era:
		// This entry has read the new era itself.
	case from.After(g.servers.Position) || r.Partial:
		g.serversFollower.wake()
	case from.Era < to.Era:
		g.fleet.applyCopy(now, r.Changes)
		g.servers.Position = to
		g.serversFollower.recordRead(now)
	default:
		g.fleet.applyChanges(now, r.Changes)
		g.servers.Position = to
		g.serversFollower.recordRead(now)
	}
}
