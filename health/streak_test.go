package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load is that of a plain service in a large deployment. It has so many entries that each sends
// a server less than one request per second.
const (
	sharedEntries   = 31
	sharedServers   = 4
	sharedInterval  = 10 * time.Millisecond
	baseFailureRate = 0.03
	failsFrom       = 2 * time.Second
	failsUntil      = 8 * time.Second
	loadEnd         = 20 * time.Second
)

type sharedLoad struct {
	entries       []*Servers
	random        *rand.Rand
	reportResults bool
	// toFailing counts the requests sent to the failing server while it failed.
	// rejectedHealthy counts the requests that were not sent because a healthy server was Failing.
	toFailing, rejectedHealthy int
}

func newSharedLoad(reportResults bool) *sharedLoad {
	load := &sharedLoad{random: rand.New(rand.NewPCG(1, 2)), reportResults: reportResults}
	for range sharedEntries {
		servers := NewServers()
		for i := range sharedServers {
			servers.Add(sharedServer(i), "plain", "a")
		}
		load.entries = append(load.entries, servers)
	}
	return load
}

func sharedServer(i int) ID { return ID(fmt.Sprint("i-", i)) }

func (l *sharedLoad) run() {
	start := time.Unix(1000, 0)
	for passed := time.Duration(0); passed < loadEnd; passed += sharedInterval {
		entry := l.random.IntN(sharedEntries)
		server := l.random.IntN(sharedServers)
		now := start.Add(passed)
		l.entries[entry].DecayFailureRate(now, sharedServer(server))
		if l.entries[entry].State(sharedServer(server)) == Failing {
			if server != 0 {
				l.rejectedHealthy++
			}
			continue
		}
		failing := server == 0 && passed >= failsFrom && passed < failsUntil
		if failing {
			l.toFailing++
		}
		l.result(now, entry, sharedServer(server), failing || l.random.Float64() < baseFailureRate)
	}
}

func (l *sharedLoad) result(now time.Time, entry int, server ID, failed bool) {
	reported := l.reportResults && (failed || l.entries[entry].ReportedFailing(server))
	l.entries[entry].Result(now, server, failed)
	if !reported {
		return
	}
	for i, peer := range l.entries {
		if i != entry {
			peer.PeerResult(now, server, failed)
		}
	}
}

func TestFailureStreakAcrossEntries(t *testing.T) {
	Convey("A server that fails all requests is failing after a few of them, however many entries there are", t, func() {
		load := newSharedLoad(true)
		load.run()
		So(load.toFailing, ShouldBeLessThanOrEqualTo, 4*failingStreak)
		So(load.rejectedHealthy, ShouldEqual, 0)
		isolated := newSharedLoad(false)
		isolated.run()
		So(isolated.toFailing, ShouldBeGreaterThan, 4*load.toFailing)
	})
	Convey("A success at any entry ends the streak, and so does a long gap", t, func() {
		now := time.Unix(1000, 0)
		servers := NewServers()
		servers.Add("i", "plain", "a")
		servers.Add("other", "plain", "a")
		for range 3 * failingStreak {
			for range failingStreak - 1 {
				So(servers.PeerResult(now, "i", true), ShouldBeFalse)
			}
			So(servers.ReportedFailing("i"), ShouldBeTrue)
			So(servers.PeerResult(now, "i", false), ShouldBeFalse)
			So(servers.ReportedFailing("i"), ShouldBeFalse)
		}
		for range 3 * failingStreak {
			now = now.Add(maxStreakGap + 1)
			So(servers.PeerResult(now, "i", true), ShouldBeFalse)
		}
	})
}
