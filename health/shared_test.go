package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Figures of the load: a plain service of a large site, seen by so many entries
// that each sends a server less than one request in a second.
const (
	sharedEntries  = 31
	sharedServers  = 4
	sharedInterval = 10 * time.Millisecond
	usualFailures  = 0.03
	failsFrom      = 2 * time.Second
	failsUntil     = 8 * time.Second
	loadEnd        = 20 * time.Second
)

type sharedLoad struct {
	entries []*Servers
	random  *rand.Rand
	tell    bool
	// atFailing counts the requests at the failing server while it failed,
	// shunned those that were kept from a sound one.
	atFailing, shunned int
}

func newSharedLoad(tell bool) *sharedLoad {
	load := &sharedLoad{random: rand.New(rand.NewPCG(1, 2)), tell: tell}
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
		l.entries[entry].Settle(now, sharedServer(server))
		if l.entries[entry].State(sharedServer(server)) == Failing {
			if server != 0 {
				l.shunned++
			}
			continue
		}
		failing := server == 0 && passed >= failsFrom && passed < failsUntil
		if failing {
			l.atFailing++
		}
		l.result(now, entry, sharedServer(server), failing || l.random.Float64() < usualFailures)
	}
}

func (l *sharedLoad) result(now time.Time, entry int, server ID, failed bool) {
	told := l.tell && (failed || l.entries[entry].Accused(server))
	l.entries[entry].Result(now, server, failed)
	if !told {
		return
	}
	for i, peer := range l.entries {
		if i != entry {
			peer.PeerResult(now, server, failed)
		}
	}
}

func TestFailuresCountOverAllEntries(t *testing.T) {
	Convey("A server that fails all requests is found by a few of them, however many entries there are", t, func() {
		load := newSharedLoad(true)
		load.run()
		So(load.atFailing, ShouldBeLessThanOrEqualTo, 4*failingStreak)
		So(load.shunned, ShouldEqual, 0)
		alone := newSharedLoad(false)
		alone.run()
		So(alone.atFailing, ShouldBeGreaterThan, 4*load.atFailing)
	})
	Convey("A good answer in between ends the row, whoever got it, and so does time", t, func() {
		now := time.Unix(1000, 0)
		servers := NewServers()
		servers.Add("i", "plain", "a")
		servers.Add("other", "plain", "a")
		for range 3 * failingStreak {
			for range failingStreak - 1 {
				So(servers.PeerResult(now, "i", true), ShouldBeFalse)
			}
			So(servers.Accused("i"), ShouldBeTrue)
			So(servers.PeerResult(now, "i", false), ShouldBeFalse)
			So(servers.Accused("i"), ShouldBeFalse)
		}
		for range 3 * failingStreak {
			now = now.Add(maxStreakGap + 1)
			So(servers.PeerResult(now, "i", true), ShouldBeFalse)
		}
	})
}
