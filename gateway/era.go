package gateway

import (
	"github.com/wigeonfork/wigeonfork/storepos"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// eraBegan handles the first answer of a new era: the store has come back from an older
// copy. at is the position of the answer.
func (g *Gateway) eraBegan(at storepos.Position) {
	telemetry.Counter(g.options.Metrics, "era.began").Inc(1)
	g.options.Log.Warn().Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("store_era_began")
	g.serversFollower.wake()
}
