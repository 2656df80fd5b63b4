package gateway

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// eraBegan handles the first answer of a new era: the store has come back from an older
// copy. at is the position of the answer.
func (g *Gateway) eraBegan(at storepos.Position) {
	telemetry.Counter(g.options.Metrics, "era.began").Inc(1)
	g.options.Log.Warn().Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("store_era_began")
	g.moves.eraBegan(time.Now(), at.Era)
	g.gossip.registerAgain(time.Now())
	if g.options.Quarantines != nil {
		g.rewrite("quarantine_rewrites", g.crashes.saveMissing)
		g.rewrite("part_quarantine_rewrites", g.partGuard.saveMissing)
	}
	if g.readerRank() == 0 {
		// The others hear of the changes.
		g.serversFollower.wake()
	}
}

// maxCopyAge is the age up to which the store may have lost what was written there.
const maxCopyAge = time.Minute

// secondWriterDelay is the time by which the second entry in rank writes later than the
// first, so that it finds written what the first knows too.
const secondWriterDelay = time.Second

// rewrite starts to write again what the system had written to the store and the copy may
// lack. The first two entries in rank do so for all. write reads what the store has and
// writes what is missing. It is repeated until it succeeds.
func (g *Gateway) rewrite(name string, write func(context.Context) error) {
	rank := g.readerRank()
	if !rollout.IsLeader(rank) {
		return
	}
	g.wait.Go(func() {
		if rank > 0 && !g.pause(secondWriterDelay) {
			return
		}
		g.retryWrite(name, write)
	})
}

// recordRewrite records that a row is written again.
func (g *Gateway) recordRewrite(kind string) {
	telemetry.Counter(g.options.Metrics, "era.rows_rewritten").Inc(1)
	g.options.Log.Info().Str("kind", kind).Msg("row_rewritten")
}

// retryWrite calls write until it succeeds or the gateway ends.
func (g *Gateway) retryWrite(name string, write func(context.Context) error) {
	store := g.newDependency(name)
	for {
		err := g.callStore(write)
		if err == nil {
			store.recordSuccess(time.Now())
			return
		}
		if !g.pause(store.recordFailure(time.Now(), err)) {
			return
		}
	}
}

// copyChanges returns what a complete read of a registry that came back from an older
// copy changes.
func (f *fleet) copyChanges(entries []directory.Entry) []directory.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.CopyChanges(entries)
}

// applyCopy applies copyChanges, of this entry or of a peer.
func (f *fleet) applyCopy(now time.Time, changes []directory.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(now, f.directory.ApplyCopy(now, changes))
	for _, id := range f.directory.Kept() {
		telemetry.Counter(f.metrics, "era.servers_kept").Inc(1)
		f.log.Info().Str("server", string(id)).Msg("server_kept")
	}
}
