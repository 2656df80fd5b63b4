package loadshare

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// relay passes a message of origin on through entries, each of which knows those that views says, and returns how often
// each gets it.
func relay(views map[netip.AddrPort]*Peers, now time.Time, origin netip.AddrPort) map[netip.AddrPort]int {
	type delivery struct {
		to   netip.AddrPort
		hops int
	}
	got := make(map[netip.AddrPort]int)
	queue := []delivery{{origin, maxRelayHops}}
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		view := views[d.to]
		if view == nil || d.hops == 0 {
			continue
		}
		for _, target := range view.RelayTargets(now, origin) {
			got[target]++
			queue = append(queue, delivery{target, d.hops - 1})
		}
	}
	return got
}

// TestRelayReachesEachOnce draws fleets whose entries agree on which are live: from each origin each other entry gets a
// message once, and none passes it on to more than relayFanout.
func TestRelayReachesEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 1100).Draw(t, "entries")
		now := time.Unix(1000, 0)
		views := make(map[netip.AddrPort]*Peers, entries)
		// A sample of the entries has views of its own; the others are asked through one of them.
		for i := range entries {
			p := NewPeers(fleetAddress(i))
			if entries <= 60 || i%97 == 0 {
				for j := range entries {
					p.Received(now, fleetAddress(j))
				}
				views[fleetAddress(i)] = p
			}
		}
		if entries > 60 {
			for _, p := range views {
				if n := len(p.RelayTargets(now, fleetAddress(0))); n > relayFanout {
					t.Fatalf("%d targets", n)
				}
			}
			return
		}
		origin := fleetAddress(rapid.IntRange(0, entries-1).Draw(t, "origin"))
		got := relay(views, now, origin)
		for address := range views {
			if want := 1; address != origin && got[address] != want {
				t.Fatalf("%v gets the message of %v %d times", address, origin, got[address])
			}
		}
		if got[origin] != 0 {
			t.Fatal("origin gets its own message")
		}
	})
}

// TestRelayEndsAmongDisagreeingEntries draws entries that each know others as live, so that paths may form rings. A
// message still ends.
func TestRelayEndsAmongDisagreeingEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 30).Draw(t, "entries")
		now := time.Unix(1000, 0)
		views := make(map[netip.AddrPort]*Peers, entries)
		for i := range entries {
			p := NewPeers(fleetAddress(i))
			for j := range entries {
				if rapid.Bool().Draw(t, "live") {
					p.Received(now, fleetAddress(j))
				}
			}
			views[fleetAddress(i)] = p
		}
		relay(views, now, fleetAddress(0))
	})
}
