package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// eraBegan handles the first answer of a new era: the store has come back from an older
// copy. at is the position of the answer.
func (g *Gateway) eraBegan(at storepos.Position) {
	telemetry.Counter(g.options.Metrics, "era.began").Inc(1)
	g.options.Log.Warn().Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("store_era_began")
	g.moves.eraBegan(time.Now(), at.Era)
	if g.readerRank() == 0 {
		// The others hear of the changes.
		g.serversFollower.wake()
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
	f.apply(f.directory.ApplyCopy(now, changes))
	for _, id := range f.directory.Kept() {
		telemetry.Counter(f.metrics, "era.servers_kept").Inc(1)
		f.log.Info().Str("server", string(id)).Msg("server_kept")
	}
}
