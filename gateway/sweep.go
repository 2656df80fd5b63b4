package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/health"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// sweepInterval is the time between two searches for unresponsive servers. It
	// adds to the pause that callers see in a stream whose server is lost.
	sweepInterval = 40 * time.Millisecond
	// maintenanceInterval is the time between two rounds of less urgent checks.
	maintenanceInterval = 200 * time.Millisecond
)

// Causes for which a run is abandoned.
var (
	errServerUnresponsive = errors.New("backend server is unresponsive")
	errStreamStalled      = errors.New("stream stalled")
	errProbeFailed        = errors.New("backend server accepts no connection")
	errServerReplaced     = errors.New("another server runs at the address of the backend server")
)

// sweep searches for unresponsive servers until the gateway ends.
func (g *Gateway) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var lastMaintenance time.Time
	for {
		select {
		case <-g.background.Done():
			return
		case now := <-ticker.C:
			g.crashes.settle(now)
			g.partGuard.settle(now)
			g.trials.renew(now)
			g.limits.tick()
			for _, entry := range g.fleet.sweep(now) {
				go g.probe(entry)
			}
			if now.Sub(lastMaintenance) < maintenanceInterval {
				continue
			}
			lastMaintenance = now
			for _, entry := range g.fleet.maintain(now, g.gossip.watchAssignment(now), g.bounds.Load().ReuseAfter) {
				go g.checkRecovery(entry)
			}
			g.pool.Expire(now)
			telemetry.Gauge(g.options.Metrics, "configuration.age_ms").Update(g.config.ageMs())
		}
	}
}

// sweep ends the runs at unresponsive servers that may continue elsewhere, and returns the servers to
// probe.
func (f *fleet) sweep(now time.Time) []directory.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams.Len() == 0 {
		return nil
	}
	var probes []directory.Entry
	for _, result := range f.streams.Sweep(now) {
		f.log.Info().Str("server", string(result.Server)).Str("finding", result.Finding.String()).
			Int64("silence_ms", result.Inactivity.Milliseconds()).Msg("silence_judged")
		switch result.Finding {
		case health.FindingProbe:
			if entry, ok := f.entries[result.Server]; ok {
				probes = append(probes, entry)
			}
		case health.FindingServerUnresponsive:
			f.markLostLocked(now, result.Server, "silent", nil)
			f.suspectRunsLocked(now, result.Server, errServerUnresponsive)
		case health.FindingStreamStalled:
			f.suspectRunLocked(now, result.Stream, errStreamStalled)
		}
	}
	return probes
}

// maintain returns the servers that are down and due for a probe. It also removes
// servers whose registration has expired, and ends the failing state of servers whose
// failure rate has decayed. A server is also watched by each entry that can still prove which service a server at its
// address belongs to.
func (f *fleet) maintain(now time.Time, assignment loadshare.WatchAssignment, reuseAfter time.Duration) []directory.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(now, f.directory.Expire(now))
	f.suspectKeptRunsLocked(now)
	bootNow := bootClock()
	var due []directory.Entry
	for id, entry := range f.entries {
		if f.servers.State(id) == health.Down {
			watches := assignment.Covers(loadshare.HashServer(id)) || f.provesServiceLocked(id, bootNow, reuseAfter)
			if f.servers.ProbeDue(now, id, watches) {
				due = append(due, entry)
			}
		}
		if f.servers.DecayFailureRate(now, id) {
			f.updateRouter(now, id)
		}
	}
	return due
}

// provesServiceLocked reports whether a server that answers now at the address of a lost one must be of its service.
func (f *fleet) provesServiceLocked(id serverID, now freshness.Instant, reuseAfter time.Duration) bool {
	since, seen := f.signs.Since(now, id)
	return seen && directory.ProvesService(since, reuseAfter)
}

// sinceSeen returns the time since the last sign of life of a server; 0 if there was none.
func (f *fleet) sinceSeen(now freshness.Instant, id serverID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, seen := f.signs.Since(now, id)
	if !seen {
		return 0
	}
	return since
}

func (f *fleet) probeAnswered(now, sentAt time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.ServerResponded(now, id)
	f.answeredLocked(now, sentAt, id)
}

// confirmed records that a server itself answered at its address what was sent at sentAt.
func (f *fleet) confirmed(now, sentAt time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers.Confirmed(id)
	f.streams.ServerResponded(now, id)
	f.answeredLocked(now, sentAt, id)
}

// answeredLocked records that a server answered what was sent at sentAt. If it was lost, it takes
// requests again, and the peers are told.
func (f *fleet) answeredLocked(now, sentAt time.Time, id serverID) {
	wasDown, peerReported := f.servers.State(id) == health.Down, f.servers.RecoveryReported(id)
	if !f.servers.Answered(sentAt, id) {
		return
	}
	f.trustRunsLocked(id)
	if wasDown && !peerReported {
		f.announce(loadshare.Message{Kind: loadshare.Recovered, Server: loadshare.HashServer(id)})
	}
	f.log.Info().Str("server", string(id)).Msg("server_back")
	f.router.SetState(now, id, routing.StateReady)
}

func (f *fleet) probeFailed(now time.Time, id serverID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers.State(id) == health.Down {
		return
	}
	f.markLostLocked(now, id, "probe", err)
	f.suspectRunsLocked(now, id, errProbeFailed)
}
