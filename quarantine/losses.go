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
	servers map[ServerStart]time.Time
	domains map[wigeonfork.FailureDomain][]loss // by time
}

func newLossLog() *lossLog {
	return &lossLog{servers: make(map[ServerStart]time.Time), domains: make(map[wigeonfork.FailureDomain][]loss)}
}

func (l *lossLog) record(now time.Time, server ServerStart, domain wigeonfork.FailureDomain) {
	kept := l.domains[domain]
	expired := 0
	for expired < len(kept) && now.Sub(kept[expired].at) > lossMemory {
		if l.servers[kept[expired].server].Equal(kept[expired].at) {
			delete(l.servers, kept[expired].server)
		}
		expired++
	}
	l.domains[domain] = append(slices.Delete(kept, 0, expired), loss{server: server, at: now})
	l.servers[server] = now
}

// forget drops the loss of a server that turned out not to be lost.
func (l *lossLog) forget(server ServerStart) { delete(l.servers, server) }

// lostAt returns when a server was last lost, and false if that is not known.
func (l *lossLog) lostAt(server ServerStart) (time.Time, bool) {
	at, ok := l.servers[server]
	return at, ok
}

// othersLost returns the number of servers of a failure domain that were lost within massLossWindow
// of a time, without those in excluded. It counts up to massLoss.
func (l *lossLog) othersLost(at time.Time, domain wigeonfork.FailureDomain, excluded []ServerStart) int {
	n := 0
	for _, other := range l.domains[domain] {
		if n == massLoss {
			break
		}
		if other.at.Sub(at).Abs() <= massLossWindow && !slices.Contains(excluded, other.server) {
			n++
		}
	}
	return n
}
