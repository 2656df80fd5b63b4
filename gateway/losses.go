package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// lost records that a server does not answer. reason says how it was found.
func (f *fleet) lost(now time.Time, id serverID, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostLocked(now, id, reason, nil)
}

// lostLocked is lost with the lock held; cause is nil where reason says all.
func (f *fleet) lostLocked(now time.Time, id serverID, reason string, cause error) {
	entry, ok := f.entries[id]
	if !ok {
		return
	}
	isNew, doubtful := f.servers.Lost(now, id)
	if !isNew {
		return
	}
	f.streams.ServerLost(now, entry.Domain)
	telemetry.Counter(f.metrics, "fleet.lost_"+reason).Inc(1)
	line := f.log.Info().Str("server", string(id)).Str("domain", string(entry.Domain)).Str("reason", reason).Int("doubtful", len(doubtful))
	if cause != nil {
		line = line.Err(cause)
	}
	line.Msg("server_lost")
	f.router.SetState(now, id, routing.StateDead)
	if !f.servers.LossReported(now, id) {
		f.told(loadshare.Message{Kind: loadshare.Lost, Server: loadshare.HashServer(id)})
	}
	for _, other := range doubtful {
		f.router.SetState(now, other, routing.StateSuspect)
		f.ask(now, other)
	}
}

// askInterval is the least time between two questions to a server that is in
// doubt: many peers may tell of the same loss.
const askInterval = 300 * time.Millisecond

// ask has a server in doubt asked for a sign of life, unless it just was.
func (f *fleet) ask(now time.Time, id serverID) {
	if now.Sub(f.asked[id]) < askInterval {
		return
	}
	f.asked[id] = now
	f.doubted(f.entries[id])
}

// replaced records that another server answers at a server's address.
func (f *fleet) replaced(now time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostLocked(now, id, "replaced", nil)
	f.servers.Replaced(id)
}
