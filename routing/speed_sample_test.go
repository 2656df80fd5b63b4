package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
)

// Parameters of the simulated load. The fraction of slow servers, a tenth, and
// the stream duration are those of a large site.
const (
	simServers        = 60
	simSlowServers    = 6
	simEntries        = 4
	simStreams        = 200
	simInterval       = 100 * time.Millisecond
	simFirstTokenWait = 700 * time.Millisecond
	simGap            = 25 * time.Millisecond
	simTokens         = 120
	simSlowFactor     = 40 // in tenths of the fastest servers' time
	simTenants        = 8
)

// simEvent is an event of a simulated stream, due at a time.
type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

// simulateEntries routes requests through several entries that report their
// requests and measured speeds to each other. It counts the requests by server.
func simulateEntries() map[ID]int {
	var entries []*Router
	for i := range simEntries {
		r := New(Options{Seed: uint64(i + 1)})
		r.SetServers(testServers(simServers))
		r.SetPeerReports(true)
		entries = append(entries, r)
	}
	counts := map[ID]int{}
	var events []simEvent
	for i := range simStreams {
		now := start.Add(time.Duration(i) * simInterval)
		slices.SortStableFunc(events, func(a, b simEvent) int { return a.at.Compare(b.at) })
		for len(events) > 0 && !events[0].at.After(now) {
			events[0].run(events[0].at)
			events = events[1:]
		}
		entry := entries[i%simEntries]
		work := Work{PromptTokens: 4000, MaxTokens: simTokens, Prefixes: []Prefix{{Hash: uint64(1 + i%simTenants), Tokens: 2800}}}
		d, err := entry.Choose(now, Request{
			Model: current.Model, Version: current.Version,
			PromptTokens: work.PromptTokens, MaxTokens: work.MaxTokens, Prefixes: work.Prefixes,
		})
		So(err, ShouldBeNil)
		counts[d.ID]++
		entry.Started(now, d.ID, work)
		toPeers := func(send func(*Router)) {
			for _, peer := range entries {
				if peer != entry {
					send(peer)
				}
			}
		}
		toPeers(func(peer *Router) { peer.PeerStarted(now, d.ID, work) })
		factor := slowFactorOf(d.ID)
		wait, gap := factor*simFirstTokenWait/10, factor*simGap/10
		first := now.Add(wait)
		events = append(events, simEvent{first, func(now time.Time) {
			entry.FirstToken(now, d.ID, FirstToken{Wait: wait, PromptTokens: work.PromptTokens, CachedTokens: d.CachedTokens})
		}}, simEvent{first.Add(8 * gap), func(now time.Time) {
			entry.Progress(now, d.ID, 8, gap)
			if gap, rate, ok := entry.MeasuredSpeed(d.ID); ok {
				toPeers(func(peer *Router) { peer.PeerSpeed(now, d.ID, gap, rate) })
			}
		}}, simEvent{first.Add(simTokens * gap), func(now time.Time) {
			entry.Finished(now, d.ID, work, Result{Tokens: simTokens, Duration: now.Sub(first.Add(-wait))})
		}})
	}
	return counts
}

// slowFactorOf returns the time that a server takes, in tenths of the time of the
// fastest servers. Most take up to twice as long, a tenth of them four times.
func slowFactorOf(id ID) time.Duration {
	var number int
	if _, err := fmt.Sscanf(string(id), "b%d", &number); err != nil {
		panic(err)
	}
	if number%(simServers/simSlowServers) == 0 {
		return simSlowFactor
	}
	return time.Duration(10 + 2*(number%6))
}

// TestUnmeasuredSlowServerGetsOneStream guards against sending several streams to
// a slow server before the first one has shown its speed.
func TestUnmeasuredSlowServerGetsOneStream(t *testing.T) {
	Convey("A slow server gets at most one stream of all entries", t, func() {
		for id, n := range simulateEntries() {
			if slowFactorOf(id) == simSlowFactor {
				So(n, ShouldBeLessThanOrEqualTo, 1)
			}
		}
	})
	Convey("A new server inherits the speed samples of its host", t, func() {
		r := newRouter(1, Options{})
		So(r.find("b0").hasSpeedSample(), ShouldBeFalse)
		r.PeerSpeed(start, "b0", simGap, 4000)
		So(r.find("b0").hasSpeedSample(), ShouldBeTrue)
		r.Remove("b0")
		r.Upsert(Server{ID: "again", Host: wigeonfork.HostID("h0"), Versions: []Deployment{current}})
		So(r.find("again").hasSpeedSample(), ShouldBeTrue)
	})
}

func TestPeerProbeDelaysOwnProbe(t *testing.T) {
	Convey("After a probe reported by another entry, the next probe waits for the interval", t, func() {
		r := newRouter(3, Options{ProbeInterval: time.Second})
		r.SetState(start, "b0", StateSuspect)
		r.PeerProbed(start.Add(900*time.Millisecond), "b0")
		probes := func(from time.Duration) int {
			count := 0
			for i := range 8 {
				d, err := r.Choose(start.Add(from+time.Duration(i)*time.Millisecond), newRequest())
				So(err, ShouldBeNil)
				if d.ID == "b0" {
					count++
				}
			}
			return count
		}
		So(probes(1500*time.Millisecond), ShouldEqual, 0)
		So(probes(2*time.Second), ShouldEqual, 1)
	})
}
