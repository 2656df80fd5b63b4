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

// fleetOf returns the views of entries that all know each other as live.
func fleetOf(entries int, now time.Time) map[netip.AddrPort]*Peers {
	views := make(map[netip.AddrPort]*Peers, entries)
	for i := range entries {
		p := NewPeers(fleetAddress(i))
		for j := range entries {
			p.Received(now, fleetAddress(j))
		}
		views[fleetAddress(i)] = p
	}
	return views
}

// TestRelayReachesEachOnce draws fleets whose entries agree on which are live: from each origin each other entry gets a
// message once.
func TestRelayReachesEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 60).Draw(t, "entries")
		now := time.Unix(1000, 0)
		views := fleetOf(entries, now)
		origin := fleetAddress(rapid.IntRange(0, entries-1).Draw(t, "origin"))
		got := relay(views, now, origin)
		for address := range views {
			if address != origin && got[address] != 1 {
				t.Fatalf("%v gets the message of %v %d times", address, origin, got[address])
			}
		}
		if got[origin] != 0 {
			t.Fatal("origin gets its own message")
		}
	})
}

// TestRelayReachesALargeFleet passes a message through 1,100 entries: each gets it once, none sends it to more than
// relayFanout, and no path is longer than maxRelayHops.
func TestRelayReachesALargeFleet(t *testing.T) {
	const entries = 1100
	now := time.Unix(1000, 0)
	// The entries share one view, and each asks it as if it were its own.
	shared := livePeersOf(entries, now)
	got := make(map[netip.AddrPort]int)
	level := []netip.AddrPort{fleetAddress(7)}
	hops := 0
	for ; len(level) > 0; hops++ {
		var next []netip.AddrPort
		for _, address := range level {
			targets := shared.relayTargetsOf(now, address, fleetAddress(7))
			if len(targets) > relayFanout {
				t.Fatalf("%v sends to %d", address, len(targets))
			}
			for _, target := range targets {
				got[target]++
			}
			next = append(next, targets...)
		}
		level = next
	}
	if len(got) != entries-1 || hops-1 > maxRelayHops {
		t.Fatalf("%d of %d entries are reached, in %d hops", len(got), entries-1, hops-1)
	}
	for address, n := range got {
		if n != 1 {
			t.Fatalf("%v gets the message %d times", address, n)
		}
	}
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
