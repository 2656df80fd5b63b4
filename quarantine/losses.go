package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// massLoss is the number of other servers of a failure domain that are lost together with a
	// server if the cause is outside of it.
	massLoss = 3
	// massLossWindow is the time within which losses count as lost together. Silent losses are
	// detected at different times.
	massLossWindow = 500 * time.Millisecond
	// lossMemory is the time for which losses are kept. It covers the run that a loss ends, from
	// its detection to its outcome.
	lossMemory = 5 * time.Second
)

// loss is the loss of one server.
type loss struct {
	server ServerStart
	at     time.Time
}

// lossLog keeps the recent losses of servers.
type lossLog struct {
	// servers holds the last loss of each server.
	servers map[wigeonfork.BackendServerID]loss
	domains map[wigeonfork.FailureDomain][]loss // by time
}

func newLossLog() *lossLog {
	return &lossLog{servers: make(map[wigeonfork.BackendServerID]loss), domains: make(map[wigeonfork.FailureDomain][]loss)}
}

func (l *lossLog) record(now time.Time, server ServerStart, domain wigeonfork.FailureDomain) {
	kept := l.domains[domain]
	expired := 0
	for expired < len(kept) && now.Sub(kept[expired].at) > lossMemory {
		if id := kept[expired].server.ID; l.servers[id] == kept[expired] {
			delete(l.servers, id)
		}
		expired++
	}
	lost := loss{server: server, at: now}
	l.domains[domain] = append(slices.Delete(kept, 0, expired), lost)
	l.servers[server.ID] = lost
}

// forget drops the loss of a server that turned out not to be lost.
func (l *lossLog) forget(server ServerStart) {
	if l.servers[server.ID].server.maySame(server) {
		delete(l.servers, server.ID)
	}
}

// lostAt returns when a server was last lost, and false if that is not known. A start that was lost followed the
// end of the earlier ones.
func (l *lossLog) lostAt(server ServerStart) (time.Time, bool) {
	last, ok := l.servers[server.ID]
	return last.at, ok && (last.server.maySame(server) || last.server.Born > server.Born)
}

// othersLost returns the number of servers of a failure domain that were lost within massLossWindow
// of a time, without those in excluded. It counts up to massLoss.
func (l *lossLog) othersLost(at time.Time, domain wigeonfork.FailureDomain, excluded []ServerStart) int {
	n := 0
	for _, other := range l.domains[domain] {
		if n == massLoss {
			break
		}
		if other.at.Sub(at).Abs() <= massLossWindow && !slices.ContainsFunc(excluded, other.server.maySame) {
			n++
		}
	}
	return n
}
