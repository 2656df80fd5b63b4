package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/loadshare"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// markLost records that a server does not answer. reason says how this was detected; it
// is part of a metric's name.
func (f *fleet) markLost(now time.Time, id serverID, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLostLocked(now, id, reason, nil)
}

// markLostLocked is markLost with the lock held. cause may be nil.
func (f *fleet) markLostLocked(now time.Time, id serverID, reason string, cause error) {
	entry, ok := f.entries[id]
	if !ok {
		return
	}
	isNew, suspects := f.servers.Lost(now, id)
	if !isNew {
		return
	}
	f.streams.ServerLost(now, entry.Domain)
	f.onLost(now, entry)
	f.copiesLostLocked(id)
	telemetry.Counter(f.metrics, "fleet.lost_"+reason).Inc(1)
	line := f.log.Info().Str("server", string(id)).Str("domain", string(entry.Domain)).Str("reason", reason).Int("doubtful", len(suspects))
	if cause != nil {
		line = line.Err(cause)
	}
	line.Msg("server_lost")
	f.router.SetState(now, id, routing.StateDead)
	if !f.servers.LossReported(now, id) {
		f.announce(loadshare.Message{Kind: loadshare.Lost, Server: loadshare.HashServer(id)})
	}
	for _, other := range suspects {
		f.router.SetState(now, other, routing.StateSuspect)
		f.probeSuspect(now, other)
	}
}

// minProbeInterval is the least time between two probes of a suspected server, since
// many peers may report the same loss.
const minProbeInterval = 300 * time.Millisecond

// probeSuspect starts a probe of a suspected server, unless one was started within
// minProbeInterval.
func (f *fleet) probeSuspect(now time.Time, id serverID) {
	if now.Sub(f.probedAt[id]) < minProbeInterval {
		return
	}
	f.probedAt[id] = now
	f.probe(f.entries[id])
}

// misdirected records that another server has refused a request for a server at its address. Which one answers there is
// asked at once: one that has restarted may be adopted, and a single wrong refusal must not end the server.
func (f *fleet) misdirected(now time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, known := f.entries[id]
	if !known {
		return
	}
	f.markLostLocked(now, id, "replaced", nil)
	f.servers.Misdirected(id)
	f.identifyLocked(now, entry)
}

// recordUnproved records an answer that may belong to an earlier request on its connection. One that says that the request
// was misdirected changes nothing until it is known which server answers.
func (f *fleet) recordUnproved(now time.Time, p *placement, reply *Reply) {
	if !reply.Misdirected {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry, known := f.entries[p.ID]; known {
		f.identifyLocked(now, entry)
	}
}

// identifyLocked asks which server answers at the address of one, unless that was asked within minProbeInterval.
func (f *fleet) identifyLocked(now time.Time, entry directory.Entry) {
	if now.Sub(f.probedAt[entry.ID]) >= minProbeInterval {
		f.probedAt[entry.ID] = now
		f.identify(entry)
	}
}

// markReplaced records that it is known which other server answers at a server's address.
func (f *fleet) markReplaced(now time.Time, id serverID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLostLocked(now, id, "replaced", nil)
	f.servers.Replaced(id)
	f.endRunsLocked(id, errServerReplaced)
}
